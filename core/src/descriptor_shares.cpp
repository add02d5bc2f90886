#include "banyan/core/descriptor_shares.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr std::size_t parts = 8;
constexpr std::size_t partsOfCallers = 5; // The upstreams' part then has room for a request of more than each second caller.
constexpr std::size_t partsOfOthers = 32; // One in so many for each other port.
constexpr std::size_t fewestOthers = 8;

} // namespace

descriptor_shares shareDescriptors(std::size_t maximum)
{
    if (maximum == 0) {
        return {};
    }
    return {.callers = maximum * partsOfCallers / parts, .others = std::max(fewestOthers, maximum / partsOfOthers)};
}

} // namespace banyan
