#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace banyan {

/// Options of a record_service.
struct record_service_options
{
    node_id node; ///< This incarnation.
    duration leaseDuration = std::chrono::seconds(10); ///< Without a renewal for this long, others take the records over.
    duration scanInterval = std::chrono::seconds(2); ///< Between looks for lapsed leases, at least.
    double fleetScansPerSecond = 4; ///< Looks for lapsed leases of all nodes together, at most.
    double fleetCommitsPerSecond = 300; ///< Transactions of all nodes together, at most.
    duration giveUpAfter = std::chrono::hours(1); ///< How long an accepted request that was not run is tried again.
    duration retention = std::chrono::hours(72); ///< How long a final record stays readable.
    duration sweepInterval = std::chrono::seconds(5); ///< Between two pages of records checked for their retention.
    std::size_t inlineBytes = std::size_t(16) << 10; ///< Longer requests and answers are stored as objects.
    std::size_t maximumInProgress = 2000; ///< Records that one node runs at a time; more are refused.
    std::size_t keptResultBytes = std::size_t(16) << 20; ///< Results of repeatable requests held while the store is down.
    std::size_t keptCopyBytes = std::size_t(16) << 20; ///< Copies of other nodes' results held while the store is down.
    duration copyDelay = std::chrono::seconds(1); ///< How long a result waits for the store before copies are made.

    /// The pool that a service has now; none if the service does not exist. If unset, requests keep the pool that they were accepted with.
    std::function<std::optional<pool_name>(const service_name &service)> poolOf;
    /// Asks other VMs to hold a result that the store does not take (RPC keepResult); may be unset.
    std::function<task<>(std::string recordKey, std::string result)> keepCopy;
    /// Tells them that the store has it (RPC forgetResult); may be unset.
    std::function<task<>(std::string recordKey)> forgetCopy;
};

} // namespace banyan
