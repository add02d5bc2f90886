#pragma once

#include "banyan/core/serving/quota_reservation.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace banyan {

class job_directory;

/// Options of a waiting_quota.
struct waiting_quota_options
{
    std::string route; ///< Name of the route whose jobs are counted.
    duration unrecordedLifetime = std::chrono::seconds(10); ///< Of a reservation without a recorded job: a commit can take seconds.
    std::size_t maximumReservations = 1000; ///< Maximum number of stored reservations, so that they fit into one row of the store.
    duration rateWindow = std::chrono::seconds(5); ///< Period over which the rate of finished tokens is averaged.
};

/// Decides which jobs fit into a route's quota of waiting tokens, which all nodes share.
///
/// Load pattern: bursts of jobs at many nodes at once, far beyond what the upstreams finish. The reservations of all jobs are in
/// one row of the store, which is only written on condition that it has not changed, so that no two nodes reserve the same
/// tokens. Tokens are released without a write: each node subtracts what the jobs' own rows show as finished. These rows may
/// arrive late, in which case too many tokens are counted, never too few. Decisions use the time of the store.
class waiting_quota
{
public:
    explicit waiting_quota(waiting_quota_options options);

    /// Input of a decision.
    struct quota_state
    {
        std::uint64_t limit = 0; ///< Maximum number of waiting tokens.
        std::vector<quota_reservation> reservations; ///< The reservations in the store.
        duration storeTime{}; ///< The current time by the clock of the store.
        const job_directory &jobs;
        bool jobsCurrent = false; ///< Whether @p jobs lags behind the store by no more than its usual delay.
    };

    /// Which jobs fit, and the reservations that have to be stored before the jobs are accepted.
    struct decision
    {
        std::vector<bool> fits; ///< One element for each requested job.
        std::vector<quota_reservation> reservations;
        std::uint64_t waiting = 0; ///< Waiting tokens, including those of the jobs that fit.
    };

    /// Decides on the requested jobs in order; a job that does not fit reserves nothing, so that smaller jobs after it may fit. A
    /// job that is already counted fits, and its reservation is replaced by that of its latest submission.
    [[nodiscard]] decision decide(const quota_state &state, const std::vector<quota_reservation> &requested) const;

    /// Records that items with @p tokens tokens in total have received their results.
    void recordFinished(std::uint64_t tokens, time_point now);

    /// After what time a job rejected because @p waiting tokens wait should be submitted again: when enough tokens will have
    /// finished at the current rate, with jitter so that rejected jobs are not all submitted again at once.
    [[nodiscard]] duration
    retryAfter(std::uint64_t limit, std::uint64_t waiting, std::uint64_t tokens, time_point now, std::mt19937_64 &generator);

private:
    [[nodiscard]] std::vector<quota_reservation> activeReservations(const quota_state &state) const;
    void trim(std::vector<quota_reservation> &reservations, const job_directory &jobs) const;
    void dropOldSamples(time_point now);

    waiting_quota_options m_options;
    std::deque<std::pair<time_point, std::uint64_t>> m_finished;
    std::uint64_t m_finishedTokens = 0; ///< Sum over m_finished.
};

} // namespace banyan
