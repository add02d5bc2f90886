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

/// Work of all nodes at one upstream.
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
/// What speaks for an upstream: a free slot; that it has not failed and is not slow; that the run's node has an idle
/// connection to it, is in its failure domain, or that it has lately read the prompt's shared part.
class upstream_choice
{
public:
    /// @p board and @p generator must outlive the choice.
    upstream_choice(const load_board &board, std::mt19937_64 &generator);

    /// For an online run: an upstream with a slot that is free or held by batch work; null if online work holds all.
    [[nodiscard]] scheduled_upstream *
    selectForOnline(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now);

    /// For a batch run: an upstream with a free slot, if more are free than online work will need before other nodes' batch
    /// work can give way, which takes @p reactionTime; else null.
    [[nodiscard]] scheduled_upstream *selectForBatch(const service_schedule &service,
                                                     const cell_schedule &cell,
                                                     const slot_request &request,
                                                     duration reactionTime,
                                                     time_point now);

    /// Whether the cell has an upstream for a run at all, busy or not.
    [[nodiscard]] bool
    hasCandidate(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const;

    /// Work of all nodes at an upstream.
    [[nodiscard]] total_work workAt(const scheduled_upstream &upstream) const;

    /// Whether a failure of the upstream is so new that it speaks against it.
    [[nodiscard]] static bool isDegraded(const scheduled_upstream &upstream, time_point now);

    /// Takes in that a run was granted, or that it has ended; @p connectionStays if its node can use the connection again.
    void granted(const slot_request &request, const upstream_id &upstream);
    void released(const slot_request &request, const upstream_id &upstream, bool connectionStays, time_point now);

private:
    [[nodiscard]] bool
    isAvoided(const service_schedule &service, const scheduled_upstream &upstream, const slot_request &request, time_point now) const;
    [[nodiscard]] std::vector<scheduled_upstream *>
    candidates(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const;
    [[nodiscard]] double
    preference(const service_schedule &service, const scheduled_upstream &upstream, const slot_request &request, time_point now);
    [[nodiscard]] std::optional<double>
    onlineScore(const service_schedule &service, const scheduled_upstream &upstream, const slot_request &request, time_point now);

    const load_board &m_board;
    std::mt19937_64 &m_generator;
    prefix_affinity m_prefixes;
    held_connections m_connections;
    time_point m_lastExpiryAt;
};

} // namespace banyan
