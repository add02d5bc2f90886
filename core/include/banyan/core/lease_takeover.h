#pragma once

#include "banyan/core/commit_item.h"
#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace banyan {

/// Key prefix of the leases of all nodes; the holder's name follows.
inline constexpr std::string_view nodeLeasePrefix = "lease/node/";

/// Key prefix of the rows that list the records owned by @p holder.
[[nodiscard]] std::string ownedRecordsPrefix(std::string_view holder);

/// Builds the commit with which @p claimant acquires a lapsed lease while it takes over the records that the lease covers.
/// After it, the former holder can commit nothing. @p id must be unique to this claim.
[[nodiscard]] commit_item claimLease(const row &lapsed, const std::string &claimant, const std::string &id);

/// Builds the audit row of a takeover; @p keySuffix makes its key unique.
[[nodiscard]] row_write takeoverAuditRow(const row &lapsed, const std::string &claimant, const std::string &keySuffix, time_point now);

/// The number of live nodes that precede @p self in taking over the lease @p lapsedKey. The order follows from rendezvous
/// hashing and keeps the nodes from all trying at once.
[[nodiscard]] std::size_t takeoverRank(std::string_view lapsedKey, const node_id &self, std::span<const node_id> liveNodes);

} // namespace banyan
