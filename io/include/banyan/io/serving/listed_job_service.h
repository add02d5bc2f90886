#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/job_access.h"
#include "banyan/core/serving/job_item.h"
#include "banyan/core/serving/listed_result.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/serving/route_table.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/serving/table_follower.h"
#include "banyan/io/serving/table_store.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

class client_memory;
class node_metrics;
class part_watch;
class report_hubs;
class slot_broker;
class upstream_sender;

/// A job as a client submits it.
struct job_submission
{
    job_id id; ///< Chosen by the client; the same each time it sends the job.
    std::string route; ///< Name of the route that matched the submission.
    std::string host;
    caller_id organisation; ///< Whose key the submission has; empty if there is none.
    std::vector<job_item> items;
};

/// Whether a submitted job was accepted.
enum class job_acceptance {
    Accepted, ///< The job is recorded, by this submission or an earlier one.
    NotAccepted, ///< The job is not recorded, and this submission will not record it later.
    OfOther, ///< Like NotAccepted, because a job of another organisation has this id.
    NoMemory, ///< Like NotAccepted, because this node holds too much for other jobs; another one may accept it.
    OverQuota, ///< Like NotAccepted, because too many tokens wait on the job's route.
    Unknown, ///< The job may be recorded.
};

/// The name of an acceptance in logs.
[[nodiscard]] std::string_view toString(job_acceptance acceptance);

/// The answer to the submission of a job.
struct submission_answer
{
    job_acceptance acceptance = job_acceptance::Unknown;
    duration retryAfter{}; ///< After what time to send the job again, if it was not accepted.

    auto operator<=>(const submission_answer &) const = default;
};

/// Whether the requested object exists.
enum class lookup_state {
    Found,
    Missing, ///< It certainly does not exist.
    Unknown, ///< The store is unavailable.
};

/// The recorded results of a job from a position onwards.
struct job_results
{
    lookup_state state = lookup_state::Unknown;
    std::uint32_t total = 0; ///< Number of items of the job.
    std::vector<listed_result> results;
};

/// The request body of an item.
struct item_lookup
{
    lookup_state state = lookup_state::Unknown;
    std::string body;
};

/// Options of a listed_job_service.
struct listed_job_options
{
    node_id self;
    duration recordLifetime = std::chrono::seconds(240); ///< Since submission; results can be read for the first half of it.
    duration eventTimeout = std::chrono::seconds(5); ///< A run that receives bytes but completes no event for this long is ended.
    duration checkpointInterval = std::chrono::seconds(2); ///< The loss of a node loses about this much work on each item.
};

/// The components that a listed_job_service uses; all of them must outlive the service.
struct listed_job_ports
{
    asio::io_context &context;
    table_store store;
    slot_broker &slots;
    upstream_sender &sender;
    part_watch &parts;
    node_metrics &metrics;
};

/// Accepts jobs, runs their items at upstreams, and lists each result as soon as it is recorded.
///
/// A job is accepted once it is recorded in the store, and a result is listed once it is recorded there, so that both survive
/// the loss of any node. The node that accepted a job runs it; the other nodes follow the table of jobs, take over the jobs of a
/// node that has failed, and answer queries about any job. Every write is conditional on the job's row being unchanged, so that a
/// node whose job was taken over cannot record further results.
class listed_job_service
{
public:
    listed_job_service(const listed_job_ports &ports, const listed_job_options &options);
    ~listed_job_service();

    /// Accepts jobs only while @p memory has room for them; it must outlive the service. To be called before start().
    void limitMemory(client_memory &memory);

    /// Starts following the jobs of all nodes, taking jobs over and removing expired ones.
    void start();

    /// Replaces the routes, which determine how items are run.
    void configure(std::shared_ptr<const route_table> table);

    /// Sets the hubs: the nodes that receive the reports of all others, and therefore detect that the owner of a job has failed.
    void setHubs(const report_hubs &hubs);

    /// Replaces the set of registered nodes.
    void setRegistered(const std::set<node_id> &nodes);

    /// Records that a report of @p node arrived at @p now.
    void recordReport(const node_id &node, time_point now, scheduling_state state = scheduling_state::Ready);

    /// Sets the state of this node, which tells whether it can reach the store.
    void setOwnState(scheduling_state state);

    /// Records a job and starts to run it, if its route's quota permits. Submitting the same job again has no further effect.
    [[nodiscard]] task<submission_answer> accept(job_submission submission);

    /// Returns the results from position @p after onwards; waits up to @p wait for the first of them.
    /// A job that @p access does not allow is Missing here, and in the calls below.
    [[nodiscard]] task<job_results> results(job_id id, std::uint32_t after, duration wait, job_access access = {});

    /// Returns the request body of the item with id @p item.
    [[nodiscard]] task<item_lookup> itemBody(job_id id, std::string item, job_access access = {});

    /// Ends a job: its items without a recorded result need not be run any more.
    [[nodiscard]] task<lookup_state> end(job_id id, job_access access = {});

    /// Releases all jobs together with checkpoints of their items, once the existing results are recorded or @p time is over.
    /// Items in flight are interrupted; the next owner resumes them from their checkpoints.
    [[nodiscard]] task<> handOver(duration time);

    /// Number of jobs that this node runs.
    [[nodiscard]] std::size_t running() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
