#pragma once

#include "banyan/core/time.h"

#include <cstddef>
#include <cstdint>

namespace banyan {

/// Options of a job_coordinator.
struct job_coordinator_options
{
    std::size_t itemsInFlight = 256; ///< Given to the request runner at once.
    std::size_t itemsWaiting = 256; ///< Kept in memory between two tries; others are read again later.
    std::size_t nonRepeatableItems =
        32; ///< Items not to be repeated that are started and have no committed result; as many may end as unknown.
    std::size_t resultsPerCommit = 512; ///< As many finished items make a commit due.
    std::size_t bytesPerCommit = std::size_t(1) << 20; ///< As many bytes of results make a commit due.
    std::size_t bufferedBytes = std::size_t(4) << 20; ///< Results not committed yet; at this size no further item is started.
    std::size_t bufferedResults = 1024; ///< As bufferedBytes, in items.
    duration commitInterval = std::chrono::seconds(30); ///< A finished item waits no longer than this for its commit.
    duration retryDelay = std::chrono::milliseconds(500); ///< First delay before an item that was not run is tried again; doubles.
    duration maximumRetryDelay = std::chrono::seconds(30);
    duration rescanDelay = std::chrono::seconds(5); ///< Before items that were put back are read again.
    duration storeRetryDelay = std::chrono::milliseconds(500); ///< After the store did not answer; doubles up to maximumStoreRetryDelay.
    duration maximumStoreRetryDelay = std::chrono::seconds(5);
    duration startInterval =
        std::chrono::milliseconds(200); ///< Between commits that are due for items not to be repeated, their starts or their results.
    duration cancelGrace = std::chrono::seconds(10); ///< For items in flight to end after a cancel.
    std::uint32_t triesBeforeRequeue = 4; ///< Times that an item may end as not run before it is put back to be read again later.
    std::uint32_t lostRunsPerItem = 3; ///< Runs of one item that may have cost an upstream its work without an answer.
    double lostRunShare = 0.1; ///< Such runs beyond each item's first, as a share of the items finished so far.
    std::uint32_t lostRunReserve = 16; ///< Such runs that are always allowed.
    std::uint64_t seed = 1; ///< For jitter.
};

} // namespace banyan
