#pragma once

#include "banyan/core/batch_item.h"
#include "banyan/core/identifier.h"
#include "banyan/io/run_request.h"

#include <functional>

namespace banyan {

/// Makes the request of a batch item under the configuration in force: finds the service of the item's url and model,
/// checks that the caller reaches it, and fills in pool, message, repeatable, fingerprint and the like. The job sets
/// dispatch.id (the same each time that the item runs), workClass Batch and the deadline afterwards.
/// @throws item_rejected for an item that can never be run; it becomes the item's error result. After any other
/// exception, for example while this node has no configuration yet, the item is tried again later.
using item_request_builder = std::function<run_request(const caller_id &caller, const batch_item &item)>;

} // namespace banyan
