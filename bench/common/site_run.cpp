#include "site_run.h"

#include "engine_model.h"
#include "event_loop.h"

#include "banyan/core/serving/cell_choice.h"
#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/request_scheduler.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numeric>
#include <random>

namespace banyan::bench {

namespace {

using namespace std::chrono_literals;

constexpr duration loadMemory = 1500ms;
constexpr std::uint32_t engineQueue = 24; ///< Runs that wait inside an upstream before it rejects others.
constexpr double longestTokens = 1.6; ///< Times the mean.
constexpr double promisedWaitShare = 1.0 / 3; ///< Of the time left: a client comes back no later than that.
constexpr duration promptRefusal = 75ms; ///< A quarter of the streams' target: a refusal by then counts as prompt.
constexpr duration retryDelay = 2ms; ///< From an attempt that found its upstream full, or was lost, to the next one.
constexpr std::uint32_t attemptsOfClients = 2;
constexpr std::uint32_t runsOfAttempt = 2; ///< That may be lost.
constexpr std::size_t upstreamsOfAttempt = 4; ///< That are tried.

/// A client's request, over its attempts.
struct client_work
{
    std::size_t kind = 0;
    std::size_t caller = 0;
    time_point begun;
    time_point attemptAt; ///< Arrival of the client's present attempt.
    engine_job job;
    std::uint32_t attempts = 0;
    bool promptlyRefused = false;
    std::uint32_t runsLost = 0; ///< Of the present attempt, like those tried.
    std::vector<upstream_id> tried;
};

/// An item of a batch job.
struct item_work
{
    std::size_t caller = 0;
    time_point due;
    double tokensLeft = 0;
    duration ran{};
};

/// An upstream and what it runs.
struct simulated_upstream
{
    replica info;
    std::unique_ptr<engine_model> engine;
    double speed = 1;
    double noise = 1;
    std::uint32_t inside = 0;
    bool isListed = true;
};

/// A run that wants a slot or has one.
struct simulated_run
{
    slot_request request;
    std::size_t placer = 0;
    std::size_t node = 0;
    bool batch = false;
    std::uint64_t work = 0; ///< Key of the client's request or the item.
    std::optional<std::size_t> upstream;
    std::uint64_t engineKey = 0;
    time_point startedAt;
};

class site_simulation
{
public:
    site_simulation(const site_model &site, const site_run_options &options);

    site_result run();

private:
    struct placer
    {
        load_board board{loadMemory};
        std::unique_ptr<request_scheduler> scheduler;
        std::uint64_t sequence = 0;
        std::optional<time_point> tickAt;
    };

    void makeUpstreams();
    void makePlacers();
    void scheduleArrival(std::size_t kind);
    void scheduleJob();
    void scheduleNoise(std::size_t service);
    void scheduleReports();
    void scheduleWindows();
    void scheduleCrash();
    [[nodiscard]] double sizeDrawn(double spread);
    void setKnownUpstreams();
    [[nodiscard]] std::vector<double> callerRates(std::size_t kind, time_point when) const;
    [[nodiscard]] double highestFactor(std::size_t kind) const;
    void arrive(std::size_t kind);
    void attempt(std::uint64_t workKey);
    void submitAttempt(std::uint64_t workKey);
    void submitItem(std::uint64_t itemKey);
    void submitRun(simulated_run run);
    [[nodiscard]] upstream_cell cellFor(std::size_t service, work_class workClass);
    void scheduleUsage();
    [[nodiscard]] std::size_t placerOf(std::size_t service, const upstream_cell &cell, std::size_t node) const;
    void perform(std::size_t placerIndex, const slot_actions &actions);
    void granted(const slot_granted &action);
    [[nodiscard]] bool isPlacedDirectly() const;
    void placeDirectly(const request_id &id);
    void refused(const slot_rejected &action);
    void reclaimed(const slot_reclaimed &action);
    void tick(std::size_t placerIndex);
    void startAt(const request_id &id, std::size_t upstreamIndex);
    void firstByte(const request_id &id);
    void ended(const request_id &id, attempt_outcome outcome);
    void release(const simulated_run &run, attempt_outcome outcome);
    void clientAnswered(std::uint64_t workKey);
    void clientRefused(std::uint64_t workKey, duration retryAfter, bool prompt);
    void credit(const client_work &work, double value);
    [[nodiscard]] bool counts(time_point begun) const
    {
        return begun >= time_point(m_options.warmUp) && begun < time_point(m_options.length);
    }
    window_result &windowOf(time_point when);

