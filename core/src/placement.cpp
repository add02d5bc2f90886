#include "banyan/core/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace banyan {

namespace {

/// Mean number of upstreams per shard of a group with several; the margin to maximumCellSize absorbs uneven hashing.
constexpr std::size_t meanShardSize = 12;

/// Fewest upstreams of a pool in a failure domain that form a separate cell: a dispatcher needs other upstreams to compare
/// an upstream with and to send hedges and retries to.
constexpr std::size_t minimumDomainCellSize = 4;

/// Key of the upstreams of a pool in one failure domain, or in several with few upstreams each (empty domain).
struct upstream_group
{
    pool_name pool;
    failure_domain domain;

    auto operator<=>(const upstream_group &) const = default;
};

/// An upstream with the hash of its id, which determines the order of assignment.
struct hashed_upstream
{
    std::uint64_t hash = 0;
    upstream_info upstream;

    auto operator<=>(const hashed_upstream &) const = default;
};

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::size_t shardCount(std::size_t upstreams)
{
    return upstreams <= maximumCellSize ? 1 : (upstreams + meanShardSize - 1) / meanShardSize;
}

using shard_list = std::vector<std::vector<upstream_info>>;

/// The shard with the highest rendezvous weight for @p upstream among those that are not full.
std::size_t chooseShard(const upstream_id &upstream, const shard_list &shards)
{
    std::size_t best = shards.size();
    std::uint64_t bestWeight = 0;
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        const std::uint64_t candidate = rendezvousWeight(upstream.text(), std::to_string(shard));
        const bool hasCapacity = shards[shard].size() < maximumCellSize;
        if (hasCapacity && (best == shards.size() || candidate > bestWeight)) {
            best = shard;
            bestWeight = candidate;
        }
    }
    return best;
}

/// Assigns upstreams to shards in the order of their hashes, so that the result does not depend on the order of the list.
shard_list distributeToShards(std::vector<hashed_upstream> upstreams)
{
    std::sort(upstreams.begin(), upstreams.end());
    shard_list shards(shardCount(upstreams.size()));
    for (const hashed_upstream &entry : upstreams) {
        shards[chooseShard(entry.upstream.id, shards)].push_back(entry.upstream);
    }
    return shards;
}

using group_map = std::map<upstream_group, std::vector<hashed_upstream>>;

group_map groupByDomain(const vm_list &vms)
{
    group_map groups;
    for (const vm_entry &vm : vms) {
        if (vm.role != vm_role::Upstream) {
            continue;
        }
        const upstream_info upstream{.id = upstream_id(vm.id.text()), .address = vm.address, .leaving = vm.state == vm_state::Leaving};
        const std::string &id = vm.id.text();
        groups[{.pool = vm.pool, .domain = vm.domain}].push_back({.hash = XXH3_64bits(id.data(), id.size()), .upstream = upstream});
    }
    return groups;
}

std::map<pool_name, std::size_t> countByPool(const group_map &groups)
{
    std::map<pool_name, std::size_t> result;
    for (const auto &[group, upstreams] : groups) {
        result[group.pool] += upstreams.size();
    }
    return result;
}

/// Merges all groups of a pool that fits one cell, and the small groups of a larger pool.
group_map mergeSmallGroups(const group_map &groups)
{
    const std::map<pool_name, std::size_t> poolSizes = countByPool(groups);
    group_map result;
    for (const auto &[group, upstreams] : groups) {
        const bool separateCell = poolSizes.at(group.pool) > maximumCellSize && upstreams.size() >= minimumDomainCellSize;
        std::vector<hashed_upstream> &target = result[{.pool = group.pool, .domain = separateCell ? group.domain : failure_domain()}];
        target.insert(target.end(), upstreams.begin(), upstreams.end());
    }
    return result;
}

std::optional<node_info> highestWeightNode(std::string_view key, std::span<const node_info> nodes, const failure_domain *domain)
{
    const node_info *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const node_info &node : nodes) {
        if (domain != nullptr && node.domain != *domain) {
            continue;
        }
        const std::uint64_t candidate = rendezvousWeight(key, node.id.text());
        if (best == nullptr || candidate > bestWeight || (candidate == bestWeight && node.id < best->id)) {
            best = &node;
            bestWeight = candidate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

} // namespace

cell_map assignCells(const vm_list &vms)
{
    cell_map result;
    for (const auto &[group, upstreams] : mergeSmallGroups(groupByDomain(vms))) {
        const shard_list shards = distributeToShards(upstreams);
        for (std::size_t shard = 0; shard < shards.size(); ++shard) {
            const cell_id id{.pool = group.pool, .domain = group.domain, .shard = static_cast<std::uint32_t>(shard)};
            result[id] = shards[shard];
        }
    }
    return result;
}

std::optional<node_info> ownerOf(const cell_id &cell, std::span<const node_info> nodes)
{
    const std::string key = cell.toString();
    const std::optional<node_info> local = highestWeightNode(key, nodes, &cell.domain);
    return local ? local : highestWeightNode(key, nodes, nullptr);
}

std::optional<node_info> ownerOf(std::string_view key, std::span<const node_info> nodes)
{
    return highestWeightNode(key, nodes, nullptr);
}

} // namespace banyan
