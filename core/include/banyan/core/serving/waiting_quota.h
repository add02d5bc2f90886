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
    std::string route; ///< Whose jobs are counted.
    duration unrecordedLifetime = std::chrono::seconds(10); ///< A commit can take effect some seconds after it was sent.
    std::size_t maximumReservations = 1000; ///< That are kept, so that they fit into a row of the store.
    duration rateWindow = std::chrono::seconds(5); ///< Over which finished tokens are averaged.
};

/// Decides which jobs fit into a route's quota of waiting tokens, which all nodes share.
///
/// Load pattern: bursts of jobs at many nodes at once, far beyond what the upstreams finish. The holdings of all jobs lie in one
/// row of the store, which is only written under the condition that it has not changed, so that no two nodes give away the same
/// tokens. Tokens come back without a write: each node leaves out what it knows to be finished from the jobs' own rows. Those
/// may be late, in which case too much is counted, never too little. The present time of a decision is the store's.
class waiting_quota
{
public:
    explicit waiting_quota(waiting_quota_options options);

    /// What a decision is made by.
    struct quota_state
    {
        std::uint64_t limit = 0; ///< Tokens that may wait.
        std::vector<quota_reservation> reservations; ///< The reservations as they are in the store.
        duration storeTime{}; ///< The present time by the store's clock.
        const job_directory &jobs;
        bool jobsCurrent = false; ///< The directory is not behind the store by more than its usual delay.
    };

    /// Which jobs fit, and the holdings that have to be stored before they are accepted.
    struct decision
    {
        std::vector<bool> fits; ///< One for each job that was asked for.
        std::vector<quota_reservation> reservations;
        std::uint64_t waiting = 0; ///< Tokens, with those of the jobs that fit.
    };

    /// Decides on jobs in their order; one that does not fit leaves room for smaller ones after it. A job that is counted already
    /// fits, and the holding becomes that of its latest submission.
    [[nodiscard]] decision decide(const quota_state &state, const std::vector<quota_reservation> &requested) const;

    /// Takes in that items with so many tokens have got their results.
    void recordFinished(std::uint64_t tokens, time_point now);

    /// When a job should be sent again that does not fit since @p waiting tokens wait: when enough will have finished at the
    /// present rate, varied so that refused jobs do not come back together.
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
