#include "upstream_choice.h"

#include "../seconds.h"

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr duration degradedPeriod = std::chrono::seconds(2); ///< How long an upstream counts as degraded after a failure.
constexpr std::uint32_t avoidanceThreshold = 2; ///< An upstream is avoided if this many nodes, this one included, see it as degraded.
constexpr double otherDomainScore = 0.06; ///< Penalty for another failure domain, in units of relative load, like the scores below.
constexpr double affinityScore = 0.12; ///< Bonus for an upstream that recently processed the prompt's shared prefix.
constexpr double connectionScore = 0.25; ///< Bonus for an idle connection; less than the penalties for failure and slowness.
constexpr double slowScore = 0.3; ///< Penalty per multiple by which the time to first byte exceeds the average, at most once.
constexpr double degradedScore = 0.5; ///< Penalty of a degraded upstream that is not avoided altogether.
constexpr double limitedScore = 0.3; ///< Bonus of a rate-limited upstream for work that its rate should be used for, else a penalty.
constexpr double jitterScore = 0.02; ///< Random part, so that nodes with the same view choose different upstreams.
constexpr std::size_t rememberedPrefixes = 1024;
constexpr duration expiryInterval = std::chrono::seconds(1); ///< Interval between two expiry passes over the held connections.

bool isExcluded(const slot_request &request, const upstream_id &upstream)
{
    return std::find(request.excluded.begin(), request.excluded.end(), upstream) != request.excluded.end();
}

} // namespace

upstream_choice::upstream_choice(const load_board &board, std::mt19937_64 &generator)
    : m_board(board)
    , m_generator(generator)
    , m_prefixes(rememberedPrefixes)
{
}

total_work upstream_choice::workAt(const scheduled_upstream &upstream) const
{
    const load_board::total_usage others = m_board.usageOf(upstream.key);
    return {.online = upstream.online + others.online, .batch = upstream.batch + others.batch};
}

bool upstream_choice::isDegraded(const scheduled_upstream &upstream, time_point now)
{
    return upstream.degradedAt && now - *upstream.degradedAt < degradedPeriod;
}

/// Whether the upstream should get the request only if there is no other, by the observations of this node and the others.
/// An ejected upstream that may have recovered is probed by one repeatable run at a time.
bool upstream_choice::isAvoided(const service_schedule &service,
                                const scheduled_upstream &upstream,
                                const slot_request &request,
                                time_point now) const
{
    const upstream_condition condition = service.outliers.conditionOf(upstream.info.id, now);
    if (condition == upstream_condition::Probing) {
        return !request.repeatable || upstream.online + upstream.batch > 0;
    }
    if (condition == upstream_condition::Ejected) {
        return true;
    }
    return m_board.usageOf(upstream.key).degradedNodes + (isDegraded(upstream, now) ? 1 : 0) >= avoidanceThreshold;
}

