#pragma once

#include "banyan/io/asio_types.h"

#include <functional>
#include <optional>
#include <string>

namespace banyan {

/// How batch jobs see the leases of nodes. A job is owned by a lease, that is by one incarnation of a node. No safety
/// rests on these answers: each change of a job is conditional on its row, whose fencing number grows with the owner.
struct job_leases
{
    std::function<std::optional<std::string>()> held; ///< The lease that this node holds now; none: it must not coordinate.
    std::function<task<bool>(std::string lease)> expired; ///< Whether another may take over what @p lease owns.
};

} // namespace banyan
