#pragma once

#include "../prefix_affinity.h"
#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/placement_policy.h"
#include "expected_times.h"
#include "held_connections.h"
#include "service_schedule.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace banyan {

/// Work in flight of all nodes at one upstream.
struct total_work
{
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    outstanding_work reported; ///< Of the other nodes' runs, as far as they report it.

    [[nodiscard]] std::uint32_t all() const
    {
        return online + batch;
    }
};

/// Ranks an upstream for a run; the lowest is best.
struct placement_score
{
    int tier = 0; ///< No preference outweighs a difference of tiers.
    double cost = 0; ///< Within a tier, in mean run times of an online run.

    auto operator<=>(const placement_score &) const = default;
};

/// Chooses the upstream for a run.
///
/// Prefers upstreams with free slots, without failures or slowness, with an idle connection from the run's node, in the
/// same failure domain as that node, and with the prompt's shared prefix in their cache.
///
/// Load pattern of the placement by cost: upstreams of different speeds, with disturbances, and runs of very different
/// lengths. Among the upstreams that the rules allow and that have a free slot, a run goes where it is expected to begin its answer
/// and to finish soonest.
class upstream_choice
{
public:
    /// @p board and @p generator must outlive this object.
    upstream_choice(const load_board &board, std::mt19937_64 &generator, placement_policy policy = placement_policy::LeastRuns);

    /// Whether runs of the service are placed by their expected cost.
    [[nodiscard]] bool placesByCost(const service_schedule &service) const;

    /// The factor by which the upstream's times may exceed those of an average one before it counts as slow; 1 for services that are
    /// not placed by cost.
    [[nodiscard]] double usualFactor(const service_schedule &service, const scheduled_upstream &upstream) const;

    /// Finds out whether other nodes have more work in flight than this one at the upstreams that it uses. Nodes that all choose the
    /// upstream that looks best between two reports would collide there, so the runs of a shared service are not placed by cost.
    void reviewSharing(service_schedule &service, time_point now) const;

    /// Sets what a run that is granted now is expected to cost; before granted() is called for it.
    void recordExpectations(const service_schedule &service, const scheduled_upstream &upstream, granted_run &run, time_point now) const;

    /// The remaining time, in milliseconds, of this node's own runs at an upstream that other nodes are told; 0 if they are told none.
    [[nodiscard]] std::uint32_t reportedWork(const service_schedule &service, const scheduled_upstream &upstream, time_point now) const;

    /// Selects for an online run an upstream with a slot that is free or held by batch work; null if online work holds all.
    [[nodiscard]] scheduled_upstream *
    selectForOnline(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now);

    /// Selects for an online run that finds no slot elsewhere an upstream that is avoided for its slowness only and is still expected to
    /// answer within the run's target; null if there is none with a slot.
    [[nodiscard]] scheduled_upstream *
    selectAmongSlow(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now);

    /// Selects for a batch run an upstream with a free slot; null unless more slots are free than online work will need
    /// within @p reactionTime, the time that other nodes need to preempt batch runs. Where no upstream is in rotation, the run may
    /// probe one before its ejection ends.
    [[nodiscard]] scheduled_upstream *selectForBatch(const service_schedule &service,
                                                     const cell_schedule &cell,
                                                     const slot_request &request,
                                                     duration reactionTime,
                                                     time_point now);

    /// Whether an upstream of the cell, busy or not, is neither ejected nor known to be degraded, for runs of the request's version.
    [[nodiscard]] bool
    hasRotation(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const;

    /// Whether the cell has any upstream for a run, busy or not.
    [[nodiscard]] bool
    hasCandidate(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const;

    /// The work in flight of all nodes at an upstream.
    [[nodiscard]] total_work workAt(const scheduled_upstream &upstream) const;

    /// Whether an attempt at the upstream recently failed or was overdue on this node.
    [[nodiscard]] static bool isDegraded(const scheduled_upstream &upstream, time_point now);

    /// Records the grant or the end of a run; @p connectionStays tells whether its node can reuse the connection.
    void granted(const slot_request &request, const upstream_id &upstream);
    void released(const slot_request &request, const upstream_id &upstream, bool connectionStays, time_point now);

private:
    /// What is the same for all upstreams of a decision.
    struct decision
    {
        const service_schedule &service;
        const cell_schedule &cell;
        const slot_request &request;
        time_point now;
        bool byCost = false;
        const upstream_id *cached = nullptr; ///< The upstream that is expected to keep the prompt's shared prefix.
        expected_work work;
        expected_work workIfCached;

        [[nodiscard]] bool isCached(const upstream_id &upstream) const
        {
            return cached != nullptr && *cached == upstream;
        }
    };

    [[nodiscard]] bool
    mayProbe(const service_schedule &service, const scheduled_upstream &upstream, const slot_request &request, time_point now) const;
    [[nodiscard]] bool
    isAvoided(const service_schedule &service, const scheduled_upstream &upstream, const slot_request &request, time_point now) const;
    [[nodiscard]] std::vector<scheduled_upstream *>
    candidates(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const;
    [[nodiscard]] bool isCached(const slot_request &request, const upstream_id &upstream) const;
    [[nodiscard]] decision
    decide(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const;
    [[nodiscard]] static upstream_prospect prospectOf(const decision &context, const scheduled_upstream &upstream, const total_work &work);
    [[nodiscard]] static bool mayBeRelearned(const scheduled_upstream &upstream, const total_work &work, time_point now);
    [[nodiscard]] static double loadScore(const service_schedule &service, const scheduled_upstream &upstream, const total_work &work);
    [[nodiscard]] static placement_score costScore(const decision &context, const scheduled_upstream &upstream, const total_work &work);
    [[nodiscard]] static placement_score baseScore(const decision &context, const scheduled_upstream &upstream, const total_work &work);
    [[nodiscard]] double preference(const decision &context, const scheduled_upstream &upstream);
    [[nodiscard]] placement_score batchScore(const decision &context, const scheduled_upstream &upstream, const total_work &work);
    [[nodiscard]] std::optional<placement_score> onlineScore(const decision &context, const scheduled_upstream &upstream);

    const load_board &m_board;
    std::mt19937_64 &m_generator;
    placement_policy m_policy;
    prefix_affinity m_prefixes;
    held_connections m_connections;
    time_point m_lastExpiryAt;
};

} // namespace banyan
