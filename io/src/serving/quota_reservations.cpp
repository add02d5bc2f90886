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

constexpr duration reservationTimeout = std::chrono::milliseconds(1500); ///< Time for a reservation; the job is recorded after it.
constexpr duration maximumRejectionDataAge = std::chrono::milliseconds(200); ///< No job is rejected based on older data.
constexpr duration conflictDelay = std::chrono::milliseconds(8); ///< About one commit of another node; random up to this after a conflict.
constexpr duration releaseRetryDelay = std::chrono::milliseconds(300); ///< Between attempts to release tokens while no submission waits.
constexpr int maximumReleaseRounds = 4; ///< Maximum number of attempts to release tokens while no submission waits.
const std::string quotaTable = "job_quota";
const std::string reservationsKey = "holdings";

table_key rowOf(const std::string &route)
{
    return {.table = quotaTable, .part = route, .key = reservationsKey};
}

} // namespace

/// A submission that waits for the reservation of its tokens.
struct quota_reservations::waiting_submission
{
    waiting_submission(asio::io_context &context, quota_reservation requested, time_point until)
        : wanted(std::move(requested))
        , deadline(until)
        , done(context)
    {
    }

    quota_reservation wanted;
    time_point deadline;
    std::optional<reservation_outcome> outcome;
    async_event done;
};

/// The quota of a route as last read by this node, and the submissions that wait for it.
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
    std::vector<quota_reservation> released; ///< To be removed from the stored reservations.
    std::vector<quota_reservation> reservations; ///< The stored reservations; valid if isRead.
    row_version version = 0; ///< Version of the row of reservations; 0 if there is none.
    bool isRead = false;
    time_point refreshedAt; ///< When the reservations and the job directory were last brought up to date.
    bool isServed = false; ///< Whether serveQueue() is running for this queue.
    int failedRounds = 0; ///< Number of consecutive failed rounds.
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
        asio::co_spawn(m_ports.context, serveQueue(shared_from_this(), queue), asio::detached);
    }
}

