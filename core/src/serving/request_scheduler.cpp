#include "banyan/core/serving/request_scheduler.h"

#include "../seconds.h"
#include "banyan/core/serving/load_board.h"
#include "service_schedule.h"
#include "upstream_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <random>
#include <set>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace banyan {

namespace {

constexpr double smoothingFactor = 0.1; ///< Weight of a new measurement in the exponential moving averages.
constexpr duration noUpstreamRetryAfter = std::chrono::milliseconds(500); ///< Upstreams usually return within a few seconds.
constexpr duration defaultOverdueAfter = std::chrono::milliseconds(400); ///< Used while too few answers have been measured.
constexpr duration maximumOverdueAfter = std::chrono::seconds(1);
constexpr duration maximumLateWait = std::chrono::seconds(1); ///< Longest wait for a slot of a run that will be late in any case.
constexpr duration staleEjectionTime = std::chrono::seconds(5); ///< After the end of an ejection, when others are no longer told of it.
constexpr int spareTimeDivisor = 4; ///< Runs wait for 1/4 of the time that an average answer leaves if slow ones miss the target anyway.
constexpr duration longestExpectedWait = std::chrono::hours(1); ///< Also the expected wait where nothing can start.
constexpr int retryAfterDivisor = 3; ///< Clients retry within 1/3 of their remaining time; later, too little time would be left.

void updateAverage(double &value, double measured)
{
    value += smoothingFactor * (measured - value);
}

} // namespace

upstream_key keyOf(const upstream_id &upstream)
{
    return XXH32(upstream.text().data(), upstream.text().size(), 0);
}

upstream_key keyOfStart(const upstream_id &upstream, std::uint64_t startedAt)
{
    return keyOf(upstream_id(upstream.text() + "/" + std::to_string(startedAt)));
}

upstream_key keyOfStart(const replica &upstream)
{
    return keyOfStart(upstream.id, upstream.startedAt);
}

service_key keyOf(const service_name &service)
{
    return XXH32(service.text().data(), service.text().size(), 0);
}

class request_scheduler::implementation
{
public:
    implementation(const request_scheduler_options &options, const load_board &board)
        : m_options(options)
        , m_board(board)
        , m_generator(options.seed)
        , m_choice(board, m_generator, options.placement)
    {
    }

