#include "upstream_pool.h"

#include "seconds.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace banyan {

namespace {

constexpr double onlineOvercommit = 1.5; ///< Online work may occupy this many times the limit; queueing in the engine costs less.
constexpr double batchOccupancyWeight = 0.25; ///< Weight of batch work in the load score for online work.
constexpr double preemptionPenalty = 0.5; ///< Added to the load score for online work if a batch attempt would have to be preempted.
constexpr std::uint32_t nonPreemptibleDivisor = 2; ///< Batch work that cannot be preempted occupies at most the limit divided by this.
constexpr duration onlineAveragingTime = std::chrono::seconds(3); ///< Time constant of the average of online requests in flight.
constexpr double idleOnlineThreshold = 0.05; ///< Mean online requests in flight below which a cell counts as having no online work.
constexpr duration onlineProbeDelay =
    std::chrono::seconds(1); ///< Online work probes an upstream if batch work has not done so within this time.
constexpr double probeScore = -1; ///< Load score that ranks an upstream to be probed before all others.
constexpr double lastResortScore = 10; ///< Load score that ranks an upstream after all others.
constexpr std::size_t prefixCapacity = 4096;
constexpr double affinityBonus = 0.15; ///< Subtracted from the load score of an upstream that has the prefix in its cache.
constexpr double longShare = 0.6; ///< Maximum fraction of the slots for long work.
constexpr duration reportHalfLife = std::chrono::seconds(1); ///< Half-life of the weight of a load report.
constexpr double maximumExternalScore = 0.5; ///< Maximum contribution of a load report to the load score; reports may be wrong.
constexpr std::uint32_t minimumServiceTimeTokens = 8; ///< Shorter answers give no reliable time per token.
constexpr double promptTokenEquivalent =
    8; ///< Cost of the prompt in tokens, added to those of a whole answer; keeps short answers comparable.

/// Seconds per token: for a streamed answer after its first byte, for a whole answer in all. A whole answer of unknown length
/// gives its total time.
std::optional<double> serviceTimeOf(const attempt_state &attempt, const attempt_result &result, time_point now)
{
    if (!attempt.streamed) {
        const double whole = toSeconds(now - attempt.startedAt);
        return result.tokens == 0 ? whole : whole / (promptTokenEquivalent + result.tokens);
    }
    if (attempt.reportsProgress || result.tokens < minimumServiceTimeTokens || !attempt.firstByteAt) {
        return std::nullopt;
    }
    return toSeconds(now - *attempt.firstByteAt) / result.tokens;
}

} // namespace

upstream_pool::upstream_pool(const dispatcher_options &options)
    : m_options(options)
    , m_outliers(outlier_detector_options())
    , m_prefixes(prefixCapacity)
    , m_onlineInFlight(onlineAveragingTime)
{
}

void upstream_pool::set(std::span<const upstream_info> upstreams)
{
    for (auto &[id, upstream] : m_upstreams) {
        upstream.info.leaving = true;
    }
    std::set<upstream_id> staying;
    const concurrency_limit_options limit{.initial = m_options.initialSlots, .maximum = m_options.maximumSlots};
    for (const upstream_info &info : upstreams) {
        const auto [entry, inserted] = m_upstreams.try_emplace(info.id, upstream_state{.info = info, .limit = concurrency_limit(limit)});
        entry->second.info = info;
        if (!info.leaving) {
            staying.insert(info.id);
        }
    }
    std::erase_if(m_upstreams, [](const auto &entry) {
        return entry.second.info.leaving && entry.second.inFlight() == 0;
    });
    m_outliers.setUpstreams(staying);
}

bool upstream_pool::hasUsable(bool repeatable, time_point now) const
{
    return hasRotation(now) || (repeatable && std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &entry) {
                                    return !entry.second.info.leaving && m_outliers.mayProbeEarly(entry.first, now);
                                }));
}

/// Whether any upstream is not ejected.
bool upstream_pool::hasRotation(time_point now) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &entry) {
        const upstream_condition condition = conditionOf(entry.second, now);
        return condition == upstream_condition::Good || condition == upstream_condition::Probing;
    });
}

const upstream_state &upstream_pool::at(const upstream_id &upstream) const
{
    return m_upstreams.at(upstream);
}

upstream_condition upstream_pool::conditionOf(const upstream_state &upstream, time_point now) const
{
    return upstream.info.leaving ? upstream_condition::Leaving : m_outliers.conditionOf(upstream.info.id, now);
}

std::uint32_t upstream_pool::onlineLimitOf(const upstream_state &upstream) const
{
    const auto overcommitted = static_cast<std::uint32_t>(upstream.limit.value() * onlineOvercommit);
    return std::min(m_options.maximumSlots, overcommitted);
}