    site_model m_site;
    site_run_options m_options;
    event_loop m_loop;
    std::mt19937_64 m_arrivals;
    std::mt19937_64 m_choices;
    std::mt19937_64 m_noise;
    std::vector<simulated_upstream> m_upstreams;
    std::map<upstream_id, std::size_t> m_upstreamIndex;
    std::vector<std::vector<std::size_t>> m_ofService;
    std::vector<std::uint32_t> m_cells; ///< Of each service.
    std::vector<std::unique_ptr<placer>> m_placers;
    std::map<std::pair<std::size_t, std::uint32_t>, std::size_t> m_cellPlacer;
    std::map<upstream_key, upstream_usage> m_reportedUsage; ///< As all nodes know it, with central scheduling.
    std::map<request_id, simulated_run> m_runs;
    std::map<std::uint64_t, client_work> m_clients;
    std::map<std::uint64_t, item_work> m_items;
    std::uint64_t m_lastWork = 0;
    std::uint64_t m_lastRun = 0;
    site_result m_result;
    std::vector<double> m_windowWorth;
    double m_worth = 0;
    double m_earned = 0;
    double m_burstWorth = 0;
    double m_burstEarned = 0;
    std::vector<double> m_classEarned;
    double m_itemSeconds = 0; ///< Sum over the items that have ended.
    std::uint64_t m_itemsEnded = 0;
    std::vector<double> m_firstBytes; ///< Of the counted streams, in seconds.
};

duration seconds(double value)
{
    return duration(static_cast<std::int64_t>(value * 1e6));
}

/// All requests of a kind state the same bound, whatever they turn out to need.
request_size statedSize(double firstByteSteps, double tokens)
{
    return {.promptTokens = static_cast<std::uint32_t>(firstByteSteps), .maximumOutputTokens = static_cast<std::uint32_t>(2 * tokens)};
}

site_simulation::site_simulation(const site_model &site, const site_run_options &options)
    : m_site(site)
    , m_options(options)
    , m_arrivals(options.seed)
    , m_choices(options.seed + 1)
    , m_noise(options.seed + 2)
    , m_classEarned(site.classes.size())
{
    makeUpstreams();
    makePlacers();
    for (class_model &kind : m_site.classes) {
        kind.rate *= options.load;
        m_result.classes.push_back({.name = kind.name});
    }
    m_result.callers.resize(std::max<std::size_t>(1, site.callers.size()));
    if (m_site.jobs) {
        m_site.jobs->rate *= options.load;
    }
}

void site_simulation::makeUpstreams()
{
    for (const service_model &service : m_site.services) {
        m_ofService.emplace_back();
        m_cells.push_back(cellCountFor(service.upstreams));
        for (std::size_t index = 0; index < service.upstreams; ++index) {
            simulated_upstream upstream;
            upstream.info = {.id = upstream_id(service.name + "-" + std::to_string(index)),
                             .service = service_name(service.name),
                             .domain = failure_domain("d"),
                             .slots = service.slots};
            upstream.speed = service.speeds[index % service.speeds.size()];
            upstream.engine = std::make_unique<engine_model>(m_loop,
                                                             engine_options{.stepTime = service.stepTime,
                                                                            .saturation = 1000,
                                                                            .prefillLoad = 1,
                                                                            .maximumRunning = service.slots,
                                                                            .cachedPrefixes = 0});
            m_upstreamIndex.emplace(upstream.info.id, m_upstreams.size());
            m_ofService.back().push_back(m_upstreams.size());
            m_upstreams.push_back(std::move(upstream));
        }
    }
}

void site_simulation::makePlacers()
{
    std::size_t count = m_site.nodes;
    if (m_options.way == placing_way::Claims) {
        count = 0;
        for (std::size_t service = 0; service < m_site.services.size(); ++service) {
            for (std::uint32_t cell = 0; cell < m_cells[service]; ++cell) {
                m_cellPlacer[{service, cell}] = count++;
            }
        }
    }
    for (std::size_t index = 0; index < count; ++index) {
        m_placers.push_back(std::make_unique<placer>());
        placer &made = *m_placers.back();
        made.scheduler = std::make_unique<request_scheduler>(request_scheduler_options{.self = node_id("n" + std::to_string(index)),
                                                                                       .placement = m_options.placement,
                                                                                       .seed = m_options.seed + index},
                                                             made.board);
    }
    setKnownUpstreams();
}

site_result site_simulation::run()
{
    for (std::size_t kind = 0; kind < m_site.classes.size(); ++kind) {
        scheduleArrival(kind);
    }
    if (m_site.jobs) {
        scheduleJob();
    }
    for (std::size_t service = 0; service < m_site.services.size(); ++service) {
        scheduleNoise(service);
    }
    if (m_options.way == placing_way::Reports) {
        scheduleReports();
    } else if (m_options.way == placing_way::Claims) {
        scheduleUsage();
    }
    scheduleWindows();
    scheduleCrash();
    const duration after = m_site.jobs ? m_site.jobs->window : 6s;
    m_loop.runUntil(time_point(m_options.length) + after);
    m_result.onlineCredit = m_worth > 0 ? m_earned / m_worth : 0;
    std::sort(m_firstBytes.begin(), m_firstBytes.end());
    const auto quantile = [this](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(m_firstBytes.size()));
        return m_firstBytes.empty() ? 0 : m_firstBytes[std::min(index, m_firstBytes.size() - 1)];
    };
    m_result.firstByteMedian = quantile(0.5);
    m_result.firstByteTail = quantile(0.99);
    m_result.itemSeconds = m_itemsEnded > 0 ? m_itemSeconds / static_cast<double>(m_itemsEnded) : 0;
    m_result.burstCredit = m_burstWorth > 0 ? m_burstEarned / m_burstWorth : 0;
    for (std::size_t kind = 0; kind < m_site.classes.size(); ++kind) {
        class_result &result = m_result.classes[kind];
        result.credit = result.owed > 0 ? m_classEarned[kind] / (static_cast<double>(result.owed) * m_site.classes[kind].worth) : 0;
    }
    for (std::size_t index = 0; index < m_result.windows.size(); ++index) {
        if (m_windowWorth[index] > 0) {
            m_result.windows[index].credit /= m_windowWorth[index];
        }
    }
    return m_result;
}

window_result &site_simulation::windowOf(time_point when)
{
    const auto index = static_cast<std::size_t>(when.time_since_epoch() / m_options.window);
    while (m_result.windows.size() <= index) {
        m_result.windows.push_back({.from = time_point(m_options.window * m_result.windows.size())});
        m_windowWorth.push_back(0);
    }
    return m_result.windows[index];
}

/// The rate of each caller, in units of the kind's mean rate.
std::vector<double> site_simulation::callerRates(std::size_t kind, time_point when) const
{
    std::vector<double> rates = m_site.callers.empty() ? std::vector<double>{1} : m_site.callers;
    for (std::size_t caller = 0; caller < rates.size(); ++caller) {
        for (const load_surge &surge : m_site.surges) {
            rates[caller] *= surge.factorAt(when, kind, caller);
        }
    }
    return rates;
}

/// The highest factor over the mean rate that a kind's arrivals reach.
double site_simulation::highestFactor(std::size_t kind) const
{
    double highest = 1;
    for (const load_surge &surge : m_site.surges) {
        const std::vector<double> rates = callerRates(kind, surge.from);
        highest = std::max(highest, std::accumulate(rates.begin(), rates.end(), 0.0));
    }
    return highest * std::max(m_site.shape.burst, m_site.shape.low);
}

void site_simulation::scheduleArrival(std::size_t kind)
{
    // Thinning: candidates come at the highest rate, and only a share of them is taken while it is lower.
    const double highest = highestFactor(kind);
    std::exponential_distribution<double> gap(m_site.classes[kind].rate * highest);
    const time_point next = m_loop.now() + seconds(gap(m_arrivals));
    if (next >= time_point(m_options.length)) {
        return;
    }
    m_loop.at(next, [this, kind, highest] {
        const std::vector<double> rates = callerRates(kind, m_loop.now());
        const double factor = m_site.shape.factorAt(m_loop.now()) * std::accumulate(rates.begin(), rates.end(), 0.0);
        if (std::uniform_real_distribution<double>()(m_arrivals) * highest < factor) {
            arrive(kind);
        }
        scheduleArrival(kind);
    });
}

void site_simulation::scheduleJob()
{
    const double highest = m_site.jobs->rate * std::max(1.0, m_site.jobs->burst);
    std::exponential_distribution<double> gap(highest);
    const time_point next = m_loop.now() + seconds(gap(m_arrivals));
    if (next >= time_point(m_options.length)) {
        return;
    }
    m_loop.at(next, [this, highest] {
        const bool isThinned =
            m_site.jobs->burst > 1 && std::uniform_real_distribution<double>()(m_arrivals) * highest >= m_site.jobs->rateAt(m_loop.now());
        if (isThinned) {
            scheduleJob();
            return;
        }
        const auto items = std::max<std::int64_t>(
            1, std::lround(std::normal_distribution<double>(m_site.jobs->items, 0.4 * m_site.jobs->items)(m_arrivals)));
        const bool isOwed = counts(m_loop.now());
        const std::vector<double> shares = m_site.callers.empty() ? std::vector<double>{1} : m_site.callers;
        const std::size_t caller = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(m_choices);
        m_result.callers[caller].itemsOwed += isOwed ? static_cast<std::uint64_t>(items) : 0;
        for (std::int64_t item = 0; item < items; ++item) {
            const std::uint64_t key = ++m_lastWork;
            m_items.emplace(key,
                            item_work{.caller = caller,
                                      .due = m_loop.now() + m_site.jobs->window,
                                      .tokensLeft = m_site.jobs->tokens * sizeDrawn(m_site.jobs->tokenSpread)});
            m_result.itemsOwed += isOwed ? 1 : 0;
            submitItem(key);
        }
        scheduleJob();
    });
}

void site_simulation::scheduleNoise(std::size_t service)
{
    const service_model &model = m_site.services[service];
    if (model.slowShare <= 0) {
        return;
    }
    for (const std::size_t index : m_ofService[service]) {
        simulated_upstream &upstream = m_upstreams[index];
        const bool slow = std::uniform_real_distribution<double>()(m_noise) < model.slowShare;
        upstream.noise = slow ? model.slowFactor : 1;
        upstream.engine->setSlowdown(upstream.speed * upstream.noise);
    }
    m_loop.after(model.slowPeriod, [this, service] {
        scheduleNoise(service);
    });
}

void site_simulation::scheduleReports()
{
    m_loop.after(m_options.reportInterval, [this] {
        for (std::size_t sender = 0; sender < m_placers.size(); ++sender) {
            placer &from = *m_placers[sender];
            const node_load load{.sender = node_id("n" + std::to_string(sender)),
                                 .sequence = ++from.sequence,
                                 .usage = from.scheduler->usage(m_loop.now()),
                                 .waitingOnline = from.scheduler->waitingByService()};
            for (std::size_t receiver = 0; receiver < m_placers.size(); ++receiver) {
                if (receiver != sender) {
                    m_placers[receiver]->board.record(load, m_loop.now());
                }
            }
        }
        for (std::size_t index = 0; index < m_placers.size(); ++index) {
            perform(index, m_placers[index]->scheduler->loadChanged(m_loop.now()));
        }
        scheduleReports();
    });
}

/// Lets all nodes know what the scheduling nodes have at the upstreams.
void site_simulation::scheduleUsage()
{
    m_loop.after(m_options.reportInterval, [this] {
        m_reportedUsage.clear();
        for (const auto &from : m_placers) {
            for (const auto &[key, usage] : from->scheduler->usage(m_loop.now())) {
                upstream_usage &known = m_reportedUsage[key];
                known.online += usage.online;
                known.batch += usage.batch;
                known.degraded = known.degraded || usage.degraded;
            }
        }
        scheduleUsage();
    });
}

void site_simulation::scheduleWindows()
{
    m_loop.after(m_options.window, [this] {
        window_result &window = windowOf(m_loop.now() - duration(1));
        window.waiting = 0;
        for (const auto &made : m_placers) {
            window.waiting += made->scheduler->waitingOnline();
        }
        window.batchRunning = static_cast<std::uint32_t>(std::count_if(m_runs.begin(), m_runs.end(), [](const auto &entry) {
            return entry.second.batch && entry.second.upstream;
        }));
        window.idle = 0;
        for (const std::size_t index : m_ofService.front()) {
            const simulated_upstream &upstream = m_upstreams[index];
            window.idle += upstream.isListed && upstream.inside < upstream.info.slots ? upstream.info.slots - upstream.inside : 0;
        }
        if (m_loop.now() < time_point(m_options.length)) {
            scheduleWindows();
        }
    });
}

void site_simulation::scheduleCrash()
{
    const auto count = static_cast<std::size_t>(m_options.crashShare * static_cast<double>(m_ofService.front().size()));
    if (count == 0) {
        return;
    }
    const time_point at = m_options.crashAt.value_or(time_point(m_options.length / 2));
    m_loop.at(at, [this, count] {
        for (std::size_t index = 0; index < count; ++index) {
            m_upstreams[m_ofService.front()[index]].engine->crash(m_loop.now() + m_options.crashTime);
        }
    });
    if (!m_options.discoveryLag) {
        return;
    }
    for (const bool isLost : {true, false}) {
        m_loop.at(at + *m_options.discoveryLag + (isLost ? duration(0) : m_options.crashTime), [this, count, isLost] {
            for (std::size_t index = 0; index < count; ++index) {
                m_upstreams[m_ofService.front()[index]].isListed = !isLost;
            }
            setKnownUpstreams();
        });
    }
}

/// Passes the listed upstreams to the schedulers.
void site_simulation::setKnownUpstreams()
{
    std::vector<replica> listed;
    for (const simulated_upstream &upstream : m_upstreams) {
        if (upstream.isListed) {
            listed.push_back(upstream.info);
        }
    }
    for (std::size_t index = 0; index < m_placers.size(); ++index) {
        perform(index, m_placers[index]->scheduler->setUpstreams(listed, m_loop.now()));
    }
}

/// A request's size over the mean.
double site_simulation::sizeDrawn(double spread)
{
    return std::clamp(std::normal_distribution<double>(1, spread)(m_arrivals), 0.1, longestTokens);
}

void site_simulation::arrive(std::size_t kind)
{
    const class_model &model = m_site.classes[kind];
    const std::uint64_t key = ++m_lastWork;
    double size = sizeDrawn(model.tokenSpread);
    if (model.longShare > 0 && std::uniform_real_distribution<double>()(m_arrivals) < model.longShare) {
        size *= model.longFactor;
    }
    const std::vector<double> rates = callerRates(kind, m_loop.now());
    const std::size_t caller = std::discrete_distribution<std::size_t>(rates.begin(), rates.end())(m_choices);
    client_work work{.kind = kind, .caller = caller, .begun = m_loop.now()};
    const bool streamed = model.tokens > 0;
    work.job = {.prefillSteps = streamed ? model.firstByteSteps : model.firstByteSteps * size, .tokens = model.tokens * size};
    if (counts(work.begun)) {
        ++m_result.classes[kind].owed;
        ++m_result.callers[caller].owed;
        window_result &window = windowOf(work.begun);
        ++window.owed;
        m_windowWorth[static_cast<std::size_t>(&window - m_result.windows.data())] += model.worth;
        m_worth += model.worth;
        m_burstWorth += m_site.shape.isBurst(work.begun) ? model.worth : 0;
    }
    m_clients.emplace(key, work);
    m_loop.after(m_site.clientDelay, [this, key] {
        attempt(key);
    });
}

/// Begins an attempt of a client.
void site_simulation::attempt(std::uint64_t workKey)
{
    client_work &work = m_clients.at(workKey);
    ++work.attempts;
    work.attemptAt = m_loop.now();
    work.runsLost = 0;
    work.tried.clear();
    submitAttempt(workKey);
}

void site_simulation::submitAttempt(std::uint64_t workKey)
{
    const client_work &work = m_clients.at(workKey);
    const class_model &model = m_site.classes[work.kind];
    simulated_run run{.work = workKey};
    run.request = {.service = service_name(m_site.services[model.service].name),
                   .workClass = work_class::Online,
                   .priority = model.priority,
                   .arrivedAt = work.attemptAt,
                   .target = work.attemptAt + model.target,
                   .deadline = work.begun + model.deadline,
                   .cell = cellFor(model.service, work_class::Online),
                   .repeatable = true,
                   .sentBefore = !work.tried.empty(),
                   .excluded = work.tried,
                   .caller = m_site.callers.empty() ? 0 : work.caller + 1,
                   .size = statedSize(model.firstByteSteps, model.tokens)};
    submitRun(std::move(run));
}

void site_simulation::submitItem(std::uint64_t itemKey)
{
    const item_work &item = m_items.at(itemKey);
    simulated_run run{.batch = true, .work = itemKey};
    run.request = {.service = service_name(m_site.services[m_site.jobs->service].name),
                   .workClass = work_class::Batch,
                   .priority = m_site.jobs->priority,
                   .arrivedAt = m_loop.now(),
                   .target = item.due,
                   .deadline = item.due + 60s,
                   .cell = cellFor(m_site.jobs->service, work_class::Batch),
                   .repeatable = true,
                   .earlierRunTime = item.ran,
                   .caller = m_site.callers.empty() ? 0 : item.caller + 1,
                   .size = statedSize(m_site.jobs->firstByteSteps, m_site.jobs->tokens)};
    submitRun(std::move(run));
}

/// The cell for a run, by what the scheduling nodes reported last.
upstream_cell site_simulation::cellFor(std::size_t service, work_class workClass)
{
    const std::uint32_t count = m_cells[service];
    if (m_options.way != placing_way::Claims || count <= 1) {
        return {};
    }
    std::vector<cell_load> loads(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        loads[index].cell = {.index = index, .count = count};
    }
    for (const std::size_t index : m_ofService[service]) {
        const simulated_upstream &upstream = m_upstreams[index];
        const auto reported = m_reportedUsage.find(keyOf(upstream.info.id));
        const upstream_usage usage = reported == m_reportedUsage.end() ? upstream_usage() : reported->second;
        if (upstream.isListed && !usage.degraded) {
            cell_load &load = loads[cellOf(upstream.info.id, count).index];
            load.slots += upstream.info.slots;
            load.online += usage.online;
            load.batch += usage.batch;
        }
    }
    return chooseCell(loads, workClass, m_choices);
}

std::size_t site_simulation::placerOf(std::size_t service, const upstream_cell &cell, std::size_t node) const
{
    return m_options.way == placing_way::Claims ? m_cellPlacer.at({service, cell.index}) : node;
}

void site_simulation::submitRun(simulated_run run)
{
    const std::size_t service = static_cast<std::size_t>(std::find_if(m_site.services.begin(),
                                                                      m_site.services.end(),
                                                                      [&](const service_model &model) {
                                                                          return run.request.service.text() == model.name;
                                                                      })
                                                         - m_site.services.begin());
    run.request.id = request_id("r" + std::to_string(++m_lastRun));
    run.node = std::uniform_int_distribution<std::size_t>(0, m_site.nodes - 1)(m_choices);
    run.placer = placerOf(service, run.request.cell, run.node);
    if (m_options.slowNodeShare > 0) {
        run.request.holder = node_id("n" + std::to_string(run.node));
    }
    const request_id id = run.request.id;
    const bool central = m_options.way == placing_way::Claims;
    m_runs.emplace(id, std::move(run));
    m_loop.after(central ? m_site.nodeDelay : duration(0), [this, id] {
        const simulated_run &submitted = m_runs.at(id);
        if (isPlacedDirectly()) {
            placeDirectly(id);
        } else {
            perform(submitted.placer, m_placers[submitted.placer]->scheduler->submit(submitted.request, m_loop.now()));
        }
    });
}

bool site_simulation::isPlacedDirectly() const
{
    return m_options.way == placing_way::Random || m_options.way == placing_way::Fewest;
}

void site_simulation::placeDirectly(const request_id &id)
{
    const service_name &service = m_runs.at(id).request.service;
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        if (m_upstreams[index].info.service == service) {
            candidates.push_back(index);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), m_choices);
    if (m_options.way == placing_way::Fewest) {
        std::nth_element(candidates.begin(), candidates.begin(), candidates.end(), [this](std::size_t left, std::size_t right) {
            return m_upstreams[left].inside < m_upstreams[right].inside;
        });
    }
    startAt(id, candidates.front());
}

