#include "banyan/core/serving/waiting_quota.h"

#include "../seconds.h"
#include "banyan/core/serving/job_directory.h"
#include "banyan/core/serving/job_entry.h"

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

constexpr duration shortestReturn = std::chrono::milliseconds(250); ///< Less is no time for items to finish.
constexpr duration longestReturn = std::chrono::seconds(10); ///< Forecasts beyond it are worth nothing.
constexpr duration unknownReturn = std::chrono::seconds(1); ///< While no item has finished lately.
constexpr double spreadOfReturn = 0.25; ///< Part of the time by which returns are varied.

bool isOpen(const job_entry *entry)
{
    return entry != nullptr && entry->isOpen();
}

/// Tokens that wait: those of the holdings, and of recorded jobs that have none.
std::uint64_t waitingTokens(const std::string &route, const std::vector<quota_holding> &holdings, const job_directory &jobs)
{
    std::uint64_t sum = jobs.openTokens(route);
    for (const quota_holding &holding : holdings) {
        const job_entry *const entry = jobs.find(holding.job);
        sum += holding.tokens;
        sum -= isOpen(entry) ? entry->tokensLeft : 0; // Its job is counted by the holding.
    }
    return sum;
}

} // namespace

waiting_quota::waiting_quota(waiting_quota_options options)
    : m_options(std::move(options))
{
}

waiting_quota::decision waiting_quota::decide(const situation &at, const std::vector<quota_holding> &wanted) const
{
    decision result{.fits = {}, .holdings = stillHeld(at), .waiting = 0};
    result.waiting = waitingTokens(m_options.route, result.holdings, at.jobs);
    for (const quota_holding &job : wanted) {
        const auto held = std::find_if(result.holdings.begin(), result.holdings.end(), [&](const quota_holding &other) {
            return other.job == job.job;
        });
        const job_entry *const entry = at.jobs.find(job.job);
        quota_holding holding = job;
        holding.heldSince = at.storeTime;
        if (held != result.holdings.end()) {
            holding.tokens = held->tokens;
            result.holdings.erase(held);
        } else if (isOpen(entry)) {
            holding.tokens = entry->tokensLeft;
        } else if (result.waiting + job.tokens <= at.limit) {
            result.waiting += job.tokens;
        } else {
            result.fits.push_back(false);
            continue;
        }
        result.fits.push_back(true);
        result.holdings.push_back(std::move(holding));
    }
    trim(result.holdings, at.jobs);
    return result;
}

/// The holdings of jobs that have not ended, with the tokens that their jobs still need. A holding that has gone so long without
/// its job being recorded that it never will be is left out.
std::vector<quota_holding> waiting_quota::stillHeld(const situation &at) const
{
    std::vector<quota_holding> result;
    for (quota_holding holding : at.stored) {
        if (const job_entry *const entry = at.jobs.find(holding.job)) {
            if (entry->isOpen()) {
                holding.tokens = std::min(holding.tokens, entry->tokensLeft);
                result.push_back(std::move(holding));
            }
        } else if (!at.jobsCurrent || at.storeTime - holding.heldSince < m_options.unrecordedLifetime) {
            result.push_back(std::move(holding));
        }
    }
    return result;
}

/// Leaves out the oldest holdings of recorded jobs beyond the row's room: these jobs are counted by their own rows.
void waiting_quota::trim(std::vector<quota_holding> &holdings, const job_directory &jobs) const
{
    std::size_t excess = holdings.size() - std::min(holdings.size(), m_options.maximumHoldings);
    std::erase_if(holdings, [&](const quota_holding &holding) {
        const bool drop = excess > 0 && jobs.find(holding.job) != nullptr;
        excess -= drop ? 1 : 0;
        return drop;
    });
}

void waiting_quota::finished(std::uint64_t tokens, time_point now)
{
    m_finished.emplace_back(now, tokens);
    m_finishedTokens += tokens;
    forgetOld(now);
}

void waiting_quota::forgetOld(time_point now)
{
    while (!m_finished.empty() && now - m_finished.front().first > m_options.rateWindow) {
        m_finishedTokens -= m_finished.front().second;
        m_finished.pop_front();
    }
}

duration
waiting_quota::comeBackAfter(std::uint64_t limit, std::uint64_t waiting, std::uint64_t tokens, time_point now, std::mt19937_64 &generator)
{
    forgetOld(now);
    const double rate = static_cast<double>(m_finishedTokens) / toSeconds(m_options.rateWindow);
    const double excess = static_cast<double>(waiting) + static_cast<double>(tokens) - static_cast<double>(limit);
    const duration forecast = rate > 0 ? fromSeconds(std::min(toSeconds(longestReturn), std::max(0.0, excess) / rate)) : unknownReturn;
    const duration after = std::clamp(forecast, shortestReturn, longestReturn);
    return after + fromSeconds(toSeconds(after) * std::uniform_real_distribution<double>(0, spreadOfReturn)(generator));
}

} // namespace banyan