/// Requests in flight below which batch work may start. Between this and the limit batch work keeps its slots while online
/// work arrives, so that usual fluctuations preempt nothing. Without online work the limit of online work applies.
std::uint32_t upstream_pool::batchLimitOf(const upstream_state &upstream, time_point now) const
{
    const double online = m_onlineInFlight.at(now);
    if (online < idleOnlineThreshold) {
        return onlineLimitOf(upstream);
    }
    const std::uint32_t limit = upstream.limit.value();
    return std::max(1U, limit - std::min(limit, headroomOf(now)));
}

/// Slots of an upstream that batch work leaves free for online work. Arrivals are assumed to be Poisson distributed: the
/// standard deviation of the online requests in flight is the square root of their mean.
std::uint32_t upstream_pool::headroomOf(time_point now) const
{
    const double deviation = std::sqrt(m_onlineInFlight.at(now)) / static_cast<double>(m_upstreams.size());
    return static_cast<std::uint32_t>(std::ceil(m_options.headroomDeviations * deviation));
}

/// The headroom that currently limits batch work on an upstream; 0 if it runs no batch work.
std::uint32_t upstream_pool::reservedOf(const upstream_state &upstream, time_point now) const
{
    return upstream.batchInFlight > 0 ? headroomOf(now) : 0;
}

/// The maximum of @p slots that long work may occupy, so that some remain for short work.
std::uint32_t upstream_pool::longLimit(std::uint32_t slots)
{
    return std::max(1U, static_cast<std::uint32_t>(slots * longShare));
}

double upstream_pool::loadScore(const upstream_state &upstream, const request_state &request, time_point now) const
{
    if (const std::optional<time_point> since = m_outliers.probingSince(upstream.info.id, now)) {
        const bool batch = request.request.workClass == work_class::Batch;
        const bool mayProbe = request.request.repeatable && (batch || now - *since >= onlineProbeDelay);
        return mayProbe ? probeScore : lastResortScore;
    }
    const double limit = std::max(1U, upstream.limit.value());
    const double age = toSeconds(now - upstream.reportedAt) / toSeconds(reportHalfLife);
    const double external = std::min(maximumExternalScore, upstream.externalRequests / limit) * std::exp2(-std::max(0.0, age));
    if (request.request.workClass == work_class::Batch) {
        return upstream.inFlight() / limit + external;
    }
    const double preemption = upstream.inFlight() >= upstream.limit.value() ? preemptionPenalty : 0;
    return upstream.onlineInFlight / limit + batchOccupancyWeight * upstream.batchInFlight / limit + preemption + external;
}

bool upstream_pool::accepts(const upstream_state &upstream, const request_state &request, time_point now) const
{
    const upstream_condition condition = conditionOf(upstream, now);
    if (condition == upstream_condition::Probing) {
        return upstream.inFlight() == 0;
    }
    if (condition == upstream_condition::Ejected && upstream.inFlight() == 0 && m_outliers.mayProbeEarly(upstream.info.id, now)) {
        return request.request.repeatable && !hasRotation(now);
    }
    if (condition != upstream_condition::Good || (request.suspect && upstream.suspectsInFlight > 0)) {
        return false;
    }
    const bool online = request.request.workClass == work_class::Online;
    return online ? acceptsOnline(upstream, request) : acceptsBatch(upstream, request, now);
}

bool upstream_pool::acceptsOnline(const upstream_state &upstream, const request_state &request) const
{
    const std::uint32_t limit = onlineLimitOf(upstream);
    const bool fitsLongLimit = !request.isLong || upstream.onlineLongInFlight < longLimit(limit);
    return fitsLongLimit && upstream.onlineInFlight < limit;
}

bool upstream_pool::acceptsBatch(const upstream_state &upstream, const request_state &request, time_point now) const
{
    const std::uint32_t limit = batchLimitOf(upstream, now);
    const bool fitsLongLimit = !request.isLong || upstream.batchLongInFlight < longLimit(limit);
    const bool fitsNonPreemptibleLimit =
        request.request.repeatable || upstream.nonPreemptibleInFlight < std::max(1U, limit / nonPreemptibleDivisor);
    return fitsLongLimit && fitsNonPreemptibleLimit && upstream.inFlight() < limit;
}

const upstream_state *upstream_pool::choose(const request_state &request, time_point now) const
{
    const upstream_id *const cached = m_prefixes.upstreamOf(request.request.prefixHash);
    const upstream_state *best = nullptr;
    bool bestTried = false;
    double bestScore = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        if (!accepts(upstream, request, now)) {
            continue;
        }
        const bool tried = request.tried.contains(id);
        const double bonus = cached != nullptr && *cached == id ? affinityBonus : 0;
        const double score = loadScore(upstream, request, now) - bonus;
        if (best == nullptr || (bestTried && !tried) || (bestTried == tried && score < bestScore)) {
            best = &upstream;
            bestTried = tried;
            bestScore = score;
        }
    }
    return best;
}