void site_simulation::perform(std::size_t placerIndex, const slot_actions &actions)
{
    for (const slot_action &action : actions) {
        const duration delay = m_options.way == placing_way::Claims ? m_site.nodeDelay : duration(0);
        m_loop.after(delay, [this, action] {
            if (const auto *const grant = std::get_if<slot_granted>(&action)) {
                granted(*grant);
            } else if (const auto *const refusal = std::get_if<slot_rejected>(&action)) {
                refused(*refusal);
            } else if (const auto *const reclaim = std::get_if<slot_reclaimed>(&action)) {
                reclaimed(*reclaim);
            }
        });
    }
    placer &at = *m_placers[placerIndex];
    const std::optional<time_point> next = at.scheduler->nextWakeUp();
    if (next && (!at.tickAt || *next < *at.tickAt)) {
        at.tickAt = next;
        m_loop.at(std::max(*next, m_loop.now()), [this, placerIndex, when = *next] {
            if (m_placers[placerIndex]->tickAt == when) {
                tick(placerIndex);
            }
        });
    }
}

void site_simulation::tick(std::size_t placerIndex)
{
    m_placers[placerIndex]->tickAt.reset();
    perform(placerIndex, m_placers[placerIndex]->scheduler->tick(m_loop.now()));
}

void site_simulation::granted(const slot_granted &action)
{
    const std::size_t index = m_upstreamIndex.at(action.upstream);
    const auto run = m_runs.find(action.request);
    const bool isSlow =
        run != m_runs.end() && static_cast<double>(run->second.node) < m_options.slowNodeShare * static_cast<double>(m_site.nodes);
    m_loop.after(m_site.nodeDelay + (isSlow ? m_options.slowNodeDelay : duration(0)), [this, index, id = action.request] {
        startAt(id, index);
    });
}

