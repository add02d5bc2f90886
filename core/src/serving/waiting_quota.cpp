#include "banyan/core/serving/waiting_quota.h"

#include "../seconds.h"
#include "banyan/core/serving/job_directory.h"
#include "banyan/core/serving/job_entry.h"

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

constexpr duration minimumRetryAfter = std::chrono::milliseconds(250); ///< In less time hardly any items finish.
constexpr duration maximumRetryAfter = std::chrono::seconds(10); ///< Longer forecasts are not reliable.
constexpr duration defaultRetryAfter = std::chrono::seconds(1); ///< Used while no item has finished within the rate window.
constexpr double retryJitter = 0.25; ///< Maximum jitter, as a fraction of the delay.

bool isOpen(const job_entry *entry)
{
    return entry != nullptr && entry->isOpen();
}

/// Number of waiting tokens: those of the reservations, and of recorded jobs without a reservation.
std::uint64_t waitingTokens(const std::string &route, const std::vector<quota_reservation> &reservations, const job_directory &jobs)
{
    std::uint64_t sum = jobs.openTokens(route);
    for (const quota_reservation &reservation : reservations) {
        const job_entry *const entry = jobs.find(reservation.job);
        sum += reservation.tokens;
        sum -= isOpen(entry) ? entry->tokensLeft : 0; // The job is counted by its reservation.
    }
    return sum;
}

} // namespace

waiting_quota::waiting_quota(waiting_quota_options options)
    : m_options(std::move(options))
{
}

waiting_quota::decision waiting_quota::decide(const quota_state &state, const std::vector<quota_reservation> &requested) const
{
    decision result{.fits = {}, .reservations = activeReservations(state), .waiting = 0};
    result.waiting = waitingTokens(m_options.route, result.reservations, state.jobs);
    for (const quota_reservation &job : requested) {
        const auto existing = std::find_if(result.reservations.begin(), result.reservations.end(), [&](const quota_reservation &other) {
            return other.job == job.job;
        });
        const job_entry *const entry = state.jobs.find(job.job);
        quota_reservation reservation = job;
        reservation.reservedAt = state.storeTime;
        if (existing != result.reservations.end()) {
            reservation.tokens = existing->tokens;
            result.reservations.erase(existing);
        } else if (isOpen(entry)) {
            reservation.tokens = entry->tokensLeft;
        } else if (result.waiting + job.tokens <= state.limit) {
            result.waiting += job.tokens;
        } else {
            result.fits.push_back(false);
            continue;
        }
        result.fits.push_back(true);
        result.reservations.push_back(std::move(reservation));
    }
    trim(result.reservations, state.jobs);
    return result;
}

/// The reservations of jobs that have not ended, with the tokens that these jobs still need. A reservation is dropped if its job
/// has not been recorded within the lifetime after which it never will be.
std::vector<quota_reservation> waiting_quota::activeReservations(const quota_state &state) const
{
    std::vector<quota_reservation> result;
    for (quota_reservation reservation : state.reservations) {
        if (const job_entry *const entry = state.jobs.find(reservation.job)) {
            if (entry->isOpen()) {
                reservation.tokens = std::min(reservation.tokens, entry->tokensLeft);
                result.push_back(std::move(reservation));
            }
        } else if (!state.jobsCurrent || state.storeTime - reservation.reservedAt < m_options.unrecordedLifetime) {
            result.push_back(std::move(reservation));
        }
    }
    return result;
}

/// Removes the oldest reservations of recorded jobs that exceed the limit of the row: these jobs are counted by their own rows.
void waiting_quota::trim(std::vector<quota_reservation> &reservations, const job_directory &jobs) const
{
    std::size_t excess = reservations.size() - std::min(reservations.size(), m_options.maximumReservations);
    std::erase_if(reservations, [&](const quota_reservation &reservation) {
        const bool drop = excess > 0 && jobs.find(reservation.job) != nullptr;
        excess -= drop ? 1 : 0;
        return drop;
    });
}

void waiting_quota::recordFinished(std::uint64_t tokens, time_point now)
{
    m_finished.emplace_back(now, tokens);
    m_finishedTokens += tokens;
    dropOldSamples(now);
}

void waiting_quota::dropOldSamples(time_point now)
{
    while (!m_finished.empty() && now - m_finished.front().first > m_options.rateWindow) {
        m_finishedTokens -= m_finished.front().second;
        m_finished.pop_front();
    }
}

duration
waiting_quota::retryAfter(std::uint64_t limit, std::uint64_t waiting, std::uint64_t tokens, time_point now, std::mt19937_64 &generator)
{
    dropOldSamples(now);
    const double rate = static_cast<double>(m_finishedTokens) / toSeconds(m_options.rateWindow);
    const double excess = static_cast<double>(waiting) + static_cast<double>(tokens) - static_cast<double>(limit);
    const duration forecast =
        rate > 0 ? fromSeconds(std::min(toSeconds(maximumRetryAfter), std::max(0.0, excess) / rate)) : defaultRetryAfter;
    const duration after = std::clamp(forecast, minimumRetryAfter, maximumRetryAfter);
    return after + fromSeconds(toSeconds(after) * std::uniform_real_distribution<double>(0, retryJitter)(generator));
}

} // namespace banyan
