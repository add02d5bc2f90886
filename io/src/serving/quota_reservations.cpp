#include "quota_reservations.h"

#include "banyan/core/serving/job_directory.h"
#include "banyan/core/serving/store_clock.h"
#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/serving/serving_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

constexpr duration submissionTime = std::chrono::milliseconds(1500); ///< For a reservation; the job is recorded after it.
constexpr duration refusalAge = std::chrono::milliseconds(200); ///< No job is refused by knowledge that is older.
constexpr duration conflictPause = std::chrono::milliseconds(8); ///< About one commit of another node; varied up to this.
constexpr duration releaseRetryDelay = std::chrono::milliseconds(300); ///< While nobody waits.
constexpr int roundsWithoutWaiters = 4; ///< Attempts to give tokens back while nobody waits.
const std::string quotaTable = "job_quota";
const std::string holdingsKey = "holdings";

table_key rowOf(const std::string &route)
{
    return {.table = quotaTable, .part = route, .key = holdingsKey};
}

} // namespace

/// A submission that waits for its tokens.
struct quota_reservations::waiting_submission
{
    waiting_submission(asio::io_context &context, quota_reservation holding, time_point until)
        : wanted(std::move(holding))
        , deadline(until)
        , done(context)
    {
    }

    quota_reservation wanted;
    time_point deadline;
    std::optional<reservation> outcome;
    async_event done;
};

/// What this node knows of a route's quota, and who waits for it.
struct quota_reservations::route_queue
{
    explicit route_queue(const std::string &name)
        : route(name)
        , quota({.route = name})
    {
    }

    std::string route;
    waiting_quota quota;
    std::uint64_t limit = 0;
    std::vector<std::shared_ptr<waiting_submission>> waiting;
    std::vector<quota_reservation> released; ///< To be taken out of the stored holdings.
    std::vector<quota_reservation> holdings; ///< As stored, if isRead.
    row_version version = 0;
    bool isRead = false;
    time_point refreshedAt; ///< When holdings and directory were last brought up to date.
    bool isServed = false;
    int failedRounds = 0; ///< In a row.
};

quota_reservations::quota_reservations(quota_ports ports)
    : m_ports(std::move(ports))
    , m_generator(std::random_device{}())
{
}

quota_reservations::route_queue &quota_reservations::queueOf(const std::string &route)
{
    std::shared_ptr<route_queue> &queue = m_queues[route];
    if (!queue) {
        queue = std::make_shared<route_queue>(route);
    }
    return *queue;
}

void quota_reservations::wake(const std::string &route)
{
    const std::shared_ptr<route_queue> queue = m_queues.at(route);
    if (!std::exchange(queue->isServed, true)) {
        asio::co_spawn(m_ports.context, serve(shared_from_this(), queue), asio::detached);
    }
}

task<reservation> quota_reservations::reserve(std::string route, std::uint64_t limit, quota_reservation wanted)
{
    auto submission = std::make_shared<waiting_submission>(m_ports.context, std::move(wanted), currentTime() + submissionTime);
    route_queue &queue = queueOf(route);
    queue.limit = limit;
    queue.waiting.push_back(submission);
    wake(route);
    while (!submission->outcome) {
        co_await submission->done.wait();
    }
    co_return *submission->outcome;
}

void quota_reservations::release(const std::string &route, const quota_reservation &held)
{
    queueOf(route).released.push_back(held);
    wake(route);
}

void quota_reservations::finished(const std::string &route, std::uint64_t tokens, time_point now)
{
    queueOf(route).quota.recordFinished(tokens, now);
}

std::uint64_t quota_reservations::newClaim()
{
    return m_generator();
}

/// Works until nobody waits and nothing is to be given back.
task<> quota_reservations::serve(std::shared_ptr<quota_reservations> self, std::shared_ptr<route_queue> queue)
{
    while (!queue->waiting.empty() || !queue->released.empty()) {
        std::string failure;
        time_point givenUp = currentTime();
        try {
            co_await self->round(queue);
        } catch (const platform_unavailable &error) {
            failure = error.what();
            givenUp = time_point::max(); // Whoever waits is told at once.
        } catch (const platform_outcome_unknown &error) {
            // If the commit has taken effect or does so later, the next reading shows it or the next commit fails.
            failure = error.what();
        }
        if (!failure.empty()) {
            queue->isRead = false;
            self->roundFailed(*queue, failure, givenUp);
        }
        if (!failure.empty() && (!queue->waiting.empty() || !queue->released.empty())) {
            co_await self->sleep(queue->waiting.empty() ? releaseRetryDelay : conflictPause);
        }
    }
    queue->isServed = false;
}

/// Decides on all that wait; a commit that fails since another node was first leaves them waiting.
task<> quota_reservations::round(std::shared_ptr<route_queue> queue)
{
    if (!queue->isRead) {
        co_await readHoldings(queue);
    }
    waiting_quota::decision decision = decide(*queue);
    const bool refuses = std::find(decision.fits.begin(), decision.fits.end(), false) != decision.fits.end();
    if (refuses && currentTime() - queue->refreshedAt > refusalAge) {
        co_await refresh(queue);
        decision = decide(*queue);
    }
    // Submissions that arrive during the commit are not part of the decision.
    const std::size_t decided = decision.fits.size();
    const bool changes = !queue->released.empty() || std::find(decision.fits.begin(), decision.fits.end(), true) != decision.fits.end();
    if (changes && !co_await storeHoldings(queue, decision.reservations)) {
        queue->isRead = false;
        roundFailed(*queue, "other nodes changed the holdings first", currentTime());
        co_await sleep(std::uniform_int_distribution<duration::rep>(0, conflictPause.count())(m_generator) * duration(1));
        co_return;
    }
    queue->failedRounds = 0;
    answer(*queue, decision);
    queue->waiting.erase(queue->waiting.begin(), queue->waiting.begin() + static_cast<std::ptrdiff_t>(decided));
}