/// The upstreams for a request, of the version that it needs: those that are not avoided; if none, the avoided ones; if none, the excluded ones.
std::vector<scheduled_upstream *>
upstream_choice::candidates(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const
{
    std::vector<scheduled_upstream *> good;
    std::vector<scheduled_upstream *> avoided;
    std::vector<scheduled_upstream *> tried;
    for (scheduled_upstream *const upstream : cell.members) {
        if (!upstream->info.hasVersion(request.version)) {
            continue;
        }
        if (isExcluded(request, upstream->info.id)) {
            tried.push_back(upstream);
        } else if (isAvoided(service, *upstream, request, now)) {
            avoided.push_back(upstream);
        } else {
            good.push_back(upstream);
        }
    }
    if (!good.empty()) {
        return good;
    }
    return avoided.empty() ? tried : avoided;
}

bool upstream_choice::hasCandidate(const service_schedule &service,
                                   const cell_schedule &cell,
                                   const slot_request &request,
                                   time_point now) const
{
    return !candidates(service, cell, request, now).empty();
}

double upstream_choice::preference(const service_schedule &service,
                                   const scheduled_upstream &upstream,
                                   const slot_request &request,
                                   time_point now)
{
    const upstream_id *const cached = m_prefixes.upstreamOf(request.prefixHash);
    const double slowness = upstream.firstByteSeconds > 0 ? upstream.firstByteSeconds / service.firstByteSeconds - 1 : 0;
    double score = std::uniform_real_distribution<double>(0, jitterScore)(m_generator);
    score += slowScore * std::clamp(slowness, 0.0, 1.0);
    score += upstream.info.domain == request.domain ? 0 : otherDomainScore;
    score += isDegraded(upstream, now) ? degradedScore : 0;
    score -= cached != nullptr && *cached == upstream.info.id ? affinityScore : 0;
    score -= m_connections.hasIdle(request.holder, upstream.info.id, now) ? connectionScore : 0;
    return score;
}

/// Scores an upstream for an online run; the lowest score is best. A free slot comes first, then a slot held by batch work of
/// this node, then one held by batch work of other nodes. Empty if online work holds all slots: the run then waits on this
/// node, where it can use any slot that becomes free, and not in the queue of one upstream.
std::optional<double> upstream_choice::onlineScore(const service_schedule &service,
                                                   const cell_schedule &cell,
                                                   const scheduled_upstream &upstream,
                                                   const slot_request &request,
                                                   time_point now)
{
    constexpr double ownBatchScore = 2; // Greater than any score of an upstream with a free slot.
    constexpr double otherBatchScore = 4;
    constexpr double reservedScore = 1; // Greater than any score of an upstream with a free slot and no limit.
    const total_work work = workAt(upstream);
    const std::uint32_t slots = std::max(1U, upstream.info.slots);
    if (work.online >= slots || !upstream.mayStart(work_class::Online, now)) {
        return std::nullopt;
    }
    double score = static_cast<double>(work.all()) / slots + preference(service, upstream, request, now);
    if (upstream.starts) {
        // A batch run uses a slot for longer, and so makes more of a request that a limited upstream accepts.
        score += cell.batch.empty() && upstream.starts->isWithinLimit(now) ? -limitedScore : reservedScore;
    }
    if (work.all() < slots) {
        return score;
    }
    return score + (upstream.batch > 0 ? ownBatchScore : otherBatchScore);
}

scheduled_upstream *
upstream_choice::selectForOnline(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now)
{
    scheduled_upstream *best = nullptr;
    double bestScore = 0;
    for (scheduled_upstream *const upstream : candidates(service, cell, request, now)) {
        const std::optional<double> score = onlineScore(service, cell, *upstream, request, now);
        if (score && (best == nullptr || *score < bestScore)) {
            best = upstream;
            bestScore = *score;
        }
    }
    return best;
}

scheduled_upstream *
upstream_choice::selectAmongSlow(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now)
{
    scheduled_upstream *best = nullptr;
    double bestScore = 0;
    for (scheduled_upstream *const upstream : cell.members) {
        const bool isOnlySlow = service.outliers.isEjectedForSlowness(upstream->info.id) && !isDegraded(*upstream, now)
                                && m_board.usageOf(upstream->key).degradedNodes == 0;
        const bool isInTarget = now + fromSeconds(upstream->firstByteSeconds) <= request.target;
        if (!isOnlySlow || !isInTarget || !upstream->info.hasVersion(request.version) || isExcluded(request, upstream->info.id)) {
            continue;
        }
        const std::optional<double> score = onlineScore(service, cell, *upstream, request, now);
        if (score && (best == nullptr || *score < bestScore)) {
            best = upstream;
            bestScore = *score;
        }
    }
    return best;
}

scheduled_upstream *upstream_choice::selectForBatch(const service_schedule &service,
                                                    const cell_schedule &cell,
                                                    const slot_request &request,
                                                    duration reactionTime,
                                                    time_point now)
{
    scheduled_upstream *best = nullptr;
    double bestScore = 0;
    std::uint32_t free = 0;
    std::uint32_t online = 0;
    for (scheduled_upstream *const upstream : candidates(service, cell, request, now)) {
        const total_work work = workAt(*upstream);
        online += work.online;
        if (work.all() >= upstream->info.slots || !upstream->mayStart(work_class::Batch, now)
            || isAvoided(service, *upstream, request, now)) {
            continue;
        }
        free += upstream->info.slots - work.all();
        const double score = static_cast<double>(work.all()) / upstream->info.slots + preference(service, *upstream, request, now)
                             - (upstream->starts ? limitedScore : 0);
        if (best == nullptr || score < bestScore) {
            best = upstream;
            bestScore = score;
        }
    }
    const double arrivals = online / service.runSeconds * toSeconds(reactionTime);
    return free > std::ceil(arrivals) ? best : nullptr;
}

void upstream_choice::granted(const slot_request &request, const upstream_id &upstream)
{
    m_prefixes.recordRun(request.prefixHash, upstream);
    m_connections.granted(request.holder, upstream);
}

void upstream_choice::released(const slot_request &request, const upstream_id &upstream, bool connectionStays, time_point now)
{
    m_connections.released(request.holder, upstream, connectionStays, now);
    if (now - m_lastExpiryAt >= expiryInterval) {
        m_connections.expire(now);
        m_lastExpiryAt = now;
    }
}

} // namespace banyan
