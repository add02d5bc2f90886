#pragma once

#include "banyan/core/serving/quota_reservation.h"
#include "banyan/core/serving/waiting_quota.h"
#include "banyan/core/transaction.h"
#include "banyan/io/async_event.h"
#include "banyan/io/serving/table_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace banyan {

class job_directory;
class store_clock;

/// The result of an attempt to reserve tokens.
enum class reservation_state {
    Reserved, ///< The tokens are reserved until the job is complete or ended, or until they are released.
    OverQuota, ///< The tokens do not fit into the quota now.
    Unavailable, ///< The store could not be reached in time. A reservation that was stored nevertheless expires soon.
};

/// The outcome of an attempt to reserve tokens.
struct reservation_outcome
{
    reservation_state state = reservation_state::Unavailable;
    duration retryAfter{}; ///< After what time to try again, if the tokens do not fit.
};

/// The components that a quota_reservations uses; all of them must outlive it.
struct quota_ports
{
    asio::io_context &context;
    table_store store;
    const store_clock &clock; ///< Set by each read of the store.
    const job_directory &jobs;
    std::function<bool()> jobsCurrent; ///< Whether the directory lags behind the store by no more than its usual delay.
    /// Brings the directory up to date, as far as the store allows; jobsCurrent tells. @throws platform_unavailable
    std::function<task<bool>()> refreshJobs;
};

/// Reserves tokens of routes' quotas in the store for jobs that this node is about to accept. Submissions that arrive during a
/// commit are grouped into the next one.
class quota_reservations : public std::enable_shared_from_this<quota_reservations>
{
public:
    explicit quota_reservations(quota_ports ports);

    /// Reserves tokens for a job of @p route, on which at most @p limit tokens may wait. @p wanted.claim must come from newClaim().
    [[nodiscard]] task<reservation_outcome> reserve(std::string route, std::uint64_t limit, quota_reservation wanted);

    /// Releases the tokens of a job that was not recorded. If the store cannot be reached, the reservation expires by itself later.
    void release(const std::string &route, const quota_reservation &held);

    /// Records that items of the route's jobs with @p tokens tokens in total have received their results.
    void recordFinished(const std::string &route, std::uint64_t tokens, time_point now);

    /// Returns a random number that identifies the reservation of one submission.
    [[nodiscard]] std::uint64_t newClaim();

private:
    struct waiting_submission;
    struct route_queue;

    static task<> serveQueue(std::shared_ptr<quota_reservations> self, std::shared_ptr<route_queue> queue);
    task<> runRound(std::shared_ptr<route_queue> queue);
    task<> readReservations(std::shared_ptr<route_queue> queue);
    task<> refresh(std::shared_ptr<route_queue> queue);
    [[nodiscard]] waiting_quota::decision decide(route_queue &queue) const;
    task<bool> storeReservations(std::shared_ptr<route_queue> queue, std::vector<quota_reservation> reservations);
    void answer(route_queue &queue, const waiting_quota::decision &decision);
    void handleFailedRound(route_queue &queue, const std::string &reason, time_point expiryTime);
    route_queue &queueOf(const std::string &route);
    void wake(const std::string &route);
    task<> sleep(duration time);

    quota_ports m_ports;
    std::map<std::string, std::shared_ptr<route_queue>> m_queues;
    std::mt19937_64 m_generator;
};

} // namespace banyan
