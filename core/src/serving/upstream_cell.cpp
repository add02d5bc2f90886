#include "banyan/core/serving/upstream_cell.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace banyan {

namespace {

constexpr std::size_t maximumUpstreamsPerCell = 32; ///< The node of a cell of this size schedules some hundred requests per second.

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

bool upstream_cell::contains(const upstream_id &upstream) const
{
    return count <= 1 || cellOf(upstream, count).index == index;
}

upstream_cell cellOf(const upstream_id &upstream, std::uint32_t count)
{
    return count <= 1 ? upstream_cell()
                      : upstream_cell{.index = static_cast<std::uint32_t>(hashOf(upstream.text()) % count), .count = count};
}

std::uint32_t cellCountFor(std::size_t upstreams)
{
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, (upstreams + maximumUpstreamsPerCell - 1) / maximumUpstreamsPerCell));
}

const node_id &schedulingNodeOf(const service_name &service, const upstream_cell &cell, std::span<const node_id> nodes)
{
    const std::string key = service.text() + '/' + std::to_string(cell.index) + '\n';
    return *std::max_element(nodes.begin(), nodes.end(), [&](const node_id &left, const node_id &right) {
        return hashOf(key + left.text()) < hashOf(key + right.text());
    });
}

} // namespace banyan