void site_simulation::startAt(const request_id &id, std::size_t upstreamIndex)
{
    const auto entry = m_runs.find(id);
    if (entry == m_runs.end()) {
        return;
    }
    simulated_run &run = entry->second;
    simulated_upstream &upstream = m_upstreams[upstreamIndex];
    engine_job job;
    if (!run.batch && !m_clients.contains(run.work)) {
        // The answer of a lost run was on its way already.
        ended(id, attempt_outcome::Cancelled);
        return;
    }
    if (run.batch) {
        const item_work &item = m_items.at(run.work);
        job = {.prefillSteps = m_site.jobs->firstByteSteps, .tokens = item.tokensLeft};
    } else {
        job = m_clients.at(run.work).job;
    }
    run.upstream = upstreamIndex;
    run.startedAt = m_loop.now();
    run.engineKey = ++m_lastRun;
    const bool isFull = upstream.inside >= upstream.info.slots + engineQueue;
    const bool accepted = !isFull
                          && upstream.engine->start(
                              run.engineKey,
                              job,
                              [this, id] {
                                  firstByte(id);
                              },
                              [this, id](engine_model::ending ending) {
                                  ended(id, ending == engine_model::ending::Done ? attempt_outcome::Succeeded : attempt_outcome::Lost);
                              });
    if (accepted) {
        ++upstream.inside;
        return;
    }
    m_result.rejected += isFull ? 1 : 0;
    run.upstream.reset();
    if (!run.batch) {
        m_clients.at(run.work).tried.push_back(upstream.info.id);
    }
    ended(id, isFull ? attempt_outcome::Refused : attempt_outcome::NotSent);
}

