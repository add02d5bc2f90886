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

/// Prefix of the leases of all nodes; the holder's name follows.
inline constexpr std::string_view nodeLeasePrefix = "lease/node/";

/// Prefix of the rows that list the records that a holder owns.
[[nodiscard]] std::string ownedRecordsPrefix(std::string_view holder);

/// Claims a lapsed lease for the time in which what it covered is taken over; its former holder can commit nothing
/// from then on. @p id must be unique to this claim.
[[nodiscard]] commit_item claimLease(const row &lapsed, const std::string &claimant, const std::string &id);

/// The row of the audit trail that tells of a takeover; @p random makes its key unique.
[[nodiscard]] row_write takeoverAuditRow(const row &lapsed, const std::string &claimant, const std::string &keySuffix, time_point now);

/// How many of the live nodes come before @p self in taking over what @p lapsedKey covers, by rendezvous hashing, so
/// that they need not all try at once.
[[nodiscard]] std::size_t takeoverRank(std::string_view lapsedKey, const node_id &self, std::span<const node_id> liveNodes);

} // namespace banyan
