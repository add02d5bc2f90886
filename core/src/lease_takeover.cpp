#include "banyan/core/lease_takeover.h"

#include "banyan/core/lease_row.h"

#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::size_t auditTimeDigits = 20;

std::uint64_t rendezvousWeight(std::string_view key, const node_id &node)
{
    const std::string &text = node.text();
    return XXH3_64bits_withSeed(text.data(), text.size(), XXH3_64bits(key.data(), key.size()));
}

std::string paddedMicroseconds(time_point when)
{
    const std::string digits = std::to_string(when.time_since_epoch().count());
    return std::string(auditTimeDigits - std::min(auditTimeDigits, digits.size()), '0') + digits;
}

} // namespace

std::string ownedRecordsPrefix(std::string_view holder)
{
    return "owned/" + std::string(holder) + "/";
}

commit_item claimLease(const row &lapsed, const std::string &claimant, const std::string &id)
{
    const lease_row before = parseLeaseRow(lapsed.value);
    const lease_row claimed{.holder = claimant,
                            .fencingNumber = before.fencingNumber + 1,
                            .idle = false,
                            .transaction = id,
                            .previousTransaction = before.transaction};
    return {.conditions = {{.key = lapsed.key, .version = lapsed.version}},
            .writes = {{.key = lapsed.key, .value = encodeLeaseRow(claimed)}}};
}

row_write takeoverAuditRow(const row &lapsed, const std::string &claimant, const std::string &keySuffix, time_point now)
{
    const std::uint64_t number = parseLeaseRow(lapsed.value).fencingNumber;
    const json::object entry{{"time", now.time_since_epoch().count()},
                             {"kind", "lease_takeover"},
                             {"operator", claimant},
                             {"what", lapsed.key},
                             {"from_version", number},
                             {"to_version", number + 1},
                             {"accepted", true}};
    return {.key = "audit/" + paddedMicroseconds(now) + "/" + keySuffix, .value = json::serialize(entry)};
}

std::size_t takeoverRank(std::string_view lapsedKey, const node_id &self, std::span<const node_id> liveNodes)
{
    const std::uint64_t own = rendezvousWeight(lapsedKey, self);
    return static_cast<std::size_t>(std::count_if(liveNodes.begin(), liveNodes.end(), [&](const node_id &other) {
        return other != self && rendezvousWeight(lapsedKey, other) > own;
    }));
}

} // namespace banyan