void site_simulation::firstByte(const request_id &id)
{
    const simulated_run &run = m_runs.at(id);
    if (!isPlacedDirectly()) {
        m_placers[run.placer]->scheduler->firstByte(id, m_loop.now());
    }
    if (!run.batch) {
        m_loop.after(m_site.nodeDelay + m_site.clientDelay, [this, key = run.work] {
            clientAnswered(key);
        });
    }
}

void site_simulation::ended(const request_id &id, attempt_outcome outcome)
{
    const auto entry = m_runs.extract(id);
    if (entry.empty()) {
        return;
    }
    const simulated_run &run = entry.mapped();
    if (run.upstream) {
        --m_upstreams[*run.upstream].inside;
    }
    release(run, outcome);
    if (run.batch) {
        if (outcome != attempt_outcome::Succeeded) {
            m_loop.after(50ms, [this, key = run.work] {
                submitItem(key);
            });
            return;
        }
        const item_work item = m_items.at(run.work);
        m_items.erase(run.work);
        m_result.itemsDone += m_loop.now() < time_point(m_options.length) ? 1 : 0;
        const bool isOwed = counts(item.due - m_site.jobs->window);
        m_itemSeconds += std::chrono::duration<double>(m_loop.now() - (item.due - m_site.jobs->window)).count();
        ++m_itemsEnded;
        m_result.itemsInTime += isOwed && m_loop.now() <= item.due ? 1 : 0;
        m_result.callers[item.caller].itemsInTime += isOwed && m_loop.now() <= item.due ? 1 : 0;
        return;
    }
    const auto client = m_clients.find(run.work);
    if (outcome != attempt_outcome::Succeeded && client != m_clients.end()) {
        client_work &work = client->second;
        if (outcome == attempt_outcome::Lost) {
            ++work.runsLost;
            work.tried.push_back(m_upstreams[*run.upstream].info.id);
        }
        const bool triesAgain = work.runsLost < runsOfAttempt && work.tried.size() < upstreamsOfAttempt;
        m_loop.after(retryDelay, [this, key = run.work, triesAgain] {
            if (!m_clients.contains(key)) {
                return;
            }
            if (triesAgain) {
                submitAttempt(key);
            } else {
                clientRefused(key, duration(0), false);
            }
        });
    }
}