task<reservation_outcome> quota_reservations::reserve(std::string route, std::uint64_t limit, quota_reservation wanted)
{
    auto submission = std::make_shared<waiting_submission>(m_ports.context, std::move(wanted), currentTime() + reservationTimeout);
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

void quota_reservations::recordFinished(const std::string &route, std::uint64_t tokens, time_point now)
{
    queueOf(route).quota.recordFinished(tokens, now);
}

std::uint64_t quota_reservations::newClaim()
{
    return m_generator();
}

/// Runs rounds until no submission waits and no tokens are to be released.
task<> quota_reservations::serveQueue(std::shared_ptr<quota_reservations> self, std::shared_ptr<route_queue> queue)
{
    while (!queue->waiting.empty() || !queue->released.empty()) {
        std::string failure;
        time_point expiryTime = currentTime();
        try {
            co_await self->runRound(queue);
        } catch (const platform_unavailable &error) {
            failure = error.what();
            expiryTime = time_point::max(); // All waiting submissions fail at once.
        } catch (const platform_outcome_unknown &error) {
            // If the commit has taken effect or does so later, the next read shows it or the next commit fails.
            failure = error.what();
        }
        if (!failure.empty()) {
            queue->isRead = false;
            self->handleFailedRound(*queue, failure, expiryTime);
        }
        if (!failure.empty() && (!queue->waiting.empty() || !queue->released.empty())) {
            co_await self->sleep(queue->waiting.empty() ? releaseRetryDelay : conflictDelay);
        }
    }
    queue->isServed = false;
}

/// Decides on all waiting submissions. They keep waiting if the commit fails because another node changed the row first.
task<> quota_reservations::runRound(std::shared_ptr<route_queue> queue)
{
    if (!queue->isRead) {
        co_await readReservations(queue);
    }
    waiting_quota::decision decision = decide(*queue);
    const bool rejectsAny = std::find(decision.fits.begin(), decision.fits.end(), false) != decision.fits.end();
    if (rejectsAny && currentTime() - queue->refreshedAt > maximumRejectionDataAge) {
        co_await refresh(queue);
        decision = decide(*queue);
    }
    // Submissions that arrive during the commit are not part of this decision.
    const std::size_t decided = decision.fits.size();
    const bool needsWrite = !queue->released.empty() || std::find(decision.fits.begin(), decision.fits.end(), true) != decision.fits.end();
    if (needsWrite && !co_await storeReservations(queue, decision.reservations)) {
        queue->isRead = false;
        handleFailedRound(*queue, "other nodes changed the holdings first", currentTime());
        co_await sleep(std::uniform_int_distribution<duration::rep>(0, conflictDelay.count())(m_generator) * duration(1));
        co_return;
    }
    queue->failedRounds = 0;
    answer(*queue, decision);
    queue->waiting.erase(queue->waiting.begin(), queue->waiting.begin() + static_cast<std::ptrdiff_t>(decided));
}

waiting_quota::decision quota_reservations::decide(route_queue &queue) const
{
    std::vector<quota_reservation> stored = queue.reservations;
    std::erase_if(stored, [&](const quota_reservation &held) {
        return std::any_of(queue.released.begin(), queue.released.end(), [&](const quota_reservation &released) {
            return released.job == held.job && released.claim == held.claim;
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

task<> quota_reservations::readReservations(std::shared_ptr<route_queue> queue)
{
    const table_key row = rowOf(queue->route);
    table_range range{.table = row.table, .part = row.part, .from = row.key, .to = row.key + '\0', .limit = 1};
    const table_page page = co_await m_ports.store.read(std::move(range));
    queue->reservations.clear();
    queue->version = 0;
    if (!page.rows.empty()) {
        std::optional<std::vector<quota_reservation>> stored = decodeQuotaReservations(page.rows.front().value);
        if (!stored) {
            // The tokens of recorded jobs are still counted by the jobs' own rows.
            logEvent(log_level::Warning,
                     "quota_row_malformed",
                     {{"route", queue->route}, {"version", std::to_string(page.rows.front().version)}});
        }
        queue->reservations = stored ? std::move(*stored) : std::vector<quota_reservation>();
        queue->version = page.rows.front().version;
    }
    queue->isRead = true;
}

task<> quota_reservations::refresh(std::shared_ptr<route_queue> queue)
{
    (void)co_await m_ports.refreshJobs();
    co_await readReservations(queue);
    queue->refreshedAt = currentTime();
}

/// Replaces the stored reservations unless another node has changed them; returns whether they were replaced.
task<bool> quota_reservations::storeReservations(std::shared_ptr<route_queue> queue, std::vector<quota_reservation> reservations)
{
    const std::size_t released = queue->released.size();
    table_transaction change;
    change.conditions.push_back({.name = rowOf(queue->route), .version = queue->version});
    change.writes.push_back({.name = rowOf(queue->route), .value = encode(reservations)});
    const table_commit commit = co_await m_ports.store.commit(std::move(change));
    if (!commit.committed) {
        co_return false;
    }
    queue->reservations = std::move(reservations);
    queue->version = commit.version;
    queue->released.erase(queue->released.begin(), queue->released.begin() + static_cast<std::ptrdiff_t>(released));
    co_return true;
}

void quota_reservations::answer(route_queue &queue, const waiting_quota::decision &decision)
{
    const time_point now = currentTime();
    for (std::size_t index = 0; index < decision.fits.size(); ++index) {
        waiting_submission &submission = *queue.waiting[index];
        reservation_outcome outcome{.state = reservation_state::Reserved};
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

/// Fails the submissions whose deadline is not after @p expiryTime, and abandons releases after maximumReleaseRounds failed
/// rounds.
void quota_reservations::handleFailedRound(route_queue &queue, const std::string &reason, time_point expiryTime)
{
    ++queue.failedRounds;
    std::erase_if(queue.waiting, [&](const std::shared_ptr<waiting_submission> &submission) {
        const bool over = submission->deadline <= expiryTime;
        if (over) {
            logEvent(log_level::Warning,
                     "quota_not_reserved",
                     {{"job", submission->wanted.job.text()}, {"route", queue.route}, {"reason", reason}});
            submission->outcome = reservation_outcome{};
            submission->done.notify();
        }
        return over;
    });
    if (queue.waiting.empty() && queue.failedRounds >= maximumReleaseRounds && !queue.released.empty()) {
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
