#include "upstream_choice.h"

#include "../seconds.h"

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr duration troubleMemory = std::chrono::seconds(2); ///< How long a failure speaks against an upstream without a new one.
constexpr std::uint32_t troubledNodes = 2; ///< Nodes, this one included, whose troubles together keep work from an upstream.
constexpr double otherDomainScore = 0.06; ///< Busier by so much an upstream of the node's own failure domain is still preferred.
constexpr double affinityScore = 0.12; ///< The same for one that has lately read the prompt's shared part.
constexpr double connectionScore = 0.25; ///< The same for one with an idle connection; less than what a failure or slowness takes away.
constexpr double slowScore = 0.3; ///< How much less a slow upstream is preferred, for each multiple of the usual time.
constexpr double troubleScore = 0.5; ///< How much less one is preferred that failed lately, while it is not avoided altogether.
constexpr double jitterScore = 0.02; ///< Lets nodes with the same view choose different upstreams.
constexpr std::size_t rememberedPrefixes = 1024;
constexpr duration expiryInterval = std::chrono::seconds(1); ///< Between two looks for connections to forget, which all runs share.

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

bool upstream_choice::isTroubled(const scheduled_upstream &upstream, time_point now)
{
    return upstream.troubledAt && now - *upstream.troubledAt < troubleMemory;
}

/// Whether what this node and the others have seen of the upstream keeps the request from it while there are others. One
/// that was ejected and may have recovered is tried by one run at a time that can be repeated.
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
    return m_board.usageOf(upstream.key).degradedNodes + (isTroubled(upstream, now) ? 1 : 0) >= troubledNodes;
}

/// The upstreams for a request: the good ones, else those that are avoided, else those where it was tried already.
std::vector<scheduled_upstream *>
upstream_choice::candidates(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const
{
    std::vector<scheduled_upstream *> good;
    std::vector<scheduled_upstream *> avoided;
    std::vector<scheduled_upstream *> tried;
    for (scheduled_upstream *const upstream : cell.members) {
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

bool upstream_choice::hasAny(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const
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
    score += isTroubled(upstream, now) ? troubleScore : 0;
    score -= cached != nullptr && *cached == upstream.info.id ? affinityScore : 0;
    score -= m_connections.hasIdle(request.holder, upstream.info.id, now) ? connectionScore : 0;
    return score;
}

/// The lower, the better: a free slot first, then one held by batch work of this node, then one held by that of others.
/// None if online work holds all slots: the run then waits here, where any slot that becomes free serves it, and not in the
/// queue of one upstream.
std::optional<double> upstream_choice::onlineScore(const service_schedule &service,
                                                   const scheduled_upstream &upstream,
                                                   const slot_request &request,
                                                   time_point now)
{
    constexpr double ownBatchScore = 2; // Above all that speaks for and against free slots together.
    constexpr double otherBatchScore = 4;
    const total_work work = workAt(upstream);
    const std::uint32_t slots = std::max(1U, upstream.info.slots);
    if (work.online >= slots) {
        return std::nullopt;
    }
    const double score = static_cast<double>(work.all()) / slots + preference(service, upstream, request, now);
    if (work.all() < slots) {
        return score;
    }
    return score + (upstream.batch > 0 ? ownBatchScore : otherBatchScore);
}

scheduled_upstream *
upstream_choice::forOnline(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now)
{
    scheduled_upstream *best = nullptr;
    double bestScore = 0;
    for (scheduled_upstream *const upstream : candidates(service, cell, request, now)) {
        const std::optional<double> score = onlineScore(service, *upstream, request, now);
        if (score && (best == nullptr || *score < bestScore)) {
            best = upstream;
            bestScore = *score;
        }
    }
    return best;
}

scheduled_upstream *upstream_choice::forBatch(const service_schedule &service,
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
        if (work.all() >= upstream->info.slots || isAvoided(service, *upstream, request, now)) {
            continue;
        }
        free += upstream->info.slots - work.all();
        const double score = static_cast<double>(work.all()) / upstream->info.slots + preference(service, *upstream, request, now);
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
    m_prefixes.ran(request.prefixHash, upstream);
    m_connections.granted(request.holder, upstream);
}

void upstream_choice::released(const slot_request &request, const upstream_id &upstream, bool connectionStays, time_point now)
{
    m_connections.released(request.holder, upstream, connectionStays, now);
    if (now - m_expiredAt >= expiryInterval) {
        m_connections.expire(now);
        m_expiredAt = now;
    }
}

} // namespace banyan
