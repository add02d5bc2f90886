#pragma once

#include "banyan/core/batch_item.h"
#include "banyan/core/job_coordinator.h"
#include "banyan/core/job_record.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/item_request_builder.h"
#include "banyan/io/request_runner.h"
#include "banyan/io/run_cancellation.h"
#include "banyan/io/store_port.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Counts of one node's work on jobs.
struct job_execution_counters
{
    std::uint64_t itemsStarted = 0;
    std::uint64_t itemsCommitted = 0;
    std::uint64_t commits = 0;
};

/// What a job_execution is given.
struct job_execution_parts
{
    store_port store;
    request_runner run;
    item_request_builder buildRequest;
    std::shared_ptr<job_execution_counters> counters;
    std::function<void(const job_id &job, coordination_outcome how)> ended; ///< Called once.
};

/// Hosts a job_coordinator: carries its actions out and holds the lines of its items and results.
class job_execution : public std::enable_shared_from_this<job_execution>
{
public:
    job_execution(asio::io_context &context,
                  job_execution_parts parts,
                  job_record record,
                  row_version version,
                  const job_coordinator_options &options);

    void start();
    void cancelSeen();
    void leaseHeld(bool held);
    void release();
    /// Drops everything; nothing is called back after this.
    void abandon();

    /// The job as it was last committed here.
    [[nodiscard]] const job_record &record() const
    {
        return m_coordinator.record();
    }

private:
    /// An item that is not finished and has been started.
    struct held_item
    {
        std::string line;
        std::shared_ptr<run_cancellation> cancellation; ///< While it runs.
    };

    struct loaded_chunk
    {
        std::string text;
        std::vector<std::string_view> lines;
    };

    /// An end of an item's run: its result's line, if it has one.
    struct item_result_line
    {
        item_end end;
        std::string line;
    };

    void perform(job_actions actions);
    void performOne(const job_action &action);
    void runItem(const run_item &action);
    void giveUp(const fail_item &action);
    void endItem(std::uint32_t item, item_result_line result);
    void endCoordination(coordination_outcome how);
    void scheduleTick();
    void ticked(time_point when);

    [[nodiscard]] held_item &hold(std::uint32_t item);
    [[nodiscard]] std::string lineOf(std::uint32_t item) const;
    [[nodiscard]] run_request requestOf(const batch_item &item, std::uint32_t index) const;
    [[nodiscard]] item_result_line errorOf(std::uint32_t item, const std::string &code, const std::string &message) const;
    [[nodiscard]] item_result_line resultOf(std::uint32_t item, const run_answer &answer, bool repeatable) const;
    [[nodiscard]] std::string joined(const std::vector<std::uint32_t> &items) const;
    [[nodiscard]] time_point now() const;

    static task<> loadChunk(std::shared_ptr<job_execution> self, std::size_t chunk);
    static task<> performRun(std::shared_ptr<job_execution> self,
                             std::uint32_t item,
                             run_request request,
                             std::shared_ptr<run_cancellation> cancellation);
    static task<> storeResults(std::shared_ptr<job_execution> self, store_results action);
    static task<> commit(std::shared_ptr<job_execution> self, commit_progress action);
    static task<> readJob(std::shared_ptr<job_execution> self);

    asio::io_context &m_context;
    job_execution_parts m_parts;
    job_coordinator m_coordinator;
    std::string m_owner; ///< Lease under which the job is coordinated here.
    std::vector<std::uint32_t> m_firstItems;
    std::map<std::size_t, loaded_chunk> m_chunks;
    std::map<std::uint32_t, held_item> m_held;
    std::map<std::uint32_t, std::string> m_results; ///< Lines not stored yet.
    std::deque<job_action> m_actions;
    bool m_performing = false;
    bool m_ended = false;
    std::optional<time_point> m_wakeUp;
};

} // namespace banyan
