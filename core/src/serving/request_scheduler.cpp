#include "banyan/core/serving/request_scheduler.h"

#include "../outlier_detector.h"
#include "../prefix_affinity.h"
#include "banyan/core/serving/load_board.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>
#include <stdexcept>
#include <tuple>
#include <unordered_map>

namespace banyan {

namespace {

constexpr double averageStep = 0.1; ///< Weight of a new measurement in the running averages.
constexpr duration troubleMemory = std::chrono::seconds(2); ///< How long a failure speaks against an upstream without a new one.
constexpr std::uint32_t troubledNodes = 2; ///< Nodes, this one included, whose troubles together keep work from an upstream.
constexpr duration noUpstreamRetryAfter = std::chrono::milliseconds(500); ///< Upstreams come back within some seconds.
constexpr duration shortestRetryAfter = std::chrono::milliseconds(100);
constexpr duration longestRetryAfter = std::chrono::milliseconds(1500);
constexpr duration unknownOverdueAfter = std::chrono::milliseconds(400); ///< While too few answers are known to compare with.
constexpr duration longestOverdueAfter = std::chrono::seconds(1);
constexpr duration longestLateWait = std::chrono::seconds(1); ///< For a place, of a run that will be late in any case.
constexpr double otherDomainScore = 0.06; ///< Busier by so much an upstream of the own failure domain is still preferred.
constexpr double affinityScore = 0.12; ///< The same for one that has lately read the prompt's shared part.
constexpr double slowScore = 0.3; ///< How much less a slow upstream is preferred, for each multiple of the usual time.
constexpr double troubleScore = 0.5; ///< How much less one is preferred that failed lately, while it is not avoided altogether.
constexpr double jitterScore = 0.02; ///< Lets nodes with the same view choose different upstreams.
constexpr std::size_t rememberedPrefixes = 1024;

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration fromSeconds(double value)
{
    return duration(static_cast<std::int64_t>(value * 1e6));
}

/// An upstream and this node's own work there.
struct scheduled_upstream
{
    replica info;
    upstream_key key = 0;
    std::uint32_t online = 0;
    std::uint32_t batch = 0; ///< Without those that were reclaimed.
    bool registered = true;
    std::optional<time_point> troubledAt;
    double firstByteSeconds = 0; ///< Average; 0 while unknown.
};

/// A run that has its slot.
struct granted_run
{
    slot_request request;
    upstream_id upstream;
    time_point grantedAt;
    bool firstByteSeen = false;
    bool overdue = false;
    bool reclaimed = false;
};

/// The order of waiting runs: late ones last, then by priority, then the one that has to begin first.
using wait_key = std::tuple<bool, std::uint32_t, time_point, request_id>;

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

struct service_state
{
    std::map<upstream_id, scheduled_upstream> upstreams;
    std::map<wait_key, slot_request> online;
    std::map<wait_key, slot_request> batch;
    outlier_detector outliers{outlier_detector_options()};
    double firstByteSeconds = 0;
    double runSeconds = 0;
};

void average(double &value, double measured)
{
    value += averageStep * (measured - value);
}

} // namespace

upstream_key keyOf(const upstream_id &upstream)
{
    return XXH32(upstream.text().data(), upstream.text().size(), 0);
}

class request_scheduler::implementation
{
public:
    implementation(const request_scheduler_options &options, const load_board &board)
        : m_options(options)
        , m_board(board)
        , m_generator(options.seed)
        , m_prefixes(rememberedPrefixes)
    {
    }

