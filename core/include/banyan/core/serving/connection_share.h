#pragma once

#include <cstddef>

namespace banyan {

struct serving_configuration;

/// Number of idle connections to one upstream that each of @p nodes nodes may keep: half of its share of the lowest connection
/// limit of any service, so that the other half is left for requests in progress. At least one; the maximum of the type if no
/// service has a limit.
[[nodiscard]] std::size_t idleConnectionShare(const serving_configuration &configuration, std::size_t nodes);

} // namespace banyan