void site_simulation::release(const simulated_run &run, attempt_outcome outcome)
{
    if (isPlacedDirectly()) {
        return;
    }
    m_loop.after(m_site.nodeDelay, [this, placerIndex = run.placer, id = run.request.id, outcome] {
        perform(placerIndex, m_placers[placerIndex]->scheduler->released(id, {.outcome = outcome}, m_loop.now()));
    });
}

void site_simulation::reclaimed(const slot_reclaimed &action)
{
    const auto entry = m_runs.extract(action.request);
    if (entry.empty()) {
        return;
    }
    const simulated_run &run = entry.mapped();
    ++m_result.reclaimed;
    if (run.upstream) {
        simulated_upstream &upstream = m_upstreams[*run.upstream];
        item_work &item = m_items.at(run.work);
        item.ran += m_loop.now() - run.startedAt;
        item.tokensLeft = std::max(1.0, item.tokensLeft - upstream.engine->tokensOf(run.engineKey));
        upstream.engine->cancel(run.engineKey);
        --upstream.inside;
    }
    release(run, attempt_outcome::Cancelled);
    submitItem(run.work);
}

void site_simulation::refused(const slot_rejected &action)
{
    const auto entry = m_runs.extract(action.request);
    if (entry.empty() || entry.mapped().batch) {
        return;
    }
    const simulated_run &run = entry.mapped();
    const bool prompt = m_loop.now() - run.request.arrivedAt <= promptRefusal;
    m_loop.after(m_site.clientDelay, [this, key = run.work, retryAfter = action.retryAfter, prompt] {
        clientRefused(key, retryAfter, prompt);
    });
}

