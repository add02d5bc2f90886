#pragma once

#include "banyan/core/serving/job_directory.h"
#include "banyan/core/serving/prompt_run.h"
#include "banyan/core/serving/service_availability.h"
#include "banyan/io/clock.h"
#include "banyan/io/serving/listed_job_service.h"
#include "banyan/io/serving/upstream_sender.h"
#include "job_records.h"
#include "quota_reservations.h"
#include "running_job.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace banyan {

struct replica;

/// Implementation of listed_job_service, in five source files: submissions and queries (listed_job_service.cpp), ownership of
/// jobs (job_takeover.cpp), runs of items (item_runs.cpp), their waits for slots (item_waits.cpp), and the recording of results and
/// checkpoints (job_listing.cpp).
class listed_job_service::implementation : public std::enable_shared_from_this<listed_job_service::implementation>
{
public:
    implementation(const listed_job_ports &ports, const listed_job_options &options)
        : m_ports(ports)
        , m_options(options)
        , m_records(ports.store)
        , m_directory({.self = options.self})
        , m_jobsFollower(std::make_shared<table_follower>(
              ports.context,
              m_records.store(),
              table_follower_options{.table = job_records::table(), .parts = job_records::parts(), .pause = tableFollowPause},
              observer()))
        , m_quota(std::make_shared<quota_reservations>(quota_ports{.context = ports.context,
                                                                   .store = m_records.store(),
                                                                   .clock = m_records.clock(),
                                                                   .jobs = m_directory,
                                                                   .jobsCurrent =
                                                                       [follower = m_jobsFollower] {
                                                                           return follower->isCurrent();
                                                                       },
                                                                   .refreshJobs =
                                                                       [follower = m_jobsFollower] {
                                                                           return follower->refresh();
                                                                       }}))
    {
    }

    void start();
    void configure(std::shared_ptr<const route_table> table)
    {
        m_table = std::move(table);
    }
    void setRegistered(const std::set<node_id> &nodes)
    {
        m_directory.setRegistered(nodes);
    }
    void setHubs(const report_hubs &hubs)
    {
        m_directory.setHubs(hubs);
    }
    void recordReport(const node_id &node, time_point now, scheduling_state state)
    {
        m_directory.recordReport(node, now, state);
    }
    void setOwnState(scheduling_state state)
    {
        m_directory.setOwnState(state);
    }
    void limitMemory(client_memory &memory)
    {
        m_memory = &memory;
    }
    task<submission_answer> accept(job_submission submission);
    task<job_results> results(job_id id, std::uint32_t after, duration wait, job_access access);
    task<item_lookup> itemBody(job_id id, std::string item, job_access access);
    task<lookup_state> end(job_id id, job_access access);
    task<> handOver(duration time);
    [[nodiscard]] std::size_t running() const
    {
        return m_running.size();
    }

private:
    static constexpr duration tableFollowPause =
        std::chrono::seconds(1); ///< A job ended through another node is noticed well within three seconds.
    static constexpr duration storeRetryDelay = std::chrono::milliseconds(300); ///< After an operation that failed at the store.

    using job_pointer = std::shared_ptr<running_job>;
    using self_pointer = std::shared_ptr<implementation>;

    table_observer observer();
    void entryChanged(const job_entry &entry);
    [[nodiscard]] static job_acceptance acceptanceOfKnown(const job_submission &submission, const job_entry &known);
    void recordFinishedTokens(const job_entry &entry);
    [[nodiscard]] std::uint64_t quotaOf(const std::string &route) const;
    task<submission_answer> record(job_submission submission, std::uint64_t tokens);
    [[nodiscard]] byte_share shareOfJob() const;
    void startJob(const job_entry &entry,
                  std::vector<job_item> items,
                  std::vector<listed_result> listed,
                  const std::vector<item_checkpoint> &checkpoints);
    void stopJob(const job_pointer &job, std::string_view how);

    static task<> takeOverLoop(self_pointer self);
    task<> startTakeovers();
    static task<> takeOver(self_pointer self, job_entry entry);
    task<std::string> releaseOwnership(job_entry entry, std::vector<item_checkpoint> checkpoints);
    static task<> sweepLoop(self_pointer self);
    static task<> runItem(self_pointer self, job_pointer job, std::size_t index);
    task<item_step>
    runOnce(job_pointer job, std::size_t index, const route &jobRoute, std::uint64_t configurationVersion, item_progress &progress);
    task<attempt_report> sendItem(job_pointer job, std::size_t index, const replica &upstream, item_progress &progress);
    void finish(const job_pointer &job, std::size_t index, listed_result result);
    static task<> recordResultsLoop(self_pointer self, job_pointer job);
    static task<> checkpointLoop(self_pointer self, job_pointer job);
    [[nodiscard]] static std::vector<std::string> checkpointedItems(running_job &job, std::size_t count);
    task<bool> recordNextResults(job_pointer job);
    task<> handleRowConflict(job_pointer job);
    [[nodiscard]] static std::vector<listed_result> nextResults(const running_job &job);
    static task<> reviewWaitsLoop(self_pointer self);
    void reviewWaits(time_point now);
    void endOutdatedWaits(time_point now);
    [[nodiscard]] bool isOutdated(const running_job &job, std::size_t index, time_point now) const;
    [[nodiscard]] claim_terms termsOf(const running_job &job, std::size_t index, const route &jobRoute) const;
    static void logItemWait(std::string_view event, const running_job &job, std::size_t index, time_point now);
    void reportWaits(time_point now);
    void logWaits(time_point now);
    task<> sleep(duration time);
    [[nodiscard]] std::uint32_t priorityOf(const job_entry &entry, const route &jobRoute) const;
    [[nodiscard]] request_id slotId(const running_job &job, std::size_t index) const;
    [[nodiscard]] static std::vector<http_field> fieldsOf(const job_item &item);
    [[nodiscard]] prompt_run promptRunOf(const job_item &item) const;
    [[nodiscard]] request_size sizeOf(const job_item &item) const;
    task<std::optional<job_entry>> lookUp(job_id id);

    listed_job_ports m_ports;
    listed_job_options m_options;
    client_memory *m_memory = nullptr;
    job_records m_records;
    job_directory m_directory;
    std::shared_ptr<table_follower> m_jobsFollower;
    std::shared_ptr<quota_reservations> m_quota;
    std::shared_ptr<const route_table> m_table;
    std::map<job_id, job_pointer> m_running;
    std::set<job_id> m_takingOver;
    time_point m_takeoversCheckedAt = currentTime();
    /// A waiting item whose claim may be out of date.
    struct reviewed_item
    {
        job_pointer job;
        std::size_t index = 0;
    };
    std::deque<reviewed_item> m_waitsToReview;
    std::shared_ptr<const route_table> m_reviewedTable; ///< By which all waits were reviewed, or are in m_waitsToReview.
    service_availability m_reviewedAvailability; ///< The same.
    std::set<std::string> m_waitGauges; ///< Names of the gauges of waiting items that are not 0.
    time_point m_waitsReportedAt;
    time_point m_waitsLoggedAt;
    bool m_reviewsWaits = false; ///< Whether reviewWaitsLoop() runs.
    bool m_handingOver = false;
    std::uint64_t m_startedJobs = 0; ///< Number of jobs started so far; gives each running_job its serial number.
};

} // namespace banyan
