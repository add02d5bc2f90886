#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/upstream_usage.h"
#include "banyan/core/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyan {

/// This node's view of the registered upstreams.
///
/// Registrations expire while the store is unavailable, although the upstreams still run. Entries are therefore kept during
/// an outage, and those missing afterwards are kept for a grace period, in which running upstreams register again.
class replica_registry
{
public:
    /// The period @p grace begins when the store answers again.
    explicit replica_registry(duration grace);

    /// Replaces all entries by a complete list of the registrations.
    void replaceAll(const std::vector<replica> &registered, time_point now);

    /// Records one registration. Returns whether it is new or differs from the previous one.
    bool recordRegistration(const replica &entry);

    /// Records that an entry was deleted or no longer describes an upstream.
    void recordRemoval(const upstream_id &id, time_point now);

    /// Records that another upstream answers at the entry's address. The entry is not used until it is registered with a
    /// different address.
    void recordAddressReuse(const upstream_id &id);

    /// Records that an incarnation of an upstream, given by its key from keyOfStart(), announced in an answer that it leaves:
    /// to this node or, with @p fromPeer, to another one. It counts as draining from now on, whatever its registration says;
    /// other incarnations under its id do not. Returns whether this is new, or the first announcement to this node.
    bool recordLeaving(upstream_key start, bool fromPeer, time_point now);

    /// Registered incarnations that announced to this node itself that they leave, for its load reports.
    [[nodiscard]] std::vector<upstream_key> locallyObservedLeaving() const;

    /// Number of registered incarnations that announced, to this node or to a peer, that they leave.
    [[nodiscard]] std::size_t leavingCount() const;

    /// Called when the store no longer answers, and when it answers again.
    void storeLost();
    void storeRegained(time_point now);

    /// Drops missing entries when the grace period has ended. Returns whether any was dropped.
    bool tick(time_point now);

    /// When tick() has to be called next, if at all.
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;

    /// Every upstream that may be used or is draining, either by its registration or because it announced that it leaves.
    [[nodiscard]] std::vector<replica> replicas() const;

private:
    struct leaving_start
    {
        time_point since;
        bool fromPeer = false; ///< Whether only other nodes reported it.
    };

    [[nodiscard]] bool retainsMissing(time_point now) const;
    [[nodiscard]] bool isLeaving(const replica &entry) const;
    [[nodiscard]] std::vector<replica> leavingEntries() const;
    void pruneLeavingStarts(time_point now);

    duration m_grace;
    std::map<upstream_id, replica> m_entries;
    std::set<upstream_id> m_missing; ///< Entries without a registration, kept until m_graceEnd.
    std::map<upstream_id, endpoint> m_reusedAddresses;
    std::map<upstream_key, leaving_start> m_leaving;
    bool m_storeUnavailable = false;
    std::optional<time_point> m_graceEnd;
};

} // namespace banyan
