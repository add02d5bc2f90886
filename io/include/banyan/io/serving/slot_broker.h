#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/identifier.h"
#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/slot_message.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/serving/scheduler_host.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace banyan {

class report_hubs;
class stop_signal;
class stream_versions;

/// Dependencies of a slot_broker. All of them must outlive the broker.
struct slot_broker_ports
{
    asio::io_context &context;
    scheduler_host &scheduler; ///< Scheduler of this node.
    load_board &board;
    std::function<bool(const node_id &to, const gateway_message &message)> send; ///< Sends a message, which may be lost.
    stream_versions *versions = nullptr; ///< Binds runs that continue a stream to its version; if null, only their own field does.
    const report_hubs *hubs = nullptr; ///< Determines which nodes may schedule requests; every node may if null.
};

/// Gets slots for this node's runs, and schedules the runs of other nodes for the cells whose scheduling node it is.
///
/// Each cell of upstreams has one scheduling node, so that each upstream has a single queue and an exact count of its slots
/// in use. Another node claims a slot from it by datagram and sends the request to the upstream itself. If no verdict arrives
/// within a few tens of milliseconds, the node schedules the run with what it knows of the other nodes' load. Scheduling
/// needs no agreement on which nodes are alive: a wrong view can only cause a slot to be used twice.
class slot_broker
{
public:
    using slot_outcome = scheduler_host::slot_outcome;

    /// Creates the broker of node @p self, which is in failure domain @p domain.
    slot_broker(const slot_broker_ports &ports, node_id self, failure_domain domain);
    ~slot_broker();

    /// Waits until the run is granted a slot, is rejected, or is cancelled with @p stop. After a grant, @p onReclaim may be
    /// called once; the run must then be cancelled. A run that was granted a slot ends with released().
    [[nodiscard]] task<slot_outcome> acquire(slot_request request, stop_signal &stop, std::function<void()> onReclaim);

    /// Reports the first byte of a run's answer.
    void firstByte(const request_id &request);
    /// Reports that the client has got the first event of the stream that a run begins.
    void streamBegun(const request_id &request, stream_key stream, const stream_origin &origin);
    /// Releases the slot of a run that has ended.
    void released(const request_id &request, const attempt_result &result);

    /// Handles a message from another node.
    void received(const slot_claim &claim);
    void received(const slot_verdict &verdict);
    void received(const slot_progress &progress);
    void received(const slot_release &release);
    /// Applies another node's report of the claims that it still holds. Slots whose release was lost become free.
    void reported(const node_load &load);

    /// Frees the slots held by nodes that are no longer live, and adopts the runs of this node whose slots were granted by a
    /// node that is now unresponsive. To be called periodically.
    void handleLostNodes();

    /// Sets whether this node schedules the requests of its cells or leaves that to other nodes. Claims that still arrive
    /// are scheduled in either case.
    void setSchedulingState(scheduling_state state);

    [[nodiscard]] scheduling_state schedulingState() const;

    /// The node from which this node claims the slots of a cell.
    [[nodiscard]] node_id schedulingNodeFor(const service_name &service, const upstream_cell &cell);

    /// Hashes of the request ids of all claims at other nodes, for this node's load reports.
    [[nodiscard]] std::vector<std::uint64_t> claims() const;

    [[nodiscard]] scheduler_host &scheduler();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
