#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/serving/slot_broker.h"
#include "listed_job_implementation.h"

#include <algorithm>
#include <map>
#include <utility>

namespace banyan {

namespace {

constexpr duration reviewInterval = std::chrono::milliseconds(100);
constexpr duration waitReportInterval = std::chrono::seconds(1);
constexpr duration longWait = std::chrono::seconds(5); // From which on a wait is logged.
constexpr duration waitLogInterval = std::chrono::seconds(10);

/// Waiting items of one route or job for one service.
struct wait_summary
{
    std::size_t items = 0;
    const item_wait *oldest = nullptr;
    std::string oldestItem;

    void add(const item_wait &wait, const std::string &item)
    {
        ++items;
        if (oldest == nullptr || wait.since < oldest->since) {
            oldest = &wait;
            oldestItem = item;
        }
    }
};

/// Summaries by the name of a route or job, and the service.
using wait_summaries = std::map<std::pair<std::string, service_name>, wait_summary>;

void addWaits(wait_summaries &summaries, const std::string &name, const running_job &job)
{
    auto last = summaries.end(); // Most items of a job wait for the same service.
    for (std::size_t index = 0; index < job.items.size(); ++index) {
        if (const std::optional<item_wait> &wait = job.states[index].wait) {
            if (last == summaries.end() || last->first.second != wait->service) {
                last = summaries.try_emplace({name, wait->service}).first;
            }
            last->second.add(*wait, job.items[index].id);
        }
    }
}

std::size_t usableCount(const std::vector<const replica *> &upstreams)
{
    return static_cast<std::size_t>(std::count_if(upstreams.begin(), upstreams.end(), [](const replica *upstream) {
        return !upstream->draining;
    }));
}

} // namespace

/// Runs while this node runs jobs.
task<> listed_job_service::implementation::reviewWaitsLoop(self_pointer self)
{
    while (!self->m_running.empty()) {
        co_await self->sleep(reviewInterval);
        self->reviewWaits(currentTime());
    }
    self->reportWaits(currentTime());
    self->m_reviewsWaits = false;
}

void listed_job_service::implementation::reviewWaits(time_point now)
{
    if (now - m_waitsReportedAt >= waitReportInterval) {
        m_waitsReportedAt = now;
        reportWaits(now);
    }
    if (now - m_waitsLoggedAt >= waitLogInterval) {
        m_waitsLoggedAt = now;
        logWaits(now);
    }
}

/// Sets the gauges of waiting items.
void listed_job_service::implementation::reportWaits(time_point now)
{
    wait_summaries summaries;
    for (const auto &[id, job] : m_running) {
        addWaits(summaries, job->entry.route, *job);
    }
    std::set<std::string> gauges;
    const auto set = [&](const std::string &name, double value) {
        m_ports.metrics.set(name, value);
        gauges.insert(name);
    };
    std::size_t unservable = 0;
    for (const auto &[key, summary] : summaries) {
        const std::string prefix = "items_waiting_" + key.first + "_" + key.second.text();
        set(prefix, static_cast<double>(summary.items));
        set(prefix + "_oldest_seconds", std::chrono::duration<double>(now - summary.oldest->since).count());
        unservable += usableCount(m_ports.slots.scheduler().upstreamsOf(key.second)) == 0 ? summary.items : 0;
    }
    m_ports.metrics.set("items_waiting_without_upstream", static_cast<double>(unservable));
    for (const std::string &name : std::exchange(m_waitGauges, gauges)) {
        if (!gauges.contains(name)) {
            m_ports.metrics.set(name, 0);
        }
    }
}

/// Logs for each job with long waits what its items wait for.
void listed_job_service::implementation::logWaits(time_point now)
{
    for (const auto &[id, job] : m_running) {
        wait_summaries summaries;
        addWaits(summaries, id.text(), *job);
        for (const auto &[key, summary] : summaries) {
            if (now - summary.oldest->since < longWait) {
                continue;
            }
            logEvent(log_level::Info,
                     "job_waits",
                     {{"job", id.text()},
                      {"route", job->entry.route},
                      {"service", key.second.text()},
                      {"items", std::to_string(summary.items)},
                      {"oldest_item", summary.oldestItem},
                      {"waited_us", std::to_string((now - summary.oldest->since).count())},
                      {"configuration_version", std::to_string(summary.oldest->configurationVersion)},
                      {"upstreams", std::to_string(usableCount(m_ports.slots.scheduler().upstreamsOf(key.second)))}});
        }
    }
}

} // namespace banyan
