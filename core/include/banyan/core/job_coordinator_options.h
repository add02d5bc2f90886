#pragma once

#include "banyan/core/time.h"

#include <cstddef>
#include <cstdint>

namespace banyan {

/// Options of a job_coordinator.
struct job_coordinator_options
{
    std::size_t itemsInFlight = 256; ///< Most items that run at the same time.
    /// Most items kept in memory while they wait for their next try; at this number no further item is started.
    std::size_t itemsWaiting = 256;
    /// Most non-repeatable items that are started and have no committed result. If the coordinator's node fails, up to
    /// this many end with an unknown outcome.
    std::size_t nonRepeatableItems = 32;
    std::size_t resultsPerCommit = 512; ///< Number of finished items that triggers a commit.
    std::size_t bytesPerCommit = std::size_t(1) << 20; ///< Bytes of results that trigger a commit.
    std::size_t bufferedBytes = std::size_t(4) << 20; ///< Bytes of uncommitted results from which on no further item is started.
    std::size_t bufferedResults = 1024; ///< Number of uncommitted results from which on no further item is started.
    duration commitInterval = std::chrono::seconds(30); ///< Longest time that a finished item waits before a commit is triggered.
    duration retryDelay = std::chrono::milliseconds(500); ///< Delay before the first retry of an item; doubles up to maximumRetryDelay.
    duration maximumRetryDelay = std::chrono::seconds(30);
    duration rescanDelay = std::chrono::seconds(5); ///< Delay before requeued items are read again.
    /// Delay before a failed store call is repeated; doubles up to maximumStoreRetryDelay.
    duration storeRetryDelay = std::chrono::milliseconds(500);
    duration maximumStoreRetryDelay = std::chrono::seconds(5);
    /// Shortest time between commits that are triggered by starts or results of non-repeatable items.
    duration startInterval = std::chrono::milliseconds(200);
    duration cancelGrace = std::chrono::seconds(10); ///< Time that items in flight have to end after a cancel.
    /// Number of ends as item_outcome::NotRun after which an item is requeued: dropped from memory and read again later.
    std::uint32_t triesBeforeRequeue = 4;
    /// Number of lost runs of one item after which it is not retried. A lost run may have used an upstream's capacity
    /// without an answer.
    std::uint32_t lostRunsPerItem = 3;
    double lostRunShare = 0.1; ///< Retries after lost runs that the job may make, as a share of the items finished so far.
    std::uint32_t lostRunReserve = 16; ///< Retries after lost runs that are allowed in addition to lostRunShare.
    std::uint64_t seed = 1; ///< Seed of the jitter of retry delays.
};

} // namespace banyan
