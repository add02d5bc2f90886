#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/job_coordinator_options.h"
#include "banyan/core/job_record.h"
#include "banyan/core/job_summary.h"
#include "banyan/core/node_info.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/file_service.h"
#include "banyan/io/item_request_builder.h"
#include "banyan/io/request_runner.h"
#include "banyan/io/store_port.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// Options of a job_service.
struct job_service_options
{
    job_coordinator_options coordinator;
    std::size_t maximumJobs = 32; ///< That this node coordinates at once; others wait for a free node.
    std::uint32_t maximumItems = 1'000'000; ///< Of one job.
    duration retention = std::chrono::hours(24 * 30); ///< After which a job and its results may be removed.
    duration leaseDuration = std::chrono::seconds(6); ///< After which the jobs of a node that is gone are taken over.
    duration scanInterval = std::chrono::seconds(2); ///< Between looks for jobs without a living coordinator.
    duration straySearchInterval = std::chrono::seconds(30); ///< Between looks into an index shard that is not this node's.
    double cancelReadsPerSecond = 100; ///< Of the whole fleet, for polling for cancels; sets each node's interval.
    duration retryAfter = std::chrono::seconds(5); ///< Told to callers while the store does not answer.
    std::uint64_t seed = 0; ///< For jitter and for ids; 0 takes a random one.
};

/// What a job_service needs from the rest of the process.
struct job_service_hooks
{
    request_runner run;
    item_request_builder buildRequest;
    node_info self;
    std::function<std::vector<node_info>()> nodes; ///< The live view, with this node; a hint.
    std::function<void(const std::string &lease, const job_id &job)>
        pushCancel; ///< Tells the lease's holder that a cancel is committed; may be empty.
};

/// What a caller asks for when creating a job.
struct job_request
{
    file_id inputFile;
    std::string endpoint;
    std::string completionWindow = "24h"; ///< A number and "s", "m", "h" or "d".
    std::string metadata; ///< JSON object, or empty.
    std::string idempotencyKey; ///< Empty: none; then equal content, endpoint and metadata are the same job.
};

/// A page of a caller's jobs, newest first.
struct job_page
{
    std::vector<job_record> jobs;
    bool more = false;
};

/// Batch jobs: accepts them, coordinates those that this node owns, and takes over those whose owner is gone. All
/// functions that answer callers throw openai_error.
class job_service
{
public:
    job_service(asio::io_context &context,
                const store_port &store,
                file_service &files,
                const job_service_hooks &hooks,
                const job_service_options &options);
    ~job_service();

    /// Begins to look for work.
    void start();

    /// Planned stop: takes on no more jobs, commits what is finished, gives the jobs back so that other nodes take them
    /// at once. Ends when all are given back or @p limit is over.
    [[nodiscard]] task<> drain(duration limit);

    /// Ends all activity without giving anything back. For the process's end.
    void stop();

    /// Accepts a job; acknowledged only after its commit. A resent job is the job that was accepted before; a key that
    /// is used again with other content is refused with 422.
    [[nodiscard]] task<job_record> create(caller_id caller, job_request request);

    /// A caller's job; 404 for another's.
    [[nodiscard]] task<job_record> show(caller_id caller, job_id job);

    /// Jobs of a caller after @p after (exclusive; empty: from the newest).
    [[nodiscard]] task<job_page> list(caller_id caller, job_id after, std::size_t limit);

    /// Commits the cancel and stops the job everywhere; 503 if that cannot be recorded. Of a finished job: 409.
    [[nodiscard]] task<job_record> cancel(caller_id caller, job_id job);

    /// A cancel was committed elsewhere, as another node's pushCancel hook says.
    void cancelSeen(const job_id &job);

    /// For operators: any caller's jobs, newest first.
    [[nodiscard]] task<std::vector<job_summary>> listAll(std::optional<caller_id> caller, std::size_t limit);
    [[nodiscard]] task<job_summary> showAny(job_id job);
    [[nodiscard]] task<job_summary> cancelAny(job_id job);

    /// Number of jobs that this node coordinates now.
    [[nodiscard]] std::size_t coordinated() const;

    /// What this node has done so far, for metrics and the bench.
    struct counters
    {
        std::uint64_t itemsStarted = 0;
        std::uint64_t itemsCommitted = 0;
        std::uint64_t commits = 0;
        std::uint64_t takeovers = 0;
        std::uint64_t leasesLost = 0;
    };
    [[nodiscard]] counters count() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
