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

/// What a slot_broker works with; all of it must outlive the broker.
struct slot_broker_ports
{
    asio::io_context &context;
    scheduler_host &scheduler; ///< Of this node.
    load_board &board;
    std::function<bool(const node_id &to, const gateway_message &message)> send; ///< Messages may be lost.
    const report_hubs *hubs = nullptr; ///< Which nodes may place requests; all, if null.
};

/// Gets slots for this node's runs, and places those of other nodes for the cells that are this node's to place.
///
/// Each cell of upstreams has one node that places its requests, so that one queue and an exact count stand before each
/// upstream. A node claims a slot there by datagram and sends the request to the upstream itself. Where no verdict comes
/// within a few tens of milliseconds the node places the run by what it knows of the others' load: nothing waits for an
/// agreement on who lives, and a wrong view only takes a slot twice.
class slot_broker
{
public:
    using slot_outcome = scheduler_host::slot_outcome;

    /// Of the node @p self in @p domain.
    slot_broker(const slot_broker_ports &ports, node_id self, failure_domain domain);
    ~slot_broker();

    /// Waits until the run has its slot, is refused one, or is stopped. After a grant @p onReclaim may be called once; the
    /// run has then to stop. A run that has its slot ends with released().
    [[nodiscard]] task<slot_outcome> acquire(slot_request request, stop_signal &stop, std::function<void()> onReclaim);

    void firstByte(const request_id &request);
    void released(const request_id &request, const attempt_result &result);

    /// Takes in a message of another node.
    void received(const slot_claim &claim);
    void received(const slot_verdict &verdict);
    void received(const slot_progress &progress);
    void received(const slot_release &release);
    /// Takes in which claims another node still has; slots whose release was lost become free.
    void reported(const node_load &load);

    /// Frees the slots of nodes that have fallen silent, and takes over the count of those that such nodes have granted.
    void handleLostNodes();

    /// Says whether this node places the requests of its cells, or lets others do so. Claims that come are still placed.
    void setSchedulingState(scheduling_state state);

    [[nodiscard]] scheduling_state schedulingState() const;

    /// Hashes of the ids of all claims at other nodes, for this node's reports.
    [[nodiscard]] std::vector<std::uint64_t> claims() const;

    [[nodiscard]] scheduler_host &scheduler();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
