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
constexpr std::size_t withdrawalsPerReview = 200; // As many claims as the items of one job make at once.
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
            if (last == summaries.end() || last->first.second != wait->terms.service) {
                last = summaries.try_emplace({name, wait->terms.service}).first;
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

bool isWaitOver(const item_state &state, time_point now)
{
    return now >= state.progress->waitEndsAt(state.wait->since);
}

} // namespace

/// Runs while this node runs jobs.
task<> listed_job_service::implementation::reviewWaitsLoop(self_pointer self)
{
    while (!self->m_running.empty()) {
        co_await self->sleep(reviewInterval);
        self->reviewWaits(currentTime());
    }
    self->m_waitsToReview.clear(); // It holds the jobs.
    self->reportWaits(currentTime());
    self->m_reviewsWaits = false;
}

void listed_job_service::implementation::reviewWaits(time_point now)
{
    endOutdatedWaits(now);
    if (now - m_waitsReportedAt >= waitReportInterval) {
        m_waitsReportedAt = now;
        reportWaits(now);
    }
    if (now - m_waitsLoggedAt >= waitLogInterval) {
        m_waitsLoggedAt = now;
        logWaits(now);
    }
}

/// Withdraws the claims that wait under terms that no longer hold, so that their items claim anew or are given up. They all are looked
/// at after a change of the configuration or of the upstreams, and those of expired jobs each second.
void listed_job_service::implementation::endOutdatedWaits(time_point now)
{
    const service_availability &availability = m_ports.slots.scheduler().availability();
    const bool haveTermsChanged = m_table != m_reviewedTable || availability != m_reviewedAvailability;
    const bool isExpiryDue = now - m_waitsReportedAt >= waitReportInterval;
    if (haveTermsChanged || (isExpiryDue && m_waitsToReview.empty())) {
        m_reviewedTable = m_table;
        m_reviewedAvailability = availability;
        m_waitsToReview.clear();
        for (const auto &[id, job] : m_running) {
            for (std::size_t index = 0; index < job->items.size(); ++index) {
                if (job->states[index].isClaiming && (haveTermsChanged || isWaitOver(job->states[index], now))) {
                    m_waitsToReview.push_back({.job = job, .index = index});
                }
            }
        }
    }
    std::size_t withdrawn = 0;
    while (!m_waitsToReview.empty() && withdrawn < withdrawalsPerReview) {
        const reviewed_item next = m_waitsToReview.front();
        m_waitsToReview.pop_front();
        item_state &state = next.job->states[next.index];
        if (state.isClaiming && !next.job->stopped && isOutdated(*next.job, next.index, now)) {
            ++withdrawn;
            logItemWait("item_claim_withdrawn", *next.job, next.index, now);
            m_ports.metrics.count("item_claim_withdrawn");
            state.stopSignal.stop();
        }
    }
}

/// Whether a claim that waits has to be made anew or given up.
bool listed_job_service::implementation::isOutdated(const running_job &job, std::size_t index, time_point now) const
{
    const item_state &state = job.states[index];
    const route *const jobRoute = m_table ? m_table->findByName(job.entry.route) : nullptr;
    if (jobRoute == nullptr) {
        return m_table != nullptr; // The route was removed.
    }
    return isWaitOver(state, now) || termsOf(job, index, *jobRoute) != state.wait->terms;
}

claim_terms listed_job_service::implementation::termsOf(const running_job &job, std::size_t index, const route &jobRoute) const
{
    const std::optional<item_progress> &progress = job.states[index].progress;
    return claimTermsFor({.job = job.entry,
                          .jobRoute = jobRoute,
                          .item = request_id(job.items[index].id),
                          .priority = priorityOf(job.entry, jobRoute),
                          .output = progress && progress->hasOutput() ? progress->origin() : stream_origin()},
                         m_ports.slots.scheduler().availability());
}

void listed_job_service::implementation::logItemWait(std::string_view event, const running_job &job, std::size_t index, time_point now)
{
    const item_wait &wait = *job.states[index].wait;
    logEvent(log_level::Info,
             event,
             {{"job", job.entry.id.text()},
              {"item", job.items[index].id},
              {"service", wait.terms.service.text()},
              {"waited_us", std::to_string((now - wait.since).count())},
              {"configuration_version", std::to_string(wait.configurationVersion)}});
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
