#pragma once

#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/request_scheduler.h"
#include "banyan/core/serving/slot_action.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/io/asio_types.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace banyan {

/// Hosts a request_scheduler: gives it the time and carries its decisions out.
class scheduler_host
{
public:
    /// The end of a wait for a slot; monostate if it was stopped.
    using slot_outcome = std::variant<std::monostate, slot_granted, slot_rejected>;

    scheduler_host(asio::io_context &context, const request_scheduler_options &options, load_board &board);
    ~scheduler_host();

    /// Hands a run in. @p onDecision is called once, perhaps at once, unless the run is withdrawn. After a grant @p onReclaim
    /// may be called once; the run has then to stop. A run that has its slot ends with released().
    void submit(const slot_request &request, std::function<void(const slot_outcome &)> onDecision, std::function<void()> onReclaim);

    /// Forgets a run that waits. Its decision is not called any more.
    void cancel(const request_id &request);

    /// Takes over a run that another node had granted a slot; @p onReclaim as for submit().
    void adopt(const slot_request &request,
               const upstream_id &upstream,
               bool answerHasBegun,
               time_point grantedAt,
               std::function<void()> onReclaim);

    void firstByte(const request_id &request);
    /// The first byte came so long after the grant, as another node has measured it.
    void firstByteAfter(const request_id &request, duration taken);
    void released(const request_id &request, const attempt_result &result);

    /// Replaces the upstreams.
    void setUpstreams(std::span<const replica> upstreams);

    /// The upstream, while it is registered; null afterwards.
    [[nodiscard]] const replica *find(const upstream_id &upstream) const;

    /// Registered upstreams of all services.
    [[nodiscard]] std::size_t upstreamCount() const
    {
        return m_upstreams.size();
    }

    /// The registered upstreams of a service.
    [[nodiscard]] const std::vector<const replica *> &upstreamsOf(const service_name &service) const;

    /// Another upstream has answered at the address of this one.
    void addressReused(const upstream_id &upstream);

    /// Calls @p handler for each such upstream.
    void onAddressReused(std::function<void(const upstream_id &)> handler);

    /// The board has changed.
    void loadChanged();

    /// Calls @p handler when this node's work in flight has changed.
    void onUsageChanged(std::function<void()> handler);

    [[nodiscard]] const request_scheduler &scheduler() const
    {
        return m_scheduler;
    }

private:
    void perform(const slot_actions &actions);
    void deliverDecision(const request_id &request, const slot_outcome &outcome);
    void scheduleTick();

    request_scheduler m_scheduler;
    std::map<upstream_id, replica> m_upstreams;
    std::map<service_name, std::vector<const replica *>> m_byService;
    std::map<request_id, std::function<void(const slot_outcome &)>> m_decisionHandlers;
    std::map<request_id, std::function<void()>> m_reclaimHandlers;
    std::function<void()> m_usageChanged;
    std::function<void(const upstream_id &)> m_addressReused;
    asio::steady_timer m_timer;
    std::optional<time_point> m_tickAt;
};

} // namespace banyan
