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

/// The upstreams that are registered, as this node knows it.
///
/// Registrations lapse while their store is away, although the upstreams live. So what is known is kept during an outage, and
/// entries that are missing afterwards are kept for the grace period, in which living upstreams register again.
class replica_registry
{
public:
    /// @p grace begins when the store answers again.
    explicit replica_registry(duration grace);

    /// Takes in a whole reading of the registrations.
    void replaceAll(const std::vector<replica> &registered, time_point now);

    /// Takes in one registration. Returns whether it is new or differs from what was known.
    bool recordRegistration(const replica &entry);

    /// Takes in that an entry is gone, or names no upstream any more.
    void recordRemoval(const upstream_id &id, time_point now);

    /// Another upstream answers at the entry's address: it is not used until it is registered with another address.
    void recordAddressReuse(const upstream_id &id);

    /// Takes in that a start of an upstream has said in an answer that it leaves, to this node or, with @p told, to another one.
    /// It counts as draining from now on, whatever its registration says; other starts under its id do not. Returns whether
    /// this is new.
    bool recordLeaving(upstream_key start, bool fromPeer, time_point now);

    /// Registered starts that have told this node itself that they leave, for its reports.
    [[nodiscard]] std::vector<upstream_key> locallyObservedLeaving() const;

    /// Registered starts that leave, as far as this node knows from answers.
    [[nodiscard]] std::size_t leavingCount() const;

    /// The store does not answer any more, or answers again.
    void storeLost();
    void storeRegained(time_point now);

    /// Drops entries whose grace has passed. Returns whether any was dropped.
    bool tick(time_point now);

    /// When tick() is next needed, if at all.
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;

    /// Every upstream that may be used or is draining, by its registration or by what it has said.
    [[nodiscard]] std::vector<replica> replicas() const;

private:
    struct leaving_start
    {
        time_point since;
        bool fromPeer = false; ///< Only by other nodes.
    };

    [[nodiscard]] bool retainsMissing(time_point now) const;
    [[nodiscard]] bool isLeaving(const replica &entry) const;
    [[nodiscard]] std::vector<replica> leavingEntries() const;
    void pruneLeavingStarts(time_point now);

    duration m_grace;
    std::map<upstream_id, replica> m_entries;
    std::set<upstream_id> m_missing; ///< Kept until m_graceEnd.
    std::map<upstream_id, endpoint> m_reusedAddresses;
    std::map<upstream_key, leaving_start> m_leaving;
    bool m_storeUnavailable = false;
    std::optional<time_point> m_graceEnd;
};

} // namespace banyan
