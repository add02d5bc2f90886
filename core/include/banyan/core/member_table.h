#pragma once

#include "banyan/core/member_update.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace banyan {

/// Options of a member_table.
struct member_table_options
{
    duration baseSuspicionTimeout =
        std::chrono::seconds(2); ///< Suspicion timeout in a fleet of ten nodes; grows with the logarithm of the fleet size.
    duration deadRetention = std::chrono::minutes(10); ///< How long a dead node is kept, so that stale updates do not revive it.
    std::size_t maximumMembers = 8192; ///< Limit that includes dead nodes; updates on further nodes are ignored.
};

/// The effect of an update on a member_table.
enum class member_change {
    None, ///< The update was stale or already known.
    Updated, ///< The update is new and is to be forwarded, but the set of nodes that run and accept work is the same.
    ViewChanged, ///< A node started or stopped running, or began to leave.
};

/// The state of the other nodes as observed by this node.
///
/// Updates on a node are ordered by incarnation, then state; the table keeps the latest, whatever order they arrive in.
/// As an exception, an update that declares an alive node Dead counts as a suspicion, which the node can refute: otherwise
/// nodes would be removed and added again when a network partition heals.
class member_table
{
public:
    explicit member_table(const member_table_options &options);

    /// Applies an update on another node; must not be called for this node.
    member_change merge(const member_update &update, time_point now);

    /// Declares a running node dead.
    member_change declareDead(const node_id &id, time_point now);

    /// Declares nodes dead whose suspicions have timed out, and removes nodes whose retention has ended.
    /// @returns the updates that declare nodes dead, to be forwarded
    [[nodiscard]] std::vector<member_update> expire(time_point now);

    /// The earliest end of a suspicion; none if no node is suspected.
    [[nodiscard]] std::optional<time_point> nextExpiry() const;

    /// Extends all suspicions by @p extra, for a time in which this node could not receive refutations.
    void extendSuspicions(duration extra);

    /// The latest update on a node; null if the node is unknown. Valid until the table changes.
    [[nodiscard]] const member_update *find(const node_id &id) const;

    /// Ids of the nodes that are alive or suspected, in no particular order.
    [[nodiscard]] const std::vector<node_id> &running() const
    {
        return m_running;
    }

    /// Updates on running nodes whose ids follow @p after, as many as fit in @p bytes.
    [[nodiscard]] std::vector<member_update> page(const node_id &after, std::size_t bytes) const;

    /// Updates on all running nodes, ordered by id.
    [[nodiscard]] std::vector<member_update> runningUpdates() const;

    /// The duration of a suspicion at the current fleet size.
    [[nodiscard]] duration suspicionTimeout() const;

private:
    struct member
    {
        member_update latest;
        time_point changed;
        std::size_t runningIndex = 0; // index in m_running; valid while running
    };

    member_change add(const member_update &update, time_point now);
    member_change replace(member &existing, const member_update &update, time_point now);
    void setRunning(member &entry, bool running);
    void trackSuspicion(const member_update &update, time_point now);
    void removeExpiredDead(time_point now);

    member_table_options m_options;
    std::map<node_id, member> m_members;
    std::vector<node_id> m_running;
    std::map<node_id, time_point> m_suspicions; // end of each suspicion
    time_point m_nextRemoval;
};

} // namespace banyan
