#include "banyan/core/cell_router.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace banyan {

namespace {

/// The observed state of a cell.
struct cell_state
{
    cell_load load;
    time_point reportedAt;
    double sentSinceReport = 0; ///< Requests that this node has sent since the last report.
    time_point avoidedUntil;
    std::uint32_t consecutivePenalties = 0; ///< Consecutive times that the cell was unreachable or had no slots.
};

constexpr double localDomainAdvantage = 0.25; ///< How much higher the load score of a local cell may be for it to be chosen.

constexpr std::uint32_t penaltyDoublings = 2; ///< Limits the longest penalty to four times the first.

/// Exponential decay, 2^(-age / half-life).
double ageWeight(duration age, duration halfLife)
{
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

} // namespace

class cell_router::implementation
{
public:
    explicit implementation(const cell_router_options &options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    void setCells(std::span<const cell_id> cells)
    {
        std::map<cell_id, cell_state> kept;
        for (const cell_id &cell : cells) {
            const auto known = m_cells.find(cell);
            kept[cell] = known == m_cells.end() ? cell_state() : known->second;
        }
        m_cells = std::move(kept);
    }

    std::optional<cell_id> choose(const pool_name &pool, const dispatch_request &request, std::span<const cell_id> excluded, time_point now)
    {
        const std::vector<cell_id> candidates = candidatesOf(pool, excluded, now);
        if (candidates.empty()) {
            return std::nullopt;
        }
        const cell_id first = pickRandom(candidates, true);
        const cell_id second = pickRandom(candidates, false);
        const cell_id &chosen = loadScore(first, request.workClass, now) <= loadScore(second, request.workClass, now) ? first : second;
        m_cells[chosen].sentSinceReport += 1;
        return chosen;
    }

    void recordLoad(const cell_id &cell, const cell_load &load, time_point now)
    {
        const auto entry = m_cells.find(cell);
        if (entry != m_cells.end()) {
            cell_state &state = entry->second;
            state.load = load;
            state.reportedAt = now;
            state.sentSinceReport = 0;
            if (load.slots == 0) {
                applyPenalty(state, now);
            } else {
                state.avoidedUntil = time_point();
                state.consecutivePenalties = 0;
            }
        }
    }

    void markUnreachable(const cell_id &cell, time_point now)
    {
        const auto entry = m_cells.find(cell);
        if (entry != m_cells.end()) {
            applyPenalty(entry->second, now);
        }
    }

private:
    /// Avoids a cell for the penalty, which doubles up to a bound each time that the cell fails again. Failures during a
    /// penalty are ignored, because they concern requests sent before it began.
    void applyPenalty(cell_state &state, time_point now) const
    {
        if (state.avoidedUntil > now) {
            return;
        }
        state.avoidedUntil = now + m_options.penalty * (1U << std::min(state.consecutivePenalties, penaltyDoublings));
        ++state.consecutivePenalties;
    }

    /// The cells of @p pool that are not excluded; those being avoided only if there are no others.
    [[nodiscard]] std::vector<cell_id> candidatesOf(const pool_name &pool, std::span<const cell_id> excluded, time_point now) const
    {
        std::vector<cell_id> preferred;
        std::vector<cell_id> avoided;
        for (const auto &[cell, state] : m_cells) {
            if (cell.pool == pool && std::find(excluded.begin(), excluded.end(), cell) == excluded.end()) {
                (state.avoidedUntil > now ? avoided : preferred).push_back(cell);
            }
        }
        return preferred.empty() ? avoided : preferred;
    }

    /// A random cell of @p candidates; with @p preferLocal one of the local failure domain, if there is any.
    [[nodiscard]] cell_id pickRandom(const std::vector<cell_id> &candidates, bool preferLocal)
    {
        std::vector<cell_id> pool;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(pool), [&](const cell_id &cell) {
            return !preferLocal || cell.domain == m_options.localDomain;
        });
        const std::vector<cell_id> &from = pool.empty() ? candidates : pool;
        std::uniform_int_distribution<std::size_t> index(0, from.size() - 1);
        return from[index(m_random)];
    }

    /// Load relative to the cell's slots; lower is better. Batch work counts for batch requests only.
    [[nodiscard]] double loadScore(const cell_id &cell, work_class value, time_point now) const
    {
        const cell_state &state = m_cells.at(cell);
        double work = state.load.onlineQueued + state.load.onlineInFlight;
        if (value == work_class::Batch) {
            work += state.load.batchQueued + state.load.batchInFlight;
        }
        const double weight = ageWeight(now - state.reportedAt, m_options.loadHalfLife);
        const double slots = std::max(1U, state.load.slots);
        const double remotePenalty = cell.domain == m_options.localDomain ? 0 : localDomainAdvantage;
        return (weight * work + state.sentSinceReport) / slots + remotePenalty;
    }

    cell_router_options m_options;
    std::mt19937_64 m_random;
    std::map<cell_id, cell_state> m_cells;
};

cell_router::cell_router(const cell_router_options &options)
    : m_implementation(std::make_unique<implementation>(options))
{
}

cell_router::~cell_router() = default;

void cell_router::setCells(std::span<const cell_id> cells)
{
    m_implementation->setCells(cells);
}

std::optional<cell_id>
cell_router::choose(const pool_name &pool, const dispatch_request &request, std::span<const cell_id> excluded, time_point now)
{
    return m_implementation->choose(pool, request, excluded, now);
}

void cell_router::recordLoad(const cell_id &cell, const cell_load &load, time_point now)
{
    m_implementation->recordLoad(cell, load, now);
}

void cell_router::markUnreachable(const cell_id &cell, time_point now)
{
    m_implementation->markUnreachable(cell, now);
}

} // namespace banyan
