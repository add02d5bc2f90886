#pragma once

#include "banyan/core/time.h"

#include <cstddef>
#include <string>

namespace banyan {

/// Options of a group_committer.
struct group_committer_options
{
    std::string leaseKey; ///< Row of the lease, for example "lease/node/NODE".
    std::string holder; ///< Who holds it: unique to one start of a process.
    std::string ownedPrefix; ///< Prefix of the rows that list owned records; unused if no item owns any.
    bool keepAlive = false; ///< Renew the lease also while no record is owned.
    bool removeOnRelease = false; ///< Delete the row on release if nothing is owned, where its key is never used again.
    duration leaseDuration = std::chrono::seconds(10);
    duration retryDelay = std::chrono::milliseconds(200); ///< After a first failure of the store; doubles.
    duration maximumRetryDelay = std::chrono::seconds(3);
    std::size_t maximumWrites = 500; ///< Rows in one transaction.
    std::size_t maximumBytes = std::size_t(2) << 20; ///< Of keys and values in one transaction.
    double commitsPerSecond = 20; ///< Share of the store's budget.
    double burst = 10; ///< Transactions that may follow one another without delay.
};

} // namespace banyan