    slot_actions setUpstreams(std::span<const replica> upstreams, time_point now);
    slot_actions submit(const slot_request &request, time_point now);
    void withdraw(const request_id &request);
    void firstByte(const request_id &request, std::optional<duration> measured, time_point now);
    slot_actions released(const request_id &request, const attempt_result &result, time_point now);
    slot_actions loadChanged(time_point now);
    slot_actions tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;
    [[nodiscard]] duration overdueAfter(const service_name &service) const;
    [[nodiscard]] std::map<upstream_key, upstream_usage> usage(time_point now) const;
    [[nodiscard]] std::uint32_t waiting(work_class value) const;

private:
    service_state &serviceOf(const service_name &name);
    [[nodiscard]] wait_key keyOfWaiting(const service_state &service, const slot_request &request) const;
    [[nodiscard]] time_point latestStart(const service_state &service, const slot_request &request) const;
    [[nodiscard]] total_work workAt(const scheduled_upstream &upstream) const;
    [[nodiscard]] bool isUsable(const service_state &service, const scheduled_upstream &upstream, time_point now) const;
    [[nodiscard]] bool
    isAvoided(const service_state &service, const scheduled_upstream &upstream, const slot_request &request, time_point now) const;
    [[nodiscard]] std::vector<scheduled_upstream *> candidates(service_state &service, const slot_request &request, time_point now);
    [[nodiscard]] std::optional<double>
    onlineScore(const service_state &service, const scheduled_upstream &upstream, const slot_request &request, time_point now);
    [[nodiscard]] scheduled_upstream *chooseOnline(service_state &service, const slot_request &request, time_point now);
    [[nodiscard]] scheduled_upstream *chooseBatch(service_state &service, const slot_request &request, time_point now);
    [[nodiscard]] double
    preference(const service_state &service, const scheduled_upstream &upstream, const slot_request &request, time_point now);
    [[nodiscard]] duration expectedWait(const service_state &service, time_point now) const;
    void grant(service_state &service, const slot_request &request, scheduled_upstream &upstream, time_point now);
    void refuse(const slot_request &request, end_reason reason, duration retryAfter);
    void makeRoom(scheduled_upstream &upstream, std::uint32_t excess);
    void yieldToOthers(service_state &service);
    void startWaiting(service_state &service, time_point now);
    void startOnline(service_state &service, time_point now);
    void startBatch(service_state &service, time_point now);
    void learn(service_state &service, scheduled_upstream &upstream, const granted_run &run, const attempt_result &result, time_point now);
    [[nodiscard]] duration jittered(duration value);
    slot_actions takeActions();