waiting_quota::decision quota_reservations::decide(route_queue &queue) const
{
    std::vector<quota_reservation> stored = queue.holdings;
    std::erase_if(stored, [&](const quota_reservation &holding) {
        return std::any_of(queue.released.begin(), queue.released.end(), [&](const quota_reservation &released) {
            return released.job == holding.job && released.claim == holding.claim;
        });
    });
    std::vector<quota_reservation> wanted;
    for (const auto &submission : queue.waiting) {
        wanted.push_back(submission->wanted);
    }
    const waiting_quota::quota_state at{.limit = queue.limit,
                                        .reservations = std::move(stored),
                                        .storeTime = m_ports.clock.toStoreTime(currentTime()),
                                        .jobs = m_ports.jobs,
                                        .jobsCurrent = m_ports.jobsCurrent()};
    return queue.quota.decide(at, wanted);
}

task<> quota_reservations::readHoldings(std::shared_ptr<route_queue> queue)
{
    const table_key row = rowOf(queue->route);
    table_range range{.table = row.table, .part = row.part, .from = row.key, .to = row.key + '\0', .limit = 1};
    const table_page page = co_await m_ports.store.read(std::move(range));
    queue->holdings.clear();
    queue->version = 0;
    if (!page.rows.empty()) {
        std::optional<std::vector<quota_reservation>> stored = decodeQuotaReservations(page.rows.front().value);
        if (!stored) {
            // The jobs' own rows still count.
            logEvent(log_level::Warning,
                     "quota_row_malformed",
                     {{"route", queue->route}, {"version", std::to_string(page.rows.front().version)}});
        }
        queue->holdings = stored ? std::move(*stored) : std::vector<quota_reservation>();
        queue->version = page.rows.front().version;
    }
    queue->isRead = true;
}

task<> quota_reservations::refresh(std::shared_ptr<route_queue> queue)
{
    co_await m_ports.refreshJobs();
    co_await readHoldings(queue);
    queue->refreshedAt = currentTime();
}

/// Replaces the stored holdings unless another node has changed them; returns whether it did.
task<bool> quota_reservations::storeHoldings(std::shared_ptr<route_queue> queue, std::vector<quota_reservation> holdings)
{
    const std::size_t released = queue->released.size();
    table_transaction change;
    change.conditions.push_back({.name = rowOf(queue->route), .version = queue->version});
    change.writes.push_back({.name = rowOf(queue->route), .value = encode(holdings)});
    const table_commit commit = co_await m_ports.store.commit(std::move(change));
    if (!commit.committed) {
        co_return false;
    }
    queue->holdings = std::move(holdings);
    queue->version = commit.version;
    queue->released.erase(queue->released.begin(), queue->released.begin() + static_cast<std::ptrdiff_t>(released));
    co_return true;
}

void quota_reservations::answer(route_queue &queue, const waiting_quota::decision &decision)
{
    const time_point now = currentTime();
    for (std::size_t index = 0; index < decision.fits.size(); ++index) {
        waiting_submission &submission = *queue.waiting[index];
        reservation outcome{.state = reservation_state::Reserved};
        if (!decision.fits[index]) {
            outcome = {.state = reservation_state::OverQuota,
                       .retryAfter = queue.quota.retryAfter(queue.limit, decision.waiting, submission.wanted.tokens, now, m_generator)};
            logEvent(log_level::Info,
                     "job_over_quota",
                     {{"job", submission.wanted.job.text()},
                      {"route", queue.route},
                      {"tokens", std::to_string(submission.wanted.tokens)},
                      {"waiting", std::to_string(decision.waiting)},
                      {"limit", std::to_string(queue.limit)},
                      {"holdings_version", std::to_string(queue.version)},
                      {"age_us", std::to_string((now - queue.refreshedAt).count())},
                      {"retry_after_us", std::to_string(outcome.retryAfter.count())}});
        }
        submission.outcome = outcome;
        submission.done.notify();
    }
}

/// Ends the submissions whose deadline is not after @p givenUp, and what could not be given back for several rounds.
void quota_reservations::roundFailed(route_queue &queue, const std::string &reason, time_point givenUp)
{
    ++queue.failedRounds;
    std::erase_if(queue.waiting, [&](const std::shared_ptr<waiting_submission> &submission) {
        const bool over = submission->deadline <= givenUp;
        if (over) {
            logEvent(log_level::Warning,
                     "quota_not_reserved",
                     {{"job", submission->wanted.job.text()}, {"route", queue.route}, {"reason", reason}});
            submission->outcome = reservation{};
            submission->done.notify();
        }
        return over;
    });
    if (queue.waiting.empty() && queue.failedRounds >= roundsWithoutWaiters && !queue.released.empty()) {
        logEvent(log_level::Warning,
                 "quota_not_released",
                 {{"route", queue.route}, {"jobs", std::to_string(queue.released.size())}, {"reason", reason}});
        queue.released.clear();
        queue.failedRounds = 0;
    }
}

task<> quota_reservations::sleep(duration time)
{
    asio::steady_timer timer(m_ports.context, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace banyan
