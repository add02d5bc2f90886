#include "upstream_choice.h"

#include "../seconds.h"

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr duration degradedPeriod = std::chrono::seconds(2); ///< How long an upstream counts as degraded after a failure.
constexpr std::uint32_t avoidanceThreshold = 2; ///< An upstream is avoided if this many nodes, this one included, see it as degraded.
constexpr double millisecondsPerSecond = 1000;
constexpr double otherDomainScore = 0.06; ///< Penalty for another failure domain, in units of relative load, like the scores below.
constexpr double affinityScore = 0.12; ///< Bonus for an upstream that recently processed the prompt's shared prefix.
constexpr double connectionScore = 0.25; ///< Bonus for an idle connection; less than the penalties for failure and slowness.
constexpr double slowScore = 0.3; ///< Penalty per multiple by which the time to first byte exceeds the average, at most once.
constexpr double degradedScore = 0.5; ///< Penalty of a degraded upstream that is not avoided altogether.
constexpr double limitedScore = 0.3; ///< Bonus of a rate-limited upstream for work that its rate should be used for, else a penalty.
constexpr double jitterScore = 0.02; ///< Random part, so that nodes with the same view choose different upstreams.
constexpr int lateTiers = 3; ///< A free slot at which the first byte would be late is worth less than a slot of this node's batch work.
constexpr duration relearnInterval = std::chrono::seconds(5); ///< After which an idle upstream gets a run so that its speed is known.
constexpr duration sharingReviewInterval = std::chrono::milliseconds(100);
constexpr double assumedRemainder = 0.5; ///< Of a mean run: what is left of a run whose remaining time is not reported.
constexpr std::size_t rememberedPrefixes = 1024;
constexpr duration expiryInterval = std::chrono::seconds(1); ///< Interval between two expiry passes over the held connections.

bool isExcluded(const slot_request &request, const upstream_id &upstream)
{
    return std::find(request.excluded.begin(), request.excluded.end(), upstream) != request.excluded.end();
}

} // namespace

upstream_choice::upstream_choice(const load_board &board, std::mt19937_64 &generator, placement_policy policy)
    : m_board(board)
    , m_generator(generator)
    , m_policy(policy)
    , m_prefixes(rememberedPrefixes)
{
}

total_work upstream_choice::workAt(const scheduled_upstream &upstream) const
{
    const load_board::total_usage others = m_board.usageOf(upstream.key);
    return {.online = upstream.online + others.online, .batch = upstream.batch + others.batch, .reported = others.work};
}

bool upstream_choice::isDegraded(const scheduled_upstream &upstream, time_point now)
{
    return upstream.degradedAt && now - *upstream.degradedAt < degradedPeriod;
}

/// Whether the upstream should get the request only if there is no other, by the observations of this node and the others.
/// An ejected upstream that may have recovered is probed by one repeatable run at a time, and by none that may fail by itself.
bool upstream_choice::isAvoided(const service_schedule &service,
                                const scheduled_upstream &upstream,
                                const slot_request &request,
                                time_point now) const
{
    const upstream_condition condition = service.outliers.conditionOf(upstream.info.id, now);
    if (condition == upstream_condition::Probing) {
        return !request.repeatable || upstream.online + upstream.batch > 0 || service.doubtOf(request, now) > 0;
    }
    if (condition == upstream_condition::Ejected) {
        return true;
    }
    return m_board.usageOf(upstream.key).degradedNodes + (isDegraded(upstream, now) ? 1 : 0) >= avoidanceThreshold;
}

bool upstream_choice::hasRotation(const service_schedule &service,
                                  const cell_schedule &cell,
                                  const slot_request &request,
                                  time_point now) const
{
    return std::any_of(cell.members.begin(), cell.members.end(), [&](const scheduled_upstream *upstream) {
        const bool isOut = service.outliers.conditionOf(upstream->info.id, now) != upstream_condition::Good;
        return upstream->info.hasVersion(request.version) && !isOut && !isAvoided(service, *upstream, request, now);
    });
}

