#pragma once

#include "banyan/core/time.h"

#include <cstddef>
#include <string>

namespace banyan {

/// Options of a group_committer.
struct group_committer_options
{
    std::string leaseKey; ///< Key of the lease row, for example "lease/node/NODE".
    std::string holder; ///< Id of the holder; unique to each start of a process.
    std::string ownedPrefix; ///< Key prefix of the rows that list the owned records; unused if no item sets addedOwnership.
    bool keepAlive = false; ///< Renew the lease even while no record is owned.
    bool removeOnRelease = false; ///< Delete the row on release if no record is owned; only for keys that are never used again.
    duration leaseDuration = std::chrono::seconds(10);
    duration retryDelay = std::chrono::milliseconds(200); ///< Delay after the first failed call; doubles with each further failure.
    duration maximumRetryDelay = std::chrono::seconds(3);
    std::size_t maximumWrites = 500; ///< Maximum number of rows in one transaction.
    std::size_t maximumBytes = std::size_t(2) << 20; ///< Maximum total size of keys and values in one transaction.
    double commitsPerSecond = 20; ///< Maximum rate of transactions, this committer's share of the store's capacity.
    double burst = 10; ///< Number of transactions that may be sent without delay.
};

} // namespace banyan