void site_simulation::credit(const client_work &work, double value)
{
    if (!counts(work.begun)) {
        return;
    }
    m_classEarned[work.kind] += value;
    m_earned += value;
    m_burstEarned += m_site.shape.isBurst(work.begun) ? value : 0;
    windowOf(work.begun).credit += value;
}

void site_simulation::clientAnswered(std::uint64_t workKey)
{
    const auto entry = m_clients.extract(workKey);
    if (entry.empty()) {
        return;
    }
    const client_work &work = entry.mapped();
    const class_model &model = m_site.classes[work.kind];
    class_result &result = m_result.classes[work.kind];
    const bool isCounted = counts(work.begun);
    const duration taken = m_loop.now() - work.begun;
    const bool isPrompt = m_loop.now() - work.attemptAt <= model.target;
    if (model.service == 0) {
        window_result &window = windowOf(m_loop.now());
        (isPrompt ? window.onTime : window.late) += 1;
    }
    m_result.callers[work.caller].onTime += isCounted && isPrompt ? 1 : 0;
    if (isCounted && model.tokens > 0) {
        m_firstBytes.push_back(std::chrono::duration<double>(taken).count());
    }
    if (taken <= model.target) {
        result.onTime += isCounted ? 1 : 0;
        credit(work, model.worth);
    } else if (work.promptlyRefused) {
        // The second attempt began when the refusal had said; its own time counts for half of the credit.
        result.onTimeAfterRefusal += isCounted ? 1 : 0;
        credit(work, (model.worth + model.lateWorth) / 2);
    } else {
        result.late += isCounted ? 1 : 0;
        credit(work, model.lateWorth);
    }
}

