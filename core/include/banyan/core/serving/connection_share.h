#pragma once

#include <cstddef>

namespace banyan {

struct serving_configuration;

/// How many idle connections to one upstream a node may keep, of @p nodes: half of its share of what the service allows that
/// allows least, so that the other half is left for requests in progress. At least one; none is no limit.
[[nodiscard]] std::size_t idleConnectionShare(const serving_configuration &configuration, std::size_t nodes);

} // namespace banyan
