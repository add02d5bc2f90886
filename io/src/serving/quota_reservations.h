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

/// How an attempt to set tokens aside has ended.
enum class reservation_state {
    Reserved, ///< They are held for the job until it is complete or ended, or until they are given back.
    OverQuota, ///< They do not fit now.
    Unavailable, ///< The store could not be asked in time. Nothing is held for long.
};

/// The outcome of an attempt to set tokens aside.
struct reservation_outcome
{
    reservation_state state = reservation_state::Unavailable;
    duration retryAfter{}; ///< When to ask again, if they do not fit.
};

/// What a node's reservations work with; all of it must outlive them.
struct quota_ports
{
    asio::io_context &context;
    table_store store;
    const store_clock &clock; ///< Set by the calls of the store.
    const job_directory &jobs;
    std::function<bool()> jobsCurrent; ///< Whether the directory is up to date but for its usual delay.
    std::function<task<>()> refreshJobs; ///< Brings it up to date. @throws platform_unavailable
};

/// Sets tokens of routes' quotas aside in the store for jobs that this node is about to accept. Submissions that arrive while a
/// commit is under way share the next one.
class quota_reservations : public std::enable_shared_from_this<quota_reservations>
{
public:
    explicit quota_reservations(quota_ports ports);

    /// Sets tokens aside for a job of @p route, of which @p limit may wait. @p wanted.claim has to be new.
    [[nodiscard]] task<reservation_outcome> reserve(std::string route, std::uint64_t limit, quota_reservation wanted);

    /// Gives tokens back for a job that was not recorded. If the store cannot be reached, they come back by themselves later.
    void release(const std::string &route, const quota_reservation &held);

    /// Takes in that items of a route's jobs with so many tokens have got their results.
    void recordFinished(const std::string &route, std::uint64_t tokens, time_point now);

    /// A number for a holding that no other submission has.
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