void site_simulation::clientRefused(std::uint64_t workKey, duration retryAfter, bool prompt)
{
    const auto entry = m_clients.find(workKey);
    if (entry == m_clients.end()) {
        return;
    }
    client_work &work = entry->second;
    if (counts(work.begun)) {
        window_result &window = windowOf(std::min(m_loop.now(), time_point(m_options.length) - duration(1)));
        ++window.refusals;
        window.heldRefusals += prompt ? 0 : 1;
    }
    const duration left = work.begun + m_site.classes[work.kind].deadline - m_loop.now();
    if (work.attempts >= attemptsOfClients || left <= duration(0)) {
        m_result.classes[work.kind].refused += counts(work.begun) ? 1 : 0;
        m_clients.erase(entry);
        return;
    }
    work.promptlyRefused = prompt;
    const duration longest = seconds(std::chrono::duration<double>(left).count() * promisedWaitShare);
    m_loop.after(std::min(retryAfter, longest) + m_site.clientDelay, [this, workKey] {
        if (m_clients.contains(workKey)) {
            attempt(workKey);
        }
    });
}

} // namespace

std::string_view toString(placing_way way)
{
    switch (way) {
    case placing_way::Claims:
        return "claims";
    case placing_way::Reports:
        return "reports";
    case placing_way::Random:
        return "random";
    case placing_way::Fewest:
        return "fewest";
    }
    return "unknown";
}

site_result runSite(const site_model &site, const site_run_options &options)
{
    return site_simulation(site, options).run();
}

} // namespace banyan::bench