    slot_actions setUpstreams(std::span<const replica> upstreams, time_point now);
    slot_actions setAllowedRates(const std::map<upstream_id, allowed_rate> &rates, time_point now);
    slot_actions submit(const slot_request &request, time_point now);
    void cancel(const request_id &request);
    void adopt(const slot_request &request, const upstream_id &upstream, bool answerHasBegun, time_point grantedAt);
    void firstByte(const request_id &request, std::optional<duration> measured, time_point now);
    slot_actions released(const request_id &request, const attempt_result &result, time_point now);
    slot_actions loadChanged(time_point now);
    slot_actions tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;
    [[nodiscard]] duration overdueAfter(const service_name &service) const;
    [[nodiscard]] duration overdueAfter(const service_name &service, const upstream_id &upstream) const;
    [[nodiscard]] std::map<upstream_key, upstream_usage> usage(time_point now) const;
    [[nodiscard]] std::vector<placement_report> placement(time_point now) const;
    [[nodiscard]] std::map<service_key, std::uint32_t> waitingByService() const;
    [[nodiscard]] std::uint32_t waitingOnline() const;
    [[nodiscard]] std::uint32_t waitingBatch() const;
    [[nodiscard]] const caller_counts &callerCounts() const
    {
        return m_callerCounts;
    }

private:
    service_schedule &serviceOf(const service_name &name);
    void applyAllowedRate(scheduled_upstream &upstream, time_point now) const;
    void considerNextStarts(const service_schedule &service, const std::function<void(time_point)> &consider) const;
    [[nodiscard]] static bool isOutOfReach(const service_schedule &service, const slot_request &request, time_point now);
    [[nodiscard]] static time_point latestStart(const service_schedule &service, const slot_request &request, time_point now);
    static void addWaiting(service_schedule &service, cell_schedule &cell, const slot_request &request, bool late, time_point now);
    [[nodiscard]] static double
    startsPerSecond(const service_schedule &service, const cell_schedule &cell, const std::string &version, time_point now);
    [[nodiscard]] duration expectedWait(const cell_schedule &cell, const slot_request &request, double rate) const;
    [[nodiscard]] rejection_basis
    rejectionBasisOf(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const;
    [[nodiscard]] static duration
    marginOf(const cell_schedule &cell, const service_schedule &service, const slot_request &request, time_point now);
    void rejectLessEntitled(service_schedule &service, cell_schedule &cell, const slot_request &request, time_point now);
    void endExpired(service_schedule &service, cell_schedule &cell, time_point now);
    void rejectIfUnschedulable(service_schedule &service, cell_schedule &cell, const slot_request &request, time_point now);
    void reject(cell_schedule &cell, const slot_request &request, end_reason reason, const rejection_basis &basis, time_point now);
    void grant(service_schedule &service, const slot_request &request, scheduled_upstream &upstream, time_point now);
    granted_run &recordGrant(const service_schedule &service, const slot_request &request, scheduled_upstream &upstream, time_point now);
    void reclaimBatchSlots(const service_schedule &service, scheduled_upstream &upstream, std::uint32_t excess, time_point now);
    void resolveOvercommit(service_schedule &service, time_point now);
    void scheduleWaiting(service_schedule &service, time_point now);
    [[nodiscard]] bool
    lacksUpstream(const service_schedule &service, const cell_schedule &cell, const slot_request &request, time_point now) const;
    void scheduleOnline(service_schedule &service, cell_schedule &cell, time_point now);
    /// The waiting batch runs that are considered.
    struct batch_filter
    {
        std::set<std::string> fullVersions; ///< Versions whose upstreams have no slot for a batch run that is bound to them.
        bool soundOnly = false; ///< Leaves out runs that may fail by themselves.
        bool soundFirst = false; ///< Puts these behind all others, however late those are.
    };
    [[nodiscard]] bool mayDecideBatch(const cell_schedule &cell) const;
    void scheduleBatch(service_schedule &service, cell_schedule &cell, time_point now);
    [[nodiscard]] static const slot_request *
    firstBatchRun(const service_schedule &service, const cell_schedule &cell, const batch_filter &filter, time_point now);
    void recordResult(service_schedule &service,
                      scheduled_upstream &upstream,
                      const granted_run &run,
                      const attempt_result &result,
                      time_point now);
    [[nodiscard]] duration jittered(duration value);
    slot_actions takeActions();

    request_scheduler_options m_options;
    const load_board &m_board;
    std::mt19937_64 m_generator;
    upstream_choice m_choice;
    std::map<service_name, service_schedule> m_services;
    std::map<upstream_id, allowed_rate> m_allowedRates;
    std::map<request_id, granted_run> m_runs;
    caller_counts m_callerCounts;
    std::set<std::pair<time_point, request_id>> m_firstByteDeadlines; ///< Times at which runs without a first byte become overdue.
    slot_actions m_actions;
    time_point m_lastScheduledAt; ///< Last time at which waiting runs were scheduled.
};

service_schedule &request_scheduler::implementation::serviceOf(const service_name &name)
{
    const auto [entry, inserted] = m_services.try_emplace(name);
    if (inserted) {
        entry->second.firstByteSeconds = toSeconds(m_options.assumedFirstByte);
        entry->second.runSeconds = toSeconds(m_options.assumedRunTime);
        entry->second.startTimes = first_byte_estimate(m_options.assumedFirstByte);
        entry->second.work =
            work_estimator({.firstByteSeconds = toSeconds(m_options.assumedFirstByte), .runSeconds = toSeconds(m_options.assumedRunTime)});
    }
    return entry->second;
}

slot_actions request_scheduler::implementation::setUpstreams(std::span<const replica> upstreams, time_point now)
{
    for (auto &[name, service] : m_services) {
        for (auto &[id, upstream] : service.upstreams) {
            upstream.registered = false;
        }
    }
    for (const replica &info : upstreams) {
        scheduled_upstream &upstream = serviceOf(info.service).upstreams[info.id];
        if (upstream.info.startedAt != info.startedAt) {
            upstream.starts.reset(); // A limit belongs to the incarnation that named it.
            upstream.speed = {};
        }
        upstream.info = info;
        upstream.key = keyOf(info.id);
        upstream.registered = true;
        applyAllowedRate(upstream, now);
    }
    for (auto &[name, service] : m_services) {
        service.upstreamsChanged();
        std::set<upstream_id> usable;
        for (const auto &[id, upstream] : service.upstreams) {
            if (upstream.isUsable()) {
                usable.insert(id);
            }
        }
        service.outliers.setUpstreams(usable);
        scheduleWaiting(service, now);
    }
    return takeActions();
}

slot_actions request_scheduler::implementation::setAllowedRates(const std::map<upstream_id, allowed_rate> &rates, time_point now)
{
    m_allowedRates = rates;
    for (auto &[name, service] : m_services) {
        for (auto &[id, upstream] : service.upstreams) {
            applyAllowedRate(upstream, now);
        }
        scheduleWaiting(service, now);
    }
    return takeActions();
}

/// Begins, changes or ends the limit on the rate of starts at an upstream.
void request_scheduler::implementation::applyAllowedRate(scheduled_upstream &upstream, time_point now) const
{
    const auto allowed = m_allowedRates.find(upstream.info.id);
    if (allowed == m_allowedRates.end()) {
        upstream.starts.reset();
        return;
    }
    if (upstream.starts) {
        upstream.starts->setRate(allowed->second, now);
    } else {
        upstream.starts.emplace(allowed->second, now);
    }
}

/// Whether a run that would start now is expected to miss its target. A stream that has begun is not late: its client has a part of it.
bool request_scheduler::implementation::isOutOfReach(const service_schedule &service, const slot_request &request, time_point now)
{
    const bool isInterrupted = request.sentBefore && request.continues;
    return !isInterrupted && request.target - service.startTimes.expected(request.holder, now) < std::max(now, request.arrivedAt);
}

/// The latest time at which a run can start and still meet its target. Where slow answers would miss it however early the run
/// starts, the run may wait for a part of the time that an average answer leaves. If the target is out of reach: the latest start
/// for its deadline, at most maximumLateWait after its arrival.
time_point request_scheduler::implementation::latestStart(const service_schedule &service, const slot_request &request, time_point now)
{
    const duration tail = service.startTimes.tail(request.holder, now);
    const duration spare = request.target - service.startTimes.expected(request.holder, now) - request.arrivedAt;
    if (spare < duration(0)) {
        return std::min(request.deadline - tail, request.arrivedAt + maximumLateWait);
    }
    return std::max(request.target - tail, request.arrivedAt + spare / spareTimeDivisor);
}

/// Adds a run to the queue. A run that was sent before waits on when it will be late, behind those that can be in time.
void request_scheduler::implementation::addWaiting(service_schedule &service,
                                                   cell_schedule &cell,
                                                   const slot_request &request,
                                                   bool late,
                                                   time_point now)
{
    const bool waitsForDeadline = request.sentBefore && (late || request.continues);
    const time_point expiresAt = waitsForDeadline ? request.deadline : latestStart(service, request, now) + duration(1);
    cell.online.add(request, late, expiresAt, service.costs.costOf(request));
}

/// Runs per second that the cell's upstreams can start, without those that are ejected for failures.
double request_scheduler::implementation::startsPerSecond(const service_schedule &service,
                                                          const cell_schedule &cell,
                                                          const std::string &version,
                                                          time_point now)
{
    const double all = cell.startsPerSecond(service.runSeconds, version);
    double ejected = 0;
    for (const scheduled_upstream *const upstream : cell.members) {
        const bool isOut = upstream->info.hasVersion(version) && service.outliers.isEjectedForFailures(upstream->info.id, now);
        ejected += isOut ? upstream->startsPerSecond(service.runSeconds) : 0;
    }
    return all > ejected ? all - ejected : all; // If all are ejected, they are all that is left.
}

/// The expected wait for a slot of the cell of a waiting online run: the runs that get a slot before it, divided by the rate at
/// which slots become free. Only a cell that holds all upstreams of its service is queued for at several nodes.
duration request_scheduler::implementation::expectedWait(const cell_schedule &cell, const slot_request &request, double rate) const
{
    const std::uint32_t waitingElsewhere = request.cell.count <= 1 ? m_board.waitingOnline(keyOf(request.service)) : 0;
    // Most of the queue does not wait for the upstreams of one version.
    const double ahead = request.version.empty() ? cell.online.aheadOf(request.id) + waitingElsewhere : 1;
    return ahead < rate * toSeconds(longestExpectedWait) ? fromSeconds(ahead / rate) : longestExpectedWait;
}

/// The estimates for a waiting run.
rejection_basis request_scheduler::implementation::rejectionBasisOf(const service_schedule &service,
                                                                    const cell_schedule &cell,
                                                                    const slot_request &request,
                                                                    time_point now) const
{
    const double rate = startsPerSecond(service, cell, request.version, now);
    return {.waiting = static_cast<std::uint32_t>(cell.online.onTimeCount()),
            .slots = cell.slots(request.version),
            .expectedWait = expectedWait(cell, request, rate),
            .firstByte = service.startTimes.tail(request.holder, now),
            .startsPerSecond = rate,
            .limited = cell.limitedMembers(),
            .caller = request.caller,
            .waitingOfCaller = static_cast<std::uint32_t>(cell.online.waitingOf(request.id)),
            .waitingCallers = static_cast<std::uint32_t>(cell.online.callersBeside(request.id))};
}

slot_actions request_scheduler::implementation::submit(const slot_request &request, time_point now)
{
    service_schedule &service = serviceOf(request.service);
    const bool isBatch = request.workClass == work_class::Batch;
    cell_schedule &cell = isBatch ? service.cellForBatch(request) : service.cell(request.cell);
    if (m_runs.contains(request.id) || cell.online.contains(request.id) || cell.batch.contains(request.id)) {
        throw std::invalid_argument("expected a run that is not known yet, found request=" + request.id.text() + " again");
    }
    if (isBatch) {
        cell.addBatch(request);
        scheduleWaiting(service, now);
        return takeActions();
    }
    m_callerCounts.asked(request.caller);
    addWaiting(service, cell, request, isOutOfReach(service, request, now), now);
    scheduleWaiting(service, now);
    if (cell.online.contains(request.id)) {
        rejectIfUnschedulable(service, cell, request, now);
    }
    if (cell.online.contains(request.id)) {
        rejectLessEntitled(service, cell, request, now);
    }
    return takeActions();
}

/// Rejects a waiting run that has no upstream or cannot start in time.
void request_scheduler::implementation::rejectIfUnschedulable(service_schedule &service,
                                                              cell_schedule &cell,
                                                              const slot_request &request,
                                                              time_point now)
{
    const rejection_basis basis = rejectionBasisOf(service, cell, request, now);
    if (!m_choice.hasCandidate(service, cell, request, now)) {
        cell.online.remove(request.id);
        const bool isBound = !request.version.empty(); // A stream that cannot go on is to begin anew at once.
        const end_reason reason = isBound ? end_reason::VersionGone : end_reason::NoUpstream;
        m_callerCounts.refused(request.caller, reason);
        m_actions.push_back(slot_rejected{
            .request = request.id, .reason = reason, .retryAfter = isBound ? duration(0) : jittered(noUpstreamRetryAfter), .basis = basis});
    } else if (!request.sentBefore
               && now + basis.expectedWait > latestStart(service, request, now) - marginOf(cell, service, request, now)) {
        cell.online.remove(request.id);
        reject(cell, request, end_reason::Overloaded, basis, now);
    }
}

/// The time that the queue's noise may take of a run's wait: at most half of it.
duration request_scheduler::implementation::marginOf(const cell_schedule &cell,
                                                     const service_schedule &service,
                                                     const slot_request &request,
                                                     time_point now)
{
    const duration allowed = std::max(duration(0), latestStart(service, request, now) - now);
    return std::min(cell.waitMargin.at(now), allowed / 2);
}

/// Rejects the runs that a waiting run has pushed beyond their latest start: the newest of less urgent work and of the caller that
/// has most of the queue.
void request_scheduler::implementation::rejectLessEntitled(service_schedule &service,
                                                           cell_schedule &cell,
                                                           const slot_request &request,
                                                           time_point now)
{
    while (const slot_request *const candidate = cell.online.lessEntitledThan(request.id)) {
        const rejection_basis basis = rejectionBasisOf(service, cell, *candidate, now);
        if (candidate->sentBefore || now + basis.expectedWait <= latestStart(service, *candidate, now)) {
            return;
        }
        const slot_request rejected = *cell.online.remove(request_id(candidate->id));
        reject(cell, rejected, end_reason::Overloaded, basis, now);
    }
}

void request_scheduler::implementation::reject(cell_schedule &cell,
                                               const slot_request &request,
                                               end_reason reason,
                                               const rejection_basis &basis,
                                               time_point now)
{
    const retry_after_estimator::load_conditions conditions{.expectedWait = basis.expectedWait,
                                                            .maximumRetryAfter = (request.deadline - now) / retryAfterDivisor,
                                                            .slotsPerSecond = basis.startsPerSecond};
    m_callerCounts.refused(request.caller, reason);
    const duration retryAfter = cell.retryEstimator.retryAfter(conditions, now, m_generator);
    m_actions.push_back(slot_rejected{.request = request.id, .reason = reason, .retryAfter = retryAfter, .basis = basis});
}

void request_scheduler::implementation::cancel(const request_id &request)
{
    for (auto &[name, service] : m_services) {
        for (auto &[which, cell] : service.cells) {
            cell.online.remove(request);
            cell.removeBatch(request);
        }
    }
}

void request_scheduler::implementation::grant(service_schedule &service,
                                              const slot_request &request,
                                              scheduled_upstream &upstream,
                                              time_point now)
{
    const granted_run &run = recordGrant(service, request, upstream, now);
    service.outliers.recordProbe(upstream.info.id, now);
    m_choice.granted(request, upstream.info.id);
    if (upstream.starts) {
        upstream.starts->recordStart(now);
    }
    m_firstByteDeadlines.emplace(run.overdueAt, request.id);
    m_actions.push_back(slot_granted{.request = request.id, .upstream = upstream.info.id, .version = upstream.info.softwareVersion});
    const std::uint32_t total = m_choice.workAt(upstream).all();
    if (request.workClass == work_class::Online && total > upstream.info.slots) {
        reclaimBatchSlots(service, upstream, total - upstream.info.slots, now);
    }
}

/// Records that a run holds a slot.
granted_run &request_scheduler::implementation::recordGrant(const service_schedule &service,
                                                            const slot_request &request,
                                                            scheduled_upstream &upstream,
                                                            time_point now)
{
    const bool online = request.workClass == work_class::Online;
    (online ? upstream.online : upstream.batch) += 1;
    if (!online) {
        upstream.batchRuns.push_back(request.id);
    }
    const double overdueSeconds = toSeconds(overdueAfter(request.service)) * m_choice.usualFactor(service, upstream);
    granted_run run{.request = request,
                    .upstream = upstream.info.id,
                    .grantedAt = now,
                    .overdueAt = now + std::min(fromSeconds(overdueSeconds), maximumOverdueAfter)};
    m_choice.recordExpectations(service, upstream, run, now);
    upstream.outstanding.add(1, run.expectedHere.runSeconds, now);
    upstream.grantedAt = now;
    return m_runs.emplace(request.id, run).first->second;
}

void request_scheduler::implementation::adopt(const slot_request &request,
                                              const upstream_id &upstream,
                                              bool answerHasBegun,
                                              time_point grantedAt)
{
    service_schedule &service = serviceOf(request.service);
    const auto found = service.upstreams.find(upstream);
    if (found == service.upstreams.end() || m_runs.contains(request.id)) {
        return; // The upstream was removed, so there are no slots to count, or the run is already recorded.
    }
    granted_run &run = recordGrant(service, request, found->second, grantedAt);
    run.firstByteSeen = answerHasBegun;
    if (!answerHasBegun) {
        m_firstByteDeadlines.emplace(run.overdueAt, request.id);
    }
}

/// Reclaims up to @p excess slots of this node's batch runs at an upstream.
void request_scheduler::implementation::reclaimBatchSlots(const service_schedule &service,
                                                          scheduled_upstream &upstream,
                                                          std::uint32_t excess,
                                                          time_point now)
{
    for (; excess > 0 && !upstream.batchRuns.empty(); --excess) {
        const auto priorityOf = [&](const request_id &id) {
            const granted_run &run = m_runs.at(id);
            return service.batchOrder.reclaimPriority(run.request, run.grantedAt, now);
        };
        const auto first =
            std::max_element(upstream.batchRuns.begin(), upstream.batchRuns.end(), [&](const request_id &left, const request_id &right) {
                return std::pair(priorityOf(left), left) < std::pair(priorityOf(right), right);
            });
        granted_run &run = m_runs.at(*first);
        run.reclaimed = true;
        upstream.outstanding.remove(1, run.expectedHere.runSeconds, run.grantedAt);
        m_actions.push_back(slot_reclaimed{.request = *first});
        upstream.batchRuns.erase(first);
        --upstream.batch;
    }
}

/// Preempts batch runs at upstreams where all nodes together have more work than there are slots. Only the node with the
/// most batch work there does so; otherwise all nodes would preempt theirs.
void request_scheduler::implementation::resolveOvercommit(service_schedule &service, time_point now)
{
    for (auto &[id, upstream] : service.upstreams) {
        const std::uint32_t total = upstream.batch == 0 ? 0 : m_choice.workAt(upstream).all();
        if (total <= upstream.info.slots) {
            continue;
        }
        const load_board::batch_holder other = m_board.largestBatch(upstream.key);
        const bool isFirst = upstream.batch > other.batch || (upstream.batch == other.batch && m_options.self < other.node);
        if (isFirst) {
            reclaimBatchSlots(service, upstream, total - upstream.info.slots, now);
        }
    }
}

void request_scheduler::implementation::scheduleWaiting(service_schedule &service, time_point now)
{
    m_lastScheduledAt = now;
    m_choice.reviewSharing(service, now);
    for (auto &[which, cell] : service.cells) {
        scheduleOnline(service, cell, now);
    }
    for (auto &[which, cell] : service.cells) {
        scheduleBatch(service, cell, now);
    }
}

/// Whether a waiting run has no upstream that could ever take it, by what is known now.
bool request_scheduler::implementation::lacksUpstream(const service_schedule &service,
                                                      const cell_schedule &cell,
                                                      const slot_request &request,
                                                      time_point now) const
{
    return cell.members.empty() || (!request.version.empty() && !m_choice.hasCandidate(service, cell, request, now));
}

void request_scheduler::implementation::scheduleOnline(service_schedule &service, cell_schedule &cell, time_point now)
{
    std::set<waiting_runs::run_kind> full; // If one run finds no slot, no other run of its kind finds one.
    while (const slot_request *const first = cell.online.next(full)) {
        scheduled_upstream *upstream = m_choice.selectForOnline(service, cell, *first, now);
        upstream = upstream == nullptr ? m_choice.selectAmongSlow(service, cell, *first, now) : upstream;
        if (upstream == nullptr && lacksUpstream(service, cell, *first, now)) {
            rejectIfUnschedulable(service, cell, slot_request(*first), now);
        } else if (upstream == nullptr) {
            full.insert(waiting_runs::kindOf(*first));
        } else {
            const slot_request request = cell.online.take(request_id(first->id));
            m_callerCounts.granted(request.caller, std::max(duration(0), now - request.arrivedAt));
            grant(service, request, *upstream, now);
        }
    }
    endExpired(service, cell, now);
}

/// Rejects the runs that can no longer start in time. A run that was sent before waits on, but no longer before others.
void request_scheduler::implementation::endExpired(service_schedule &service, cell_schedule &cell, time_point now)
{
    while (const slot_request *const expired = cell.online.firstExpired(now)) {
        const rejection_basis basis = rejectionBasisOf(service, cell, *expired, now);
        const slot_request request = *cell.online.remove(request_id(expired->id));
        if (request.sentBefore && now < request.deadline) {
            addWaiting(service, cell, request, true, now);
        } else {
            if (!request.sentBefore) {
                cell.waitMargin.expired(now);
            }
            reject(cell, request, end_reason::DeadlineUnreachable, basis, now);
        }
    }
}

/// Whether any waiting batch run may start or end now. Spares the look at many waiting runs while all slots are in use.
bool request_scheduler::implementation::mayDecideBatch(const cell_schedule &cell) const
{
    const auto hasFreeSlot = [this](const scheduled_upstream *upstream) {
        return m_choice.workAt(*upstream).all() < upstream->info.slots;
    };
    return cell.boundBatch > 0 || (!cell.batch.empty() && std::any_of(cell.members.begin(), cell.members.end(), hasFreeSlot));
}

void request_scheduler::implementation::scheduleBatch(service_schedule &service, cell_schedule &cell, time_point now)
{
    if (cell.batch.empty()) {
        cell.batchShares.reset();
    }
    if (service.waitingOnline() > 0 || !mayDecideBatch(cell)) {
        return;
    }
    batch_filter filter{.fullVersions = {}, .soundFirst = !m_choice.hasRotation(service, cell, {}, now)};
    while (service.waitingOnline() == 0) {
        const slot_request *const first = firstBatchRun(service, cell, filter, now);
        if (first == nullptr) {
            return;
        }
        const slot_request request = *first;
        scheduled_upstream *const upstream = m_choice.selectForBatch(service, cell, request, m_options.reactionTime, now);
        if (upstream != nullptr) {
            cell.removeBatch(request.id);
            cell.batchShares.served(request.caller, service.costs.costOf(request));
            grant(service, request, *upstream, now);
        } else if (!request.version.empty() && !m_choice.hasCandidate(service, cell, request, now)) {
            cell.removeBatch(request.id);
            m_actions.push_back(slot_rejected{.request = request.id, .reason = end_reason::VersionGone});
        } else if (!request.version.empty()) {
            filter.fullVersions.insert(request.version);
        } else if (!filter.soundOnly && service.doubtOf(request, now) > 0) {
            filter.soundOnly = true; // Sound runs may use upstreams that are being probed.
        } else {
            return;
        }
    }
}

/// The waiting batch run that comes first of those that @p filter admits; null if there is none. Runs that may fail by themselves
/// wait behind the others. Callers take turns; those whose work can no longer complete in time come last.
const slot_request *request_scheduler::implementation::firstBatchRun(const service_schedule &service,
                                                                     const cell_schedule &cell,
                                                                     const batch_filter &filter,
                                                                     time_point now)
{
    using position = std::tuple<std::uint32_t, bool, std::uint32_t, std::uint32_t, double, batch_order::rank>;
    const slot_request *first = nullptr;
    position best;
    for (const auto &[id, request] : cell.batch) {
        const std::uint32_t doubt = service.doubtOf(request, now);
        if ((!request.version.empty() && filter.fullVersions.contains(request.version)) || (filter.soundOnly && doubt > 0)) {
            continue;
        }
        const batch_order::rank rank = service.batchOrder.rankOf(request, now);
        const position candidate(
            filter.soundFirst ? doubt : 0, rank.targetUnreachable, rank.priority, doubt, cell.batchShares.startOf(request.caller), rank);
        if (first == nullptr || candidate < best) {
            first = &request;
            best = candidate;
        }
    }
    return first;
}

void request_scheduler::implementation::firstByte(const request_id &request, std::optional<duration> measured, time_point now)
{
    const auto entry = m_runs.find(request);
    if (entry == m_runs.end() || entry->second.firstByteSeen) {
        return;
    }
    granted_run &run = entry->second;
    run.firstByteSeen = true;
    m_firstByteDeadlines.erase({run.overdueAt, request});
    service_schedule &service = serviceOf(run.request.service);
    service.failing.recordAnswer(run.request.origin, run.upstream, run.grantedAt);
    const duration taken = measured.value_or(now - run.grantedAt);
    const auto upstream = service.upstreams.find(run.upstream);
    const double usualFactor = upstream == service.upstreams.end() ? 1 : m_choice.usualFactor(service, upstream->second);
    if (service.outliers.recordLatency(run.upstream, latency_kind::FirstToken, fromSeconds(toSeconds(taken) / usualFactor), now)) {
        m_actions.push_back(upstream_ejected{.upstream = run.upstream, .forSlowness = true});
    }
    updateAverage(service.firstByteSeconds, toSeconds(taken));
    service.startTimes.record(run.request.holder, taken, now);
    if (upstream != service.upstreams.end()) {
        double &upstreamAverage = upstream->second.firstByteSeconds;
        upstreamAverage = upstreamAverage > 0 ? upstreamAverage + smoothingFactor * (toSeconds(taken) - upstreamAverage) : toSeconds(taken);
        upstream->second.degradedAt = run.overdue ? upstream->second.degradedAt : std::nullopt;
        service.recordFirstByte(run, upstream->second, toSeconds(taken), now);
    }
}

void request_scheduler::implementation::recordResult(service_schedule &service,
                                                     scheduled_upstream &upstream,
                                                     const granted_run &run,
                                                     const attempt_result &result,
                                                     time_point now)
{
    switch (result.outcome) {
    case attempt_outcome::Succeeded:
    case attempt_outcome::Answered:
        if (result.outcome == attempt_outcome::Succeeded) {
            service.recordRun(run, upstream, toSeconds(now - run.grantedAt), now);
            service.failing.recordSuccess(run.request.origin);
        }
        if (run.request.workClass == work_class::Online) {
            updateAverage(service.runSeconds, toSeconds(now - run.grantedAt));
        } else if (result.outcome == attempt_outcome::Succeeded) {
            service.batchOrder.completed(run.request.earlierRunTime + (now - run.grantedAt));
        }
        return;
    case attempt_outcome::Refused:
    case attempt_outcome::Cancelled:
        return;
    case attempt_outcome::Failed:
    case attempt_outcome::Lost:
    case attempt_outcome::TimedOut:
        service.failing.recordFailure(run.request.origin, run.upstream, service.upstreams.size(), now);
        if (service.failing.isBlamed(run.request.origin, now)) {
            if (service.failing.reportBlame(run.request.origin)) {
                m_actions.push_back(origin_blamed{.request = run.request.id, .upstream = run.upstream});
            }
            return;
        }
        [[fallthrough]];
    case attempt_outcome::NotSent:
        if (service.outliers.recordFailure(run.upstream, result.outcome, now)) {
            m_actions.push_back(upstream_ejected{.upstream = run.upstream});
        }
        upstream.degradedAt = now;
        return;
    }
}

slot_actions request_scheduler::implementation::released(const request_id &request, const attempt_result &result, time_point now)
{
    const auto entry = m_runs.find(request);
    if (entry == m_runs.end()) {
        return {};
    }
    const granted_run run = entry->second;
    m_runs.erase(entry);
    m_firstByteDeadlines.erase({run.overdueAt, request});
    const bool connectionStays = result.outcome == attempt_outcome::Succeeded || result.outcome == attempt_outcome::Answered;
    m_choice.released(run.request, run.upstream, connectionStays, now);
    service_schedule &service = serviceOf(run.request.service);
    const auto found = service.upstreams.find(run.upstream);
    if (found != service.upstreams.end()) {
        scheduled_upstream &upstream = found->second;
        if (!run.reclaimed) {
            upstream.outstanding.remove(1, run.expectedHere.runSeconds, run.grantedAt);
        }
        if (run.request.workClass == work_class::Online) {
            --upstream.online;
        } else if (!run.reclaimed) {
            --upstream.batch;
            std::erase(upstream.batchRuns, request);
        }
        recordResult(service, upstream, run, result, now);
        if (!upstream.registered && upstream.online + upstream.batch == 0) {
            service.upstreams.erase(found);
        }
    }
    scheduleWaiting(service, now);
    return takeActions();
}

slot_actions request_scheduler::implementation::loadChanged(time_point now)
{
    for (auto &[name, service] : m_services) {
        resolveOvercommit(service, now);
        scheduleWaiting(service, now);
    }
    return takeActions();
}

slot_actions request_scheduler::implementation::tick(time_point now)
{
    while (!m_firstByteDeadlines.empty() && m_firstByteDeadlines.begin()->first <= now) {
        granted_run &run = m_runs.at(m_firstByteDeadlines.begin()->second);
        m_firstByteDeadlines.erase(m_firstByteDeadlines.begin());
        service_schedule &service = serviceOf(run.request.service);
        const auto upstream = service.upstreams.find(run.upstream);
        if (upstream != service.upstreams.end() && !service.failing.isBlamed(run.request.origin, now)) {
            run.overdue = true;
            if (service.outliers.recordOverdue(run.upstream, now)) {
                m_actions.push_back(upstream_ejected{.upstream = run.upstream, .forSlowness = true});
            }
            upstream->second.degradedAt = now;
        }
    }
    for (auto &[name, service] : m_services) {
        scheduleWaiting(service, now);
    }
    return takeActions();
}

std::optional<time_point> request_scheduler::implementation::nextWakeUp() const
{
    std::optional<time_point> next;
    const auto consider = [&](const std::optional<time_point> &candidate) {
        if (candidate) {
            next = next ? std::min(*next, *candidate) : *candidate;
        }
    };
    if (!m_firstByteDeadlines.empty()) {
        consider(m_firstByteDeadlines.begin()->first);
    }
    for (const auto &[name, service] : m_services) {
        bool hasWaiting = false;
        for (const auto &[which, cell] : service.cells) {
            consider(cell.online.nextExpiry());
            hasWaiting = hasWaiting || !cell.online.empty() || !cell.batch.empty();
        }
        if (hasWaiting) {
            consider(service.outliers.nextEjectionEnd(m_lastScheduledAt));
            consider(service.outliers.nextEarlyProbe(m_lastScheduledAt));
            considerNextStarts(service, consider);
        }
    }
    return next;
}

/// Passes the times at which rate-limited upstreams that allowed no start at the last scheduling will allow one.
void request_scheduler::implementation::considerNextStarts(const service_schedule &service,
                                                           const std::function<void(time_point)> &consider) const
{
    const work_class waiting = service.waitingOnline() > 0 ? work_class::Online : work_class::Batch;
    for (const auto &[id, upstream] : service.upstreams) {
        if (upstream.isUsable() && !upstream.mayStart(waiting, m_lastScheduledAt)) {
            const time_point at = upstream.starts->whenMayStart(waiting);
            if (at != time_point::max()) {
                consider(std::max(at, m_lastScheduledAt + duration(1)));
            }
        }
    }
}

duration request_scheduler::implementation::overdueAfter(const service_name &service) const
{
    const auto entry = m_services.find(service);
    const std::optional<duration> slow =
        entry == m_services.end() ? std::nullopt : entry->second.outliers.slowThreshold(latency_kind::FirstToken);
    return std::min(slow.value_or(defaultOverdueAfter), maximumOverdueAfter);
}

/// Longer at an upstream that is usually slower than the others.
duration request_scheduler::implementation::overdueAfter(const service_name &service, const upstream_id &upstream) const
{
    const duration usual = overdueAfter(service);
    const auto schedule = m_services.find(service);
    if (schedule == m_services.end()) {
        return usual;
    }
    const auto found = schedule->second.upstreams.find(upstream);
    const double factor = found == schedule->second.upstreams.end() ? 1 : m_choice.usualFactor(schedule->second, found->second);
    return std::min(fromSeconds(toSeconds(usual) * std::max(1.0, factor)), maximumOverdueAfter);
}

std::map<upstream_key, upstream_usage> request_scheduler::implementation::usage(time_point now) const
{
    std::map<upstream_key, upstream_usage> result;
    for (const auto &[name, service] : m_services) {
        for (const auto &[id, upstream] : service.upstreams) {
            // A node that no longer sends runs there never learns that the upstream has recovered.
            const bool degraded =
                upstream_choice::isDegraded(upstream, now) || service.outliers.wasRecentlyEjected(id, staleEjectionTime, now);
            if (upstream.online + upstream.batch > 0 || degraded) {
                result[upstream.key] = {.online = upstream.online,
                                        .batch = upstream.batch,
                                        .degraded = degraded,
                                        .remainingWork = m_choice.reportedWork(service, upstream, now)};
            }
        }
    }
    return result;
}

std::vector<placement_report> request_scheduler::implementation::placement(time_point now) const
{
    std::vector<placement_report> result;
    for (const auto &[name, service] : m_services) {
        result.push_back({.service = name,
                          .byCost = m_choice.placesByCost(service),
                          .speedSpread = service.speeds.spread(),
                          .expectedFirstByte = fromSeconds(service.expectedFirstByte.value()),
                          .measuredFirstByte = fromSeconds(service.measuredFirstByte.value()),
                          .firstByteError = fromSeconds(service.firstByteError.value()),
                          .speeds = {}});
        for (const auto &[id, upstream] : service.upstreams) {
            if (upstream.isUsable() && upstream.speed.isKnown(now)) {
                result.back().speeds.emplace_back(id, upstream.speed.usualFactor());
            }
        }
        std::sort(result.back().speeds.begin(), result.back().speeds.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
    }
    return result;
}

std::map<service_key, std::uint32_t> request_scheduler::implementation::waitingByService() const
{
    std::map<service_key, std::uint32_t> result;
    for (const auto &[name, service] : m_services) {
        if (const std::uint32_t count = service.waitingOnline(); count > 0) {
            result[keyOf(name)] = count;
        }
    }
    return result;
}

std::uint32_t request_scheduler::implementation::waitingOnline() const
{
    std::uint32_t count = 0;
    for (const auto &[name, service] : m_services) {
        count += service.waitingOnline();
    }
    return count;
}

std::uint32_t request_scheduler::implementation::waitingBatch() const
{
    std::uint32_t count = 0;
    for (const auto &[name, service] : m_services) {
        count += service.waitingBatch();
    }
    return count;
}

/// Adds a random duration of up to @p value, so that clients that were rejected together do not retry together.
duration request_scheduler::implementation::jittered(duration value)
{
    return value + duration(std::uniform_int_distribution<duration::rep>(0, value.count())(m_generator));
}

slot_actions request_scheduler::implementation::takeActions()
{
    slot_actions result;
    result.swap(m_actions);
    return result;
}

request_scheduler::request_scheduler(const request_scheduler_options &options, const load_board &board)
    : m_implementation(std::make_unique<implementation>(options, board))
{
}

request_scheduler::~request_scheduler() = default;

slot_actions request_scheduler::setUpstreams(std::span<const replica> upstreams, time_point now)
{
    return m_implementation->setUpstreams(upstreams, now);
}

slot_actions request_scheduler::setAllowedRates(const std::map<upstream_id, allowed_rate> &rates, time_point now)
{
    return m_implementation->setAllowedRates(rates, now);
}

slot_actions request_scheduler::submit(const slot_request &request, time_point now)
{
    return m_implementation->submit(request, now);
}

void request_scheduler::cancel(const request_id &request)
{
    m_implementation->cancel(request);
}

void request_scheduler::adopt(const slot_request &request, const upstream_id &upstream, bool answerHasBegun, time_point grantedAt)
{
    m_implementation->adopt(request, upstream, answerHasBegun, grantedAt);
}

void request_scheduler::firstByte(const request_id &request, time_point now)
{
    m_implementation->firstByte(request, std::nullopt, now);
}

void request_scheduler::firstByteAfter(const request_id &request, duration taken, time_point now)
{
    m_implementation->firstByte(request, taken, now);
}

slot_actions request_scheduler::released(const request_id &request, const attempt_result &result, time_point now)
{
    return m_implementation->released(request, result, now);
}

slot_actions request_scheduler::loadChanged(time_point now)
{
    return m_implementation->loadChanged(now);
}

slot_actions request_scheduler::tick(time_point now)
{
    return m_implementation->tick(now);
}

std::optional<time_point> request_scheduler::nextWakeUp() const
{
    return m_implementation->nextWakeUp();
}

duration request_scheduler::overdueAfter(const service_name &service) const
{
    return m_implementation->overdueAfter(service);
}

duration request_scheduler::overdueAfter(const service_name &service, const upstream_id &upstream) const
{
    return m_implementation->overdueAfter(service, upstream);
}

std::map<upstream_key, upstream_usage> request_scheduler::usage(time_point now) const
{
    return m_implementation->usage(now);
}

std::vector<placement_report> request_scheduler::placement(time_point now) const
{
    return m_implementation->placement(now);
}

std::map<service_key, std::uint32_t> request_scheduler::waitingByService() const
{
    return m_implementation->waitingByService();
}

std::uint32_t request_scheduler::waitingOnline() const
{
    return m_implementation->waitingOnline();
}

std::uint32_t request_scheduler::waitingBatch() const
{
    return m_implementation->waitingBatch();
}

const caller_counts &request_scheduler::callerCounts() const
{
    return m_implementation->callerCounts();
}

} // namespace banyan
