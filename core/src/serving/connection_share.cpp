#include "banyan/core/serving/connection_share.h"

#include "banyan/core/serving/serving_configuration.h"

#include <algorithm>
#include <limits>

namespace banyan {

std::size_t idleConnectionShare(const serving_configuration &configuration, std::size_t nodes)
{
    constexpr std::size_t partForIdle = 2; // Of the share: one over this.
    std::size_t least = std::numeric_limits<std::size_t>::max();
    for (const auto &[name, limits] : configuration.services) {
        if (limits.maximumConnections > 0) {
            least = std::min<std::size_t>(least, limits.maximumConnections / (partForIdle * std::max<std::size_t>(1, nodes)));
        }
    }
    return std::max<std::size_t>(1, least);
}

} // namespace banyan