    request_scheduler_options m_options;
    const load_board &m_board;
    std::mt19937_64 m_generator;
    std::map<service_name, service_state> m_services;
    std::map<request_id, granted_run> m_runs;
    prefix_affinity m_prefixes;
    slot_actions m_actions;
    time_point m_decidedAt; ///< When waiting runs were last looked at.
};

service_state &request_scheduler::implementation::serviceOf(const service_name &name)
{
    const auto [entry, inserted] = m_services.try_emplace(name);
    if (inserted) {
        entry->second.firstByteSeconds = toSeconds(m_options.assumedFirstByte);
        entry->second.runSeconds = toSeconds(m_options.assumedRunTime);
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
        service_state &service = serviceOf(info.service);
        scheduled_upstream &upstream = service.upstreams[info.id];
        upstream.info = info;
        upstream.key = keyOf(info.id);
        upstream.registered = true;
    }
    for (auto &[name, service] : m_services) {
        std::erase_if(service.upstreams, [](const auto &entry) {
            return !entry.second.registered && entry.second.online + entry.second.batch == 0;
        });
        std::set<upstream_id> staying;
        for (const auto &[id, upstream] : service.upstreams) {
            if (upstream.registered && !upstream.info.draining) {
                staying.insert(id);
            }
        }
        service.outliers.setUpstreams(staying);
        startWaiting(service, now);
    }
    return takeActions();
}

total_work request_scheduler::implementation::workAt(const scheduled_upstream &upstream) const
{
    const load_board::total_usage others = m_board.usageOf(upstream.key);
    return {.online = upstream.online + others.online, .batch = upstream.batch + others.batch};
}

bool request_scheduler::implementation::isUsable(const service_state &service, const scheduled_upstream &upstream, time_point) const
{
    return upstream.registered && !upstream.info.draining && service.upstreams.contains(upstream.info.id);
}

/// Whether what this node and the others have seen of the upstream keeps the request from it while there are others. One
/// that was ejected and may have recovered is tried by one run at a time that can be repeated.
bool request_scheduler::implementation::isAvoided(const service_state &service,
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
    const bool ownTrouble = upstream.troubledAt && now - *upstream.troubledAt < troubleMemory;
    return m_board.usageOf(upstream.key).troubledNodes + (ownTrouble ? 1 : 0) >= troubledNodes;
}

/// The upstreams for a request: the good ones, else those that are avoided, else those where it was tried already.
std::vector<scheduled_upstream *>
request_scheduler::implementation::candidates(service_state &service, const slot_request &request, time_point now)
{
    std::vector<scheduled_upstream *> good;
    std::vector<scheduled_upstream *> avoided;
    std::vector<scheduled_upstream *> tried;
    for (auto &[id, upstream] : service.upstreams) {
        if (!isUsable(service, upstream, now) || !request.cell.contains(id)) {
            continue;
        }
        if (std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end()) {
            tried.push_back(&upstream);
        } else if (isAvoided(service, upstream, request, now)) {
            avoided.push_back(&upstream);
        } else {
            good.push_back(&upstream);
        }
    }
    if (!good.empty()) {
        return good;
    }
    return avoided.empty() ? tried : avoided;
}

double request_scheduler::implementation::preference(const service_state &service,
                                                     const scheduled_upstream &upstream,
                                                     const slot_request &request,
                                                     time_point now)
{
    const upstream_id *const cached = m_prefixes.upstreamOf(request.prefixHash);
    const double slowness = upstream.firstByteSeconds > 0 ? upstream.firstByteSeconds / service.firstByteSeconds - 1 : 0;
    double score = std::uniform_real_distribution<double>(0, jitterScore)(m_generator);
    score += slowScore * std::clamp(slowness, 0.0, 1.0);
    score += upstream.info.domain == m_options.domain ? 0 : otherDomainScore;
    score += upstream.troubledAt && now - *upstream.troubledAt < troubleMemory ? troubleScore : 0;
    score -= cached != nullptr && *cached == upstream.info.id ? affinityScore : 0;
    return score;
}

/// The lower, the better: a free slot first, then one held by batch work of this node, then one held by that of others.
/// None if online work holds all slots: the run then waits here, where any slot that becomes free serves it, and not in the
/// queue of one upstream.
std::optional<double> request_scheduler::implementation::onlineScore(const service_state &service,
                                                                     const scheduled_upstream &upstream,
                                                                     const slot_request &request,
                                                                     time_point now)
{
    const total_work work = workAt(upstream);
    const std::uint32_t slots = std::max(1U, upstream.info.slots);
    const double busy = static_cast<double>(work.all()) / slots;
    const double score = busy + preference(service, upstream, request, now);
    if (work.all() < slots) {
        return score;
    }
    if (work.online < slots) {
        return score + (upstream.batch > 0 ? 1 : 2);
    }
    return std::nullopt;
}

scheduled_upstream *request_scheduler::implementation::chooseOnline(service_state &service, const slot_request &request, time_point now)
{
    scheduled_upstream *best = nullptr;
    double bestScore = 0;
    for (scheduled_upstream *const upstream : candidates(service, request, now)) {
        const std::optional<double> score = onlineScore(service, *upstream, request, now);
        if (score && (best == nullptr || *score < bestScore)) {
            best = upstream;
            bestScore = *score;
        }
    }
    return best;
}

/// The upstream with the most free slots, if more are free than online work will need before other nodes can react.
scheduled_upstream *request_scheduler::implementation::chooseBatch(service_state &service, const slot_request &request, time_point now)
{
    scheduled_upstream *best = nullptr;
    double bestScore = 0;
    std::uint32_t free = 0;
    std::uint32_t online = 0;
    for (scheduled_upstream *const upstream : candidates(service, request, now)) {
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
    const double arrivals = online / service.runSeconds * toSeconds(m_options.reactionTime);
    const auto headroom = static_cast<std::uint32_t>(std::ceil(arrivals));
    return free > headroom ? best : nullptr;
}

/// The last moment at which a run can begin and still be of the use that it is waiting for.
time_point request_scheduler::implementation::latestStart(const service_state &service, const slot_request &request) const
{
    const duration firstByte = fromSeconds(service.firstByteSeconds);
    const time_point inTime = request.target - firstByte;
    if (inTime >= request.arrivedAt) {
        return inTime;
    }
    return std::min(request.deadline - firstByte, request.arrivedAt + longestLateWait);
}

wait_key request_scheduler::implementation::keyOfWaiting(const service_state &service, const slot_request &request) const
{
    const bool late = request.workClass == work_class::Online && request.target - fromSeconds(service.firstByteSeconds) < request.arrivedAt;
    return {late && !request.begun, request.priority, request.target, request.id};
}

/// How long an online run that arrives now waits for a slot: the work before it at all nodes, at the rate at which the
/// slots become free.
duration request_scheduler::implementation::expectedWait(const service_state &service, time_point now) const
{
    std::uint32_t slots = 0;
    for (const auto &[id, upstream] : service.upstreams) {
        slots += isUsable(service, upstream, now) ? upstream.info.slots : 0;
    }
    const double ahead = static_cast<double>(service.online.size()) + m_board.waitingOnline();
    return fromSeconds(ahead * service.runSeconds / std::max(1U, slots));
}

slot_actions request_scheduler::implementation::submit(const slot_request &request, time_point now)
{
    service_state &service = serviceOf(request.service);
    const wait_key key = keyOfWaiting(service, request);
    auto &queue = request.workClass == work_class::Online ? service.online : service.batch;
    if (m_runs.contains(request.id) || !queue.emplace(key, request).second) {
        throw std::invalid_argument("expected a run that is not known yet, found request=" + request.id.text() + " again");
    }
    startWaiting(service, now);
    if (request.workClass == work_class::Batch || !service.online.contains(key)) {
        return takeActions();
    }
    const duration wait = expectedWait(service, now);
    const bool anyUpstream = !candidates(service, request, now).empty();
    if (!anyUpstream) {
        service.online.erase(key);
        refuse(request, end_reason::NoUpstream, jittered(noUpstreamRetryAfter));
    } else if (!request.begun && now + wait > latestStart(service, request)) {
        service.online.erase(key);
        refuse(request, end_reason::Overloaded, jittered(2 * wait));
    }
    return takeActions();
}

void request_scheduler::implementation::withdraw(const request_id &request)
{
    for (auto &[name, service] : m_services) {
        std::erase_if(service.online, [&](const auto &entry) {
            return entry.second.id == request;
        });
        std::erase_if(service.batch, [&](const auto &entry) {
            return entry.second.id == request;
        });
    }
}

void request_scheduler::implementation::grant(service_state &, const slot_request &request, scheduled_upstream &upstream, time_point now)
{
    const bool online = request.workClass == work_class::Online;
    (online ? upstream.online : upstream.batch) += 1;
    m_prefixes.ran(request.prefixHash, upstream.info.id);
    m_runs.emplace(request.id, granted_run{.request = request, .upstream = upstream.info.id, .grantedAt = now});
    m_actions.push_back(slot_granted{.request = request.id, .upstream = upstream.info.id});
    const std::uint32_t total = workAt(upstream).all();
    if (online && total > upstream.info.slots) {
        makeRoom(upstream, total - upstream.info.slots);
    }
}

void request_scheduler::implementation::refuse(const slot_request &request, end_reason reason, duration retryAfter)
{
    m_actions.push_back(slot_refused{.request = request.id, .reason = reason, .retryAfter = retryAfter});
}

/// Reclaims the slots of this node's youngest batch runs at an upstream: they have the least to lose.
void request_scheduler::implementation::makeRoom(scheduled_upstream &upstream, std::uint32_t excess)
{
    while (excess > 0 && upstream.batch > 0) {
        granted_run *youngest = nullptr;
        for (auto &[id, run] : m_runs) {
            const bool eligible = run.upstream == upstream.info.id && run.request.workClass == work_class::Batch && !run.reclaimed;
            if (eligible && (youngest == nullptr || run.grantedAt > youngest->grantedAt)) {
                youngest = &run;
            }
        }
        if (youngest == nullptr) {
            return;
        }
        youngest->reclaimed = true;
        --upstream.batch;
        --excess;
        m_actions.push_back(slot_reclaimed{.request = youngest->request.id});
    }
}

/// Gives slots back where all nodes together have more work than an upstream has slots. The node with the most batch work
/// there yields, so that not all do.
void request_scheduler::implementation::yieldToOthers(service_state &service)
{
    for (auto &[id, upstream] : service.upstreams) {
        const std::uint32_t total = workAt(upstream).all();
        if (upstream.batch == 0 || total <= upstream.info.slots) {
            continue;
        }
        const load_board::batch_holder other = m_board.largestBatch(upstream.key);
        const bool isFirst = upstream.batch > other.batch || (upstream.batch == other.batch && m_options.self < other.node);
        if (isFirst) {
            makeRoom(upstream, total - upstream.info.slots);
        }
    }
}

void request_scheduler::implementation::startWaiting(service_state &service, time_point now)
{
    m_decidedAt = now;
    startOnline(service, now);
    startBatch(service, now);
}

void request_scheduler::implementation::startOnline(service_state &service, time_point now)
{
    for (auto entry = service.online.begin(); entry != service.online.end();) {
        const slot_request request = entry->second;
        scheduled_upstream *const upstream = chooseOnline(service, request, now);
        if (upstream != nullptr) {
            entry = service.online.erase(entry);
            grant(service, request, *upstream, now);
        } else if (now > latestStart(service, request) && (!request.begun || now >= request.deadline)) {
            entry = service.online.erase(entry);
            refuse(request, end_reason::DeadlineUnreachable, jittered(2 * expectedWait(service, now)));
        } else {
            ++entry;
        }
    }
}

void request_scheduler::implementation::startBatch(service_state &service, time_point now)
{
    while (!service.batch.empty() && service.online.empty()) {
        const slot_request request = service.batch.begin()->second;
        scheduled_upstream *const upstream = chooseBatch(service, request, now);
        if (upstream == nullptr) {
            return;
        }
        service.batch.erase(service.batch.begin());
        grant(service, request, *upstream, now);
    }
}

void request_scheduler::implementation::firstByte(const request_id &request, std::optional<duration> measured, time_point now)
{
    const auto entry = m_runs.find(request);
    if (entry == m_runs.end() || entry->second.firstByteSeen) {
        return;
    }
    granted_run &run = entry->second;
    run.firstByteSeen = true;
    service_state &service = serviceOf(run.request.service);
    const duration taken = measured.value_or(now - run.grantedAt);
    service.outliers.observed(run.upstream, latency_kind::FirstToken, taken, now);
    average(service.firstByteSeconds, toSeconds(taken));
    const auto upstream = service.upstreams.find(run.upstream);
    if (upstream != service.upstreams.end()) {
        double &own = upstream->second.firstByteSeconds;
        own = own > 0 ? own + averageStep * (toSeconds(taken) - own) : toSeconds(taken);
        upstream->second.troubledAt = run.overdue ? upstream->second.troubledAt : std::nullopt;
    }
}

void request_scheduler::implementation::learn(service_state &service,
                                              scheduled_upstream &upstream,
                                              const granted_run &run,
                                              const attempt_result &result,
                                              time_point now)
{
    switch (result.outcome) {
    case attempt_outcome::Succeeded:
    case attempt_outcome::Answered:
        if (run.request.workClass == work_class::Online) {
            average(service.runSeconds, toSeconds(now - run.grantedAt));
        }
        return;
    case attempt_outcome::Refused:
    case attempt_outcome::Cancelled:
        return;
    case attempt_outcome::NotSent:
    case attempt_outcome::Failed:
    case attempt_outcome::Lost:
    case attempt_outcome::TimedOut:
        service.outliers.failed(run.upstream, result.outcome, now);
        upstream.troubledAt = now;
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
    service_state &service = serviceOf(run.request.service);
    const auto found = service.upstreams.find(run.upstream);
    if (found != service.upstreams.end()) {
        scheduled_upstream &upstream = found->second;
        if (run.request.workClass == work_class::Online) {
            --upstream.online;
        } else if (!run.reclaimed) {
            --upstream.batch;
        }
        learn(service, upstream, run, result, now);
        if (!upstream.registered && upstream.online + upstream.batch == 0) {
            service.upstreams.erase(found);
        }
    }
    startWaiting(service, now);
    return takeActions();
}

slot_actions request_scheduler::implementation::loadChanged(time_point now)
{
    for (auto &[name, service] : m_services) {
        yieldToOthers(service);
        startWaiting(service, now);
    }
    return takeActions();
}

slot_actions request_scheduler::implementation::tick(time_point now)
{
    for (auto &[id, run] : m_runs) {
        service_state &service = serviceOf(run.request.service);
        const auto upstream = service.upstreams.find(run.upstream);
        const bool due = !run.firstByteSeen && !run.overdue && now >= run.grantedAt + overdueAfter(run.request.service);
        if (due && upstream != service.upstreams.end()) {
            run.overdue = true;
            service.outliers.overdue(run.upstream, now);
            upstream->second.troubledAt = now;
        }
    }
    for (auto &[name, service] : m_services) {
        startWaiting(service, now);
    }
    return takeActions();
}

std::optional<time_point> request_scheduler::implementation::nextWakeUp() const
{
    std::optional<time_point> next;
    const auto consider = [&](time_point candidate) {
        next = next ? std::min(*next, candidate) : candidate;
    };
    for (const auto &[id, run] : m_runs) {
        if (!run.firstByteSeen && !run.overdue) {
            consider(run.grantedAt + overdueAfter(run.request.service));
        }
    }
    for (const auto &[name, service] : m_services) {
        for (const auto &[key, request] : service.online) {
            consider(request.begun ? request.deadline : latestStart(service, request) + duration(1));
        }
        const std::optional<time_point> upstreamReturn = service.outliers.nextReturn(m_decidedAt);
        if (upstreamReturn && !(service.online.empty() && service.batch.empty())) {
            consider(*upstreamReturn);
        }
    }
    return next;
}

duration request_scheduler::implementation::overdueAfter(const service_name &service) const
{
    const auto entry = m_services.find(service);
    const std::optional<duration> slow =
        entry == m_services.end() ? std::nullopt : entry->second.outliers.slowAfter(latency_kind::FirstToken);
    return std::min(slow.value_or(unknownOverdueAfter), longestOverdueAfter);
}

std::map<upstream_key, upstream_usage> request_scheduler::implementation::usage(time_point now) const
{
    std::map<upstream_key, upstream_usage> result;
    for (const auto &[name, service] : m_services) {
        for (const auto &[id, upstream] : service.upstreams) {
            const bool troubled = (upstream.troubledAt && now - *upstream.troubledAt < troubleMemory)
                                  || service.outliers.conditionOf(id, now) != upstream_condition::Good;
            if (upstream.online + upstream.batch > 0 || troubled) {
                result[upstream.key] = {.online = upstream.online, .batch = upstream.batch, .troubled = troubled};
            }
        }
    }
    return result;
}

std::uint32_t request_scheduler::implementation::waiting(work_class value) const
{
    std::size_t count = 0;
    for (const auto &[name, service] : m_services) {
        count += value == work_class::Online ? service.online.size() : service.batch.size();
    }
    return static_cast<std::uint32_t>(count);
}

/// Spread over as much time again, so that clients that were refused together do not come back together.
duration request_scheduler::implementation::jittered(duration value)
{
    const duration base = std::clamp(value, shortestRetryAfter, longestRetryAfter);
    return base + duration(std::uniform_int_distribution<duration::rep>(0, base.count())(m_generator));
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

slot_actions request_scheduler::submit(const slot_request &request, time_point now)
{
    return m_implementation->submit(request, now);
}

void request_scheduler::withdraw(const request_id &request)
{
    m_implementation->withdraw(request);
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

std::map<upstream_key, upstream_usage> request_scheduler::usage(time_point now) const
{
    return m_implementation->usage(now);
}

std::uint32_t request_scheduler::waitingOnline() const
{
    return m_implementation->waiting(work_class::Online);
}

std::uint32_t request_scheduler::waitingBatch() const
{
    return m_implementation->waiting(work_class::Batch);
}

} // namespace banyan
