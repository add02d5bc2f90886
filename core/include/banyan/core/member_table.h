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
    duration baseSuspicionTimeout = std::chrono::seconds(2); ///< Suspicion timeout of a fleet of ten; grows with the logarithm.
    duration deadRetention = std::chrono::minutes(10); ///< How long a dead node is remembered, against stale news of it.
    std::size_t maximumMembers = 8192; ///< Dead ones included; news of further nodes is ignored.
};

/// What a report changed.
enum class member_change {
    None, ///< It was stale or known.
    Updated, ///< It is news to pass on, but the same nodes take part as before.
    ViewChanged, ///< A node began or ceased to take part, or began to leave.
};

/// The other nodes as this node knows them.
///
/// Reports on a node are ordered by incarnation, then state; the table keeps the latest, whatever order they come in.
/// One exception keeps healing calm: a report that a running node is Dead counts as a suspicion, which the node can refute.
class member_table
{
public:
    explicit member_table(const member_table_options &options);

    /// Takes in a report. Not to be used for the own node.
    member_change merge(const member_update &update, time_point now);

    /// Declares dead a node that did not refute a suspicion.
    member_change declareDead(const node_id &id, time_point now);

    /// Turns suspicions that were not refuted in time into deaths, returned for passing on; forgets long dead nodes.
    [[nodiscard]] std::vector<member_update> expire(time_point now);

    /// When expire() has something to do; none if nobody is suspected.
    [[nodiscard]] std::optional<time_point> nextExpiry() const;

    /// Grants all suspicions @p extra time, because this node could not have heard refutations meanwhile.
    void extendSuspicions(duration extra);

    /// The latest report on a node; null if it is unknown. Valid until the table changes.
    [[nodiscard]] const member_update *find(const node_id &id) const;

    /// The ids of nodes that are alive or suspected, in no particular order.
    [[nodiscard]] const std::vector<node_id> &running() const
    {
        return m_running;
    }

    /// Reports on running nodes whose ids follow @p after, as many as fit in @p bytes.
    [[nodiscard]] std::vector<member_update> page(const node_id &after, std::size_t bytes) const;

    /// All running nodes in the order of ids.
    [[nodiscard]] std::vector<member_update> runningUpdates() const;

    /// How long a suspicion lasts at the present size.
    [[nodiscard]] duration suspicionTimeout() const;

private:
    struct member
    {
        member_update latest;
        time_point changed;
        std::size_t runningIndex = 0; // within m_running, if running
    };

    member_change add(const member_update &update, time_point now);
    member_change replace(member &existing, const member_update &update, time_point now);
    void setRunning(member &entry, bool running);
    void trackSuspicion(const member_update &update, time_point now);
    void removeExpiredDead(time_point now);

    member_table_options m_options;
    std::map<node_id, member> m_members;
    std::vector<node_id> m_running;
    std::map<node_id, time_point> m_suspicions; // when each ends
    time_point m_nextRemoval;
};

} // namespace banyan
