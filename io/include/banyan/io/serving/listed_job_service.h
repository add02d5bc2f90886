#pragma once

#include "banyan/core/identifier.h"
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

class node_metrics;
class report_hubs;
class slot_broker;
class upstream_sender;

/// A job as a client hands it in.
struct job_submission
{
    job_id id; ///< The same for each resend.
    std::string route; ///< Name of the route that it came by.
    std::string host;
    std::vector<job_item> items;
};

/// Whether a job has been taken.
enum class job_acceptance {
    Accepted, ///< It is recorded, now or earlier.
    NotAccepted, ///< It is not recorded, and this sending never will be.
    OverQuota, ///< Like NotAccepted: too many tokens wait on its route.
    Unknown, ///< It may be recorded.
};

/// The word for an acceptance in logs.
[[nodiscard]] std::string_view toString(job_acceptance acceptance);

/// The answer to a job's submission.
struct submission_answer
{
    job_acceptance acceptance = job_acceptance::Unknown;
    duration retryAfter{}; ///< When to send the job again, if it was not taken.

    auto operator<=>(const submission_answer &) const = default;
};

/// Whether something that was asked for exists.
enum class lookup_state {
    Found,
    Missing, ///< For sure.
    Unknown, ///< The store cannot be asked.
};

/// Results of a job from a position on.
struct job_results
{
    lookup_state state = lookup_state::Unknown;
    std::uint32_t total = 0; ///< Items of the job.
    std::vector<listed_result> results;
};

/// The body of an item.
struct item_lookup
{
    lookup_state state = lookup_state::Unknown;
    std::string body;
};

/// Options of a listed_job_service.
struct listed_job_options
{
    node_id self;
    duration recordLifetime = std::chrono::seconds(240); ///< After submission; results can be read for the first half of it.
    duration eventTimeout = std::chrono::seconds(5); ///< A run whose bytes complete no event for so long is ended.
    duration checkpointInterval = std::chrono::seconds(2); ///< A lost node costs so much of the work on each item.
};

/// What a listed_job_service works with; all of it must outlive the service.
struct listed_job_ports
{
    asio::io_context &context;
    table_store store;
    slot_broker &slots;
    upstream_sender &sender;
    node_metrics &metrics;
};

/// Accepts jobs, runs their items at upstreams, and lists results one by one as they come.
///
/// A job is accepted once it is recorded in the store, and a result is listed once it is recorded there, so both outlive
/// every node. The node that accepted a job runs it; the others follow the table of jobs, take over those of a node that
/// has gone, and answer questions about any job. Each record is written under the condition that the job's row has not
/// changed, so that a node that has lost a job cannot list results any more.
class listed_job_service
{
public:
    listed_job_service(const listed_job_ports &ports, const listed_job_options &options);
    ~listed_job_service();

    /// Begins to follow the jobs of all nodes.
    void start();

    /// Replaces the routes, by which items are run.
    void configure(std::shared_ptr<const route_table> table);

    /// Says which nodes hear all others, and so notice that a job's owner has gone.
    void setHubs(const report_hubs &hubs);

    /// Replaces the nodes that are registered.
    void setRegistered(const std::set<node_id> &nodes);

    /// Notes that a node lives.
    void recordReport(const node_id &node, time_point now, scheduling_state state = scheduling_state::Ready);

    /// Notes whether this node has the store.
    void setOwnState(scheduling_state state);

    [[nodiscard]] task<submission_answer> accept(job_submission submission);

    /// Results from position @p after on; waits up to @p wait for the first.
    [[nodiscard]] task<job_results> results(job_id id, std::uint32_t after, duration wait);

    [[nodiscard]] task<item_lookup> itemBody(job_id id, std::string item);

    /// Ends a job: what is not listed yet need not be.
    [[nodiscard]] task<lookup_state> end(job_id id);

    /// Gives all jobs back with how far their items have come, once their results are recorded or @p time is over. Items in
    /// flight are cut: the next owner goes on from there.
    [[nodiscard]] task<> handOver(duration time);

    /// Jobs that this node runs.
    [[nodiscard]] std::size_t running() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