/// Whether a batch run may probe an upstream of a cell that has none in rotation. One that only other nodes see as degraded may take
/// any number of runs: this node ejects it if they fail.
bool upstream_choice::mayProbe(const service_schedule &service,
                               const scheduled_upstream &upstream,
                               const slot_request &request,
                               time_point now) const
{
    const upstream_condition condition = service.outliers.conditionOf(upstream.info.id, now);
    if (condition == upstream_condition::Good) {
        return true;
    }
    const bool isDue = condition == upstream_condition::Probing || service.outliers.mayProbeEarly(upstream.info.id, now);
    return isDue && request.repeatable && upstream.online + upstream.batch == 0;
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

bool upstream_choice::placesByCost(const service_schedule &service) const
{
    const bool isWanted =
        m_policy == placement_policy::ExpectedCost || (m_policy == placement_policy::Automatic && service.speeds.areUneven());
    return isWanted && !service.isShared;
}

void upstream_choice::reviewSharing(service_schedule &service, time_point now) const
{
    if (now - service.sharingReviewedAt < sharingReviewInterval) {
        return;
    }
    service.sharingReviewedAt = now;
    std::uint32_t own = 0;
    std::uint32_t others = 0;
    for (const auto &[id, upstream] : service.upstreams) {
        const std::uint32_t ownHere = upstream.online + upstream.batch;
        const load_board::total_usage othersHere = ownHere > 0 ? m_board.usageOf(upstream.key) : load_board::total_usage();
        own += ownHere;
        others += othersHere.online + othersHere.batch;
    }
    service.isShared = others > own;
}

double upstream_choice::usualFactor(const service_schedule &service, const scheduled_upstream &upstream) const
{
    return placesByCost(service) ? upstream.speed.usualFactor() : 1;
}

bool upstream_choice::isCached(const slot_request &request, const upstream_id &upstream) const
{
    const upstream_id *const cached = m_prefixes.upstreamOf(request.prefixHash);
    return cached != nullptr && *cached == upstream;
}

upstream_choice::decision
upstream_choice::decide(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const
{
    const bool byCost = placesByCost(service);
    return {.service = service,
            .cell = cell,
            .request = request,
            .now = now,
            .byCost = byCost,
            .cached = m_prefixes.upstreamOf(request.prefixHash),
            .work = byCost ? service.work.expected(request, false) : expected_work(),
            .workIfCached = byCost ? service.work.expected(request, true) : expected_work()};
}

upstream_prospect upstream_choice::prospectOf(const decision &context, const scheduled_upstream &upstream, const total_work &work)
{
    const double usual = upstream.speed.usualFactor();
    const std::uint32_t counted = upstream.outstanding.runs() + work.reported.runs();
    const double notReported = (work.all() - std::min(work.all(), counted)) * assumedRemainder * context.service.runSeconds * usual;
    return {.usualFactor = usual,
            .currentFactor = upstream.speed.currentFactor(context.now),
            .remainingSeconds =
                upstream.outstanding.remainingSeconds(context.now) + work.reported.remainingSeconds(context.now) + notReported,
            .slots = upstream.info.slots};
}

void upstream_choice::recordExpectations(const service_schedule &service,
                                         const scheduled_upstream &upstream,
                                         granted_run &run,
                                         time_point now) const
{
    run.cached = isCached(run.request, upstream.info.id);
    run.expected = service.work.expected(run.request, run.cached);
    run.typical = service.work.typical(run.request, run.cached);
    const upstream_prospect prospect{.usualFactor = upstream.speed.usualFactor(), .currentFactor = upstream.speed.currentFactor(now)};
    const expected_times times = expectedTimes(run.expected, prospect);
    run.expectedHere = {.firstByteSeconds = times.firstByteSeconds, .runSeconds = times.finishSeconds};
}

std::uint32_t upstream_choice::reportedWork(const service_schedule &service, const scheduled_upstream &upstream, time_point now) const
{
    if (!placesByCost(service)) {
        return 0;
    }
    return static_cast<std::uint32_t>(upstream.outstanding.remainingSeconds(now) * millisecondsPerSecond);
}

/// Whether the upstream has been without work for so long that what is known of its speed may not hold any more.
bool upstream_choice::mayBeRelearned(const scheduled_upstream &upstream, const total_work &work, time_point now)
{
    const bool longAgo = !upstream.grantedAt || now - *upstream.grantedAt >= relearnInterval;
    return longAgo && work.all() == 0 && !isDegraded(upstream, now);
}

/// What the upstream has to do, in units of relative load: the share of its slots in use and its slowness.
double upstream_choice::loadScore(const service_schedule &service, const scheduled_upstream &upstream, const total_work &work)
{
    const double slowness = upstream.firstByteSeconds > 0 ? upstream.firstByteSeconds / service.firstByteSeconds - 1 : 0;
    return static_cast<double>(work.all()) / std::max(1U, upstream.info.slots) + slowScore * std::clamp(slowness, 0.0, 1.0);
}

/// What a run is expected to take at the upstream, in mean run times, so that preferences weigh as much as they do against load.
placement_score upstream_choice::costScore(const decision &context, const scheduled_upstream &upstream, const total_work &work)
{
    const expected_times times =
        expectedTimes(context.isCached(upstream.info.id) ? context.workIfCached : context.work, prospectOf(context, upstream, work));
    const bool late =
        context.request.workClass == work_class::Online && context.now + fromSeconds(times.firstByteSeconds) > context.request.target;
    return {.tier = late ? lateTiers : 0, .cost = times.cost() / context.service.runSeconds};
}

placement_score upstream_choice::baseScore(const decision &context, const scheduled_upstream &upstream, const total_work &work)
{
    return context.byCost ? costScore(context, upstream, work) : placement_score{.cost = loadScore(context.service, upstream, work)};
}

/// Preferences among upstreams apart from load and speed, in units of relative load.
double upstream_choice::preference(const decision &context, const scheduled_upstream &upstream)
{
    double score = std::uniform_real_distribution<double>(0, jitterScore)(m_generator);
    score += upstream.info.domain == context.request.domain ? 0 : otherDomainScore;
    score += isDegraded(upstream, context.now) ? degradedScore : 0;
    score -= context.isCached(upstream.info.id) ? affinityScore : 0;
    score -= m_connections.hasIdle(context.request.holder, upstream.info.id, context.now) ? connectionScore : 0;
    return score;
}

/// Scores an upstream for an online run; the lowest score is best. A free slot comes first, then a slot held by batch work of
/// this node, then one held by batch work of other nodes. Empty if online work holds all slots: the run then waits on this
/// node, where it can use any slot that becomes free, and not in the queue of one upstream.
std::optional<placement_score> upstream_choice::onlineScore(const decision &context, const scheduled_upstream &upstream)
{
    constexpr int reservedRank = 1; // After the upstreams with a free slot and no limit.
    constexpr int ownBatchRank = 2; // After all upstreams with a free slot.
    constexpr int otherBatchRank = 4;
    const total_work work = workAt(upstream);
    const std::uint32_t slots = std::max(1U, upstream.info.slots);
    if (work.online >= slots || !upstream.mayStart(work_class::Online, context.now)) {
        return std::nullopt;
    }
    placement_score score = baseScore(context, upstream, work);
    score.cost += preference(context, upstream);
    const auto rankBehind = [&](int rank) {
        // By number of runs, a cost is below 1 wherever there is a free slot.
        score.tier += context.byCost ? rank : 0;
        score.cost += context.byCost ? 0 : rank;
    };
    if (upstream.starts) {
        // A batch run uses a slot for longer, and so makes more of a request that a limited upstream accepts.
        const bool isPreferred = context.cell.batch.empty() && upstream.starts->isWithinLimit(context.now);
        rankBehind(isPreferred ? 0 : reservedRank);
        score.cost -= isPreferred ? limitedScore : 0;
    }
    if (work.all() < slots) {
        score.tier -= context.byCost && score.tier == 0 && mayBeRelearned(upstream, work, context.now) ? 1 : 0;
        return score;
    }
    rankBehind(upstream.batch > 0 ? ownBatchRank : otherBatchRank);
    return score;
}

scheduled_upstream *
upstream_choice::selectForOnline(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now)
{
    const decision context = decide(service, cell, request, now);
    scheduled_upstream *best = nullptr;
    placement_score bestScore;
    for (scheduled_upstream *const upstream : candidates(service, cell, request, now)) {
        const std::optional<placement_score> score = onlineScore(context, *upstream);
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
    const decision context = decide(service, cell, request, now);
    scheduled_upstream *best = nullptr;
    placement_score bestScore;
    for (scheduled_upstream *const upstream : cell.members) {
        // An upstream that has not answered in time since it was ejected may hang.
        const bool isOnlySlow = service.outliers.isEjectedForSlowness(upstream->info.id) && !upstream->degradedAt
                                && m_board.usageOf(upstream->key).degradedNodes == 0;
        const bool isInTarget = upstream->firstByteSeconds > 0 && now + fromSeconds(upstream->firstByteSeconds) <= request.target;
        if (!isOnlySlow || !isInTarget || !upstream->info.hasVersion(request.version) || isExcluded(request, upstream->info.id)) {
            continue;
        }
        const std::optional<placement_score> score = onlineScore(context, *upstream);
        if (score && (best == nullptr || *score < bestScore)) {
            best = upstream;
            bestScore = *score;
        }
    }
    return best;
}

/// Scores an upstream for a batch run.
placement_score upstream_choice::batchScore(const decision &context, const scheduled_upstream &upstream, const total_work &work)
{
    placement_score score = baseScore(context, upstream, work);
    score.cost += preference(context, upstream) - (upstream.starts ? limitedScore : 0);
    if (context.byCost) {
        score.tier -= mayBeRelearned(upstream, work, context.now) ? 1 : 0;
    }
    return score;
}

scheduled_upstream *upstream_choice::selectForBatch(const service_schedule &service,
                                                    const cell_schedule &cell,
                                                    const slot_request &request,
                                                    duration reactionTime,
                                                    time_point now)
{
    const decision context = decide(service, cell, request, now);
    const bool inRotation = hasRotation(service, cell, request, now);
    scheduled_upstream *best = nullptr;
    placement_score bestScore;
    std::uint32_t free = 0;
    std::uint32_t online = 0;
    for (scheduled_upstream *const upstream : candidates(service, cell, request, now)) {
        const total_work work = workAt(*upstream);
        online += work.online;
        const bool isAllowed = !isAvoided(service, *upstream, request, now) || (!inRotation && mayProbe(service, *upstream, request, now));
        if (work.all() >= upstream->info.slots || !upstream->mayStart(work_class::Batch, now) || !isAllowed) {
            continue;
        }
        free += upstream->info.slots - work.all();
        const placement_score score = batchScore(context, *upstream, work);
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
