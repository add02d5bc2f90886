#pragma once

#include "banyan/core/time.h"
#include "banyan/core/transaction.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/store_port.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// Options of a job_leases.
struct job_leases_options
{
    std::string node; ///< Unique to one start of a process.
    duration leaseDuration = std::chrono::seconds(6); ///< After which another node takes over what this one owned.
    duration idleTime = std::chrono::seconds(60); ///< After which a lease that owns nothing is given up.
};

/// A lease that has lapsed or is gone.
struct lapsed_lease
{
    /// Conditions and writes that have to be part of the transaction that takes over what the lease owned; they end the
    /// lease, so that a holder that was only slow does not go on.
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/// The leases of nodes that coordinate batch jobs: one row for each such node, whatever the number of its jobs.
///
/// No safety rests on a lease: each change of a job is conditional on the job's row, whose fencing number grows with
/// its owner. The lease only tells when to take over, and when to stop early.
class job_leases
{
public:
    job_leases(asio::io_context &context, const store_port &port, job_leases_options options);
    ~job_leases();

    /// Sees to it that this node has a lease; waits while the store does not answer.
    [[nodiscard]] task<> acquire();

    /// The row key of this node's lease, whether or not it still stands by the local clock; empty: there is none.
    [[nodiscard]] const std::string &own() const;

    /// Whether this node's lease stands by the local clock.
    [[nodiscard]] bool held() const;

    /// Calls @p handler each time that the lease turns out to be lost.
    void onLost(std::function<void()> handler);

    /// Gives a lease up that is not used; @p inUse tells whether it owns jobs now.
    [[nodiscard]] task<> giveUpIfIdle(bool inUse);

    /// Gives the lease up, at the latest @p until.
    [[nodiscard]] task<> release(time_point until);

    /// Looks at another node's lease; none while it stands. It has lapsed when it has been seen unchanged for the lease
    /// duration, so this has to be called now and then. @throws platform_unavailable
    [[nodiscard]] task<std::optional<lapsed_lease>> lookAt(std::string lease);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
