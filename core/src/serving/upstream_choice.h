#pragma once

#include "../prefix_affinity.h"
#include "banyan/core/serving/load_board.h"
#include "held_connections.h"
#include "service_schedule.h"

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
    [[nodiscard]] std::uint32_t all() const
    {
        return online + batch;
    }
};

/// Chooses the upstream for a run.
///
/// Prefers upstreams with free slots, without failures or slowness, with an idle connection from the run's node, in the
/// same failure domain as that node, and with the prompt's shared prefix in their cache.
class upstream_choice
{
public:
    /// @p board and @p generator must outlive this object.
    upstream_choice(const load_board &board, std::mt19937_64 &generator);

    /// Selects for an online run an upstream with a slot that is free or held by batch work; null if online work holds all.
    [[nodiscard]] scheduled_upstream *
    selectForOnline(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now);

    /// Selects for an online run that finds no slot elsewhere an upstream that is avoided for its slowness only and is still expected to
    /// answer within the run's target; null if there is none with a slot.
    [[nodiscard]] scheduled_upstream *
    selectAmongSlow(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now);

    /// Selects for a batch run an upstream with a free slot; null unless more slots are free than online work will need
    /// within @p reactionTime, the time that other nodes need to preempt batch runs.
    [[nodiscard]] scheduled_upstream *selectForBatch(const service_schedule &service,
                                                     const cell_schedule &cell,
                                                     const slot_request &request,
                                                     duration reactionTime,
                                                     time_point now);

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
    [[nodiscard]] bool
    isAvoided(const service_schedule &service, const scheduled_upstream &upstream, const slot_request &request, time_point now) const;
    [[nodiscard]] std::vector<scheduled_upstream *>
    candidates(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const;
    [[nodiscard]] double
    preference(const service_schedule &service, const scheduled_upstream &upstream, const slot_request &request, time_point now);
    [[nodiscard]] std::optional<double> onlineScore(const service_schedule &service,
                                                    const cell_schedule &cell,
                                                    const scheduled_upstream &upstream,
                                                    const slot_request &request,
                                                    time_point now);

    const load_board &m_board;
    std::mt19937_64 &m_generator;
    prefix_affinity m_prefixes;
    held_connections m_connections;
    time_point m_lastExpiryAt;
};

} // namespace banyan
