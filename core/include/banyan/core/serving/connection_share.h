#pragma once

#include <cstddef>

namespace banyan {

struct serving_configuration;

/// How many idle connections to one upstream a node may keep when there are @p nodes of them: half of its share of what the
/// strictest service allows, so that the other half is left for requests in progress. At least one; the largest number if no
/// service has a limit.
[[nodiscard]] std::size_t idleConnectionShare(const serving_configuration &configuration, std::size_t nodes);

} // namespace banyan
