#include "banyan/core/serving/connection_share.h"

#include "banyan/core/serving/serving_configuration.h"

#include <algorithm>
#include <limits>

namespace banyan {

std::size_t idleConnectionShare(const serving_configuration &configuration, std::size_t nodes)
{
    constexpr std::size_t idleDivisor = 2; // Half of the share is for idle connections.
    std::size_t share = std::numeric_limits<std::size_t>::max();
    for (const auto &[name, limits] : configuration.services) {
        if (limits.maximumConnections > 0) {
            share = std::min<std::size_t>(share, limits.maximumConnections / (idleDivisor * std::max<std::size_t>(1, nodes)));
        }
    }
    return std::max<std::size_t>(1, share);
}

} // namespace banyan