void upstream_pool::occupy(const upstream_id &upstream, const request_state &request, time_point now)
{
    m_outliers.recordProbe(upstream, now);
    m_prefixes.recordRun(request.request.prefixHash, upstream);
    changeInFlight(m_upstreams.at(upstream), request, +1);
}

void upstream_pool::release(const upstream_id &upstream, const request_state &request)
{
    const auto entry = m_upstreams.find(upstream);
    changeInFlight(entry->second, request, -1);
    if (entry->second.info.leaving && entry->second.inFlight() == 0) {
        m_upstreams.erase(entry);
    }
}

void upstream_pool::changeInFlight(upstream_state &upstream, const request_state &request, int change)
{
    upstream.suspectsInFlight += request.suspect ? change : 0;
    const int changeOfLong = request.isLong ? change : 0;
    if (request.request.workClass == work_class::Online) {
        upstream.onlineInFlight += change;
        upstream.onlineLongInFlight += changeOfLong;
        return;
    }
    upstream.batchInFlight += change;
    upstream.batchLongInFlight += changeOfLong;
    upstream.nonPreemptibleInFlight += request.request.repeatable ? 0 : change;
}

void upstream_pool::countAsLong(const upstream_id &upstream, const request_state &request)
{
    upstream_state &state = m_upstreams.at(upstream);
    ++(request.request.workClass == work_class::Online ? state.onlineLongInFlight : state.batchLongInFlight);
}

void upstream_pool::recordOnlineWork(time_point now)
{
    double inFlight = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        inFlight += upstream.onlineInFlight;
    }
    m_onlineInFlight.setValue(inFlight, now);
}

void upstream_pool::recordAttemptEnd(const attempt_state &attempt, const attempt_result &result, time_point now)
{
    upstream_state &upstream = m_upstreams.at(attempt.upstream);
    if (result.outcome == attempt_outcome::Refused) {
        upstream.limit.recordRejection(upstream.inFlight());
    }
    if (result.outcome != attempt_outcome::Succeeded) {
        return;
    }
    if (const std::optional<double> serviceTime = serviceTimeOf(attempt, result, now)) {
        const service_time_kind kind = attempt.streamed ? service_time_kind::Token : service_time_kind::WholeAnswer;
        // Whole answers reveal too late that the engine slows down, so they must not let the limit grow into the headroom.
        const std::uint32_t reserved = attempt.streamed ? reservedOf(upstream, now) : 0;
        upstream.limit.recordServiceTime(kind, *serviceTime, upstream.inFlight(), reserved, now);
    }
}

void upstream_pool::recordProgress(const upstream_id &upstream, duration perToken, time_point now)
{
    upstream_state &state = m_upstreams.at(upstream);
    state.limit.recordServiceTime(service_time_kind::Token, toSeconds(perToken), state.inFlight(), reservedOf(state, now), now);
}

void upstream_pool::loadReported(const upstream_id &upstream, std::uint32_t requests, time_point reportedAt)
{
    const auto entry = m_upstreams.find(upstream);
    if (entry == m_upstreams.end() || reportedAt < entry->second.reportedAt) {
        return;
    }
    entry->second.externalRequests = std::max(0.0, static_cast<double>(requests) - entry->second.inFlight());
    entry->second.reportedAt = reportedAt;
}

slot_usage upstream_pool::usageOf(work_class value, time_point now) const
{
    const bool online = value == work_class::Online;
    slot_usage result;
    for (const auto &[id, upstream] : m_upstreams) {
        if (conditionOf(upstream, now) == upstream_condition::Good) {
            result.slots += online ? onlineLimitOf(upstream) : batchLimitOf(upstream, now);
            result.inFlight += online ? upstream.onlineInFlight : upstream.inFlight();
        }
    }
    return result;
}

void upstream_pool::fillLoad(cell_load &load, time_point now) const
{
    for (const auto &[id, upstream] : m_upstreams) {
        load.onlineInFlight += upstream.onlineInFlight;
        load.batchInFlight += upstream.batchInFlight;
        load.slots += conditionOf(upstream, now) == upstream_condition::Good ? upstream.limit.value() : 0;
    }
}

std::vector<upstream_status> upstream_pool::status(time_point now) const
{
    std::vector<upstream_status> result;
    for (const auto &[id, upstream] : m_upstreams) {
        result.push_back({
            .id = id,
            .condition = conditionOf(upstream, now),
            .onlineInFlight = upstream.onlineInFlight,
            .batchInFlight = upstream.batchInFlight,
            .limit = upstream.limit.value(),
            .onlineLimit = onlineLimitOf(upstream),
            .onlineLongInFlight = upstream.onlineLongInFlight,
            .onlineLongLimit = longLimit(onlineLimitOf(upstream)),
            .firstByte = m_outliers.averageLatency(id),
        });
    }
    return result;
}

} // namespace banyan
