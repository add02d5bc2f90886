#pragma once

#include "banyan/core/record_row.h"
#include "banyan/core/transaction.h"
#include "banyan/io/async_event.h"
#include "banyan/io/record_service_options.h"
#include "banyan/io/request_runner.h"
#include "banyan/io/run_request.h"
#include "banyan/io/stored_record.h"
#include "record_store.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace banyan {

/// A record that this node runs.
struct active_record
{
    explicit active_record(asio::io_context &context)
        : changed(context)
    {
    }

    std::string key;
    std::string ownership; ///< Names this node's ownership, see ownershipOf().
    record_row record; ///< As this node committed it last.
    row_version version = 0; ///< Of the row then; 0 if somebody else may have written it since.
    run_request request;
    time_point giveUpAt; ///< When a request that was not run is not tried again.
    duration timeToRun{}; ///< For each run.
    unsigned runs = 0;
    bool mayHaveRun = false; ///< An earlier run of a repeatable request was lost.
    bool copied = false; ///< Other VMs hold the result.
    std::optional<stored_record> end; ///< Once it is final and committed, or another node's.
    async_event changed;
};

/// Runs the records that this node owns and commits how they ended.
class record_executor : public std::enable_shared_from_this<record_executor>
{
public:
    record_executor(asio::io_context &context,
                    std::shared_ptr<record_store> records,
                    request_runner runner,
                    record_service_options options);

    /// Begins to run a record that this node just accepted or took over by @p change, committed as @p version.
    std::shared_ptr<active_record> start(const std::string &key, const record_change &change, row_version version, run_request request);

    /// The record if this node runs it, else null.
    [[nodiscard]] std::shared_ptr<active_record> find(const std::string &key) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_active.size();
    }

    /// Tells which nodes are live: the starter of a request among them may still finish it.
    void setLiveNodes(const std::vector<node_id> &nodes);

    /// Begins no further run; runs in progress go on.
    void stop();

private:
    using active_pointer = std::shared_ptr<active_record>;

    /// What to do after a run.
    enum class next_step {
        RunAgain,
        Finish,
        Ended, ///< Its end is committed.
        Superseded, ///< Somebody else ended it or owns it.
        Left, ///< This node is stopping; another one will take it over.
    };

    static task<> runToEnd(std::shared_ptr<record_executor> self, active_pointer active);
    task<next_step> afterRun(active_pointer active, final_result result);
    task<next_step> prepareAnotherRun(active_pointer active, bool startedWithoutEffect);
    task<next_step> watchStarted(active_pointer active);
    task<next_step> superseded(active_pointer active, std::optional<versioned_record> seen);
    [[nodiscard]] bool starterMayFinish(const record_row &record) const;
    task<next_step> finish(active_pointer active, run_answer answer);
    task<next_step> commitEnd(active_pointer active, record_end end, run_answer answer);
    task<bool> hasRoomFor(active_pointer active, std::size_t bytes);
    task<> pauseBeforeRetry(active_pointer active, std::optional<duration> wish);
    void copyIfLate(const active_pointer &active, const record_end &end, const std::string &text);
    void forgetCopies(const active_pointer &active);
    [[nodiscard]] run_request requestFor(const active_record &active) const;
    [[nodiscard]] bool mayRunAgain(const active_record &active, const final_result &result) const;

    asio::io_context &m_context;
    std::shared_ptr<record_store> m_records;
    request_runner m_runner;
    record_service_options m_options;
    std::map<std::string, active_pointer> m_active;
    std::set<std::string> m_liveNodes;
    std::size_t m_keptBytes = 0; ///< Results that wait for the store.
    bool m_stopped = false;
};

} // namespace banyan
