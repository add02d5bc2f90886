#pragma once

#include "banyan/core/cell_id.h"
#include "banyan/core/cell_load.h"
#include "banyan/core/dispatcher_counters.h"
#include "banyan/core/dispatcher_options.h"
#include "banyan/core/time.h"
#include "banyan/core/vm_entry.h"
#include "banyan/io/answer_sink.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/run_cancellation.h"
#include "banyan/io/run_outcome.h"
#include "banyan/io/run_request.h"
#include "banyan/io/upstream_report.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace banyan {

class http_client;
class node_metrics;

/// Commits the start of a request not to be repeated before it is sent; false: it must not be sent, because it was
/// started before. @throws std::exception if the store does not take it; then it must not be sent either
using start_recorder = std::function<task<bool>(std::string recordKey, std::uint64_t fencingNumber, std::string attempt)>;

/// Options of a cell_host.
struct cell_host_options
{
    dispatcher_options dispatcher;
    std::size_t maximumBufferedAnswer = std::size_t(8) << 20; ///< Bytes of one answer held until it may be passed on.
    start_recorder recordStart;
    std::function<void(std::uint64_t fingerprint)>
        onContentStopped; ///< A content has crashed several upstreams and is refused from now on.
};

/// Runs the dispatchers of the cells that this node owns: sends attempts to upstreams, passes answers on, drives time.
class cell_host
{
public:
    cell_host(asio::io_context &context, http_client &client, node_metrics &metrics, cell_host_options options);
    ~cell_host();

    /// Takes over the platform's list of VMs; upstreams that left it or are leaving get no new work.
    void setVms(const vm_list &vms);

    /// Runs a request in a cell to its end. Never throws.
    [[nodiscard]] task<run_outcome>
    run(cell_id cell, run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation);

    /// Refuses requests of a content that crashed upstreams elsewhere, in all cells, until @p until.
    void stopFingerprint(std::uint64_t fingerprint, time_point until);

    /// Contents that are refused now, because they crash upstreams.
    [[nodiscard]] std::size_t stoppedContents() const;

    /// Stops taking work in: waiting requests end as not run, those in flight go on.
    void drain();

    /// What the dispatchers of all cells have done so far, those of cells given up included.
    [[nodiscard]] dispatcher_counters counters() const;

    /// Requests in progress.
    [[nodiscard]] std::size_t inProgress() const;

    /// The upstreams of the cells that this node has used, for operators.
    [[nodiscard]] std::vector<upstream_report> upstreams() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
