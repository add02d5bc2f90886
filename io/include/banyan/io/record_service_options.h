#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"

#include <cstddef>
#include <functional>
#include <string>

namespace banyan {

/// Options of a record_service.
struct record_service_options
{
    node_id node; ///< This incarnation.
    duration leaseDuration = std::chrono::seconds(10); ///< Without a renewal for this long, others take the records over.
    duration scanInterval = std::chrono::seconds(2); ///< Between looks for lapsed leases, at least.
    duration retention = std::chrono::hours(72); ///< How long a final record stays readable.
    std::size_t keptResultBytes = std::size_t(16) << 20; ///< Results held in memory while the store does not take them.

    /// Asks other VMs to hold a result that the store does not take (RPC keepResult); may be unset.
    std::function<task<>(std::string recordKey, std::string result)> keepCopy;
    /// Tells them that the store has it (RPC forgetResult); may be unset.
    std::function<task<>(std::string recordKey)> forgetCopy;
};

} // namespace banyan
