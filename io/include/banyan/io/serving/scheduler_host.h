#pragma once

#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/request_scheduler.h"
#include "banyan/core/serving/service_availability.h"
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

/// Runs a request_scheduler on an event loop: passes it the current time, calls it when it asks to be woken up, and
/// carries out its actions.
class scheduler_host
{
public:
    /// Result of a wait for a slot; monostate if the wait was cancelled.
    using slot_outcome = std::variant<std::monostate, slot_granted, slot_rejected>;

    scheduler_host(asio::io_context &context, const request_scheduler_options &options, load_board &board);
    ~scheduler_host();

    /// Submits a run that needs a slot. @p onDecision is called once, possibly before this function returns, unless the run
    /// is cancelled. After a grant, @p onReclaim may be called once; the run must then be cancelled. A run that was granted a
    /// slot ends with released().
    void submit(const slot_request &request, std::function<void(const slot_outcome &)> onDecision, std::function<void()> onReclaim);

    /// Cancels a waiting run. Its decision handler is not called.
    void cancel(const request_id &request);

    /// Takes over a run whose slot another node granted. @p onReclaim is used as in submit().
    void adopt(const slot_request &request,
               const upstream_id &upstream,
               bool answerHasBegun,
               time_point grantedAt,
               std::function<void()> onReclaim);

    /// Reports the first byte of a run's answer.
    void firstByte(const request_id &request);
    /// Reports that the first byte arrived @p taken after the grant, as measured by another node.
    void firstByteAfter(const request_id &request, duration taken);
    /// Releases the slot of a run that has ended.
    void released(const request_id &request, const attempt_result &result);

    /// Replaces the registered upstreams.
    void setUpstreams(std::span<const replica> upstreams);

    /// Replaces the rates at which this node may start runs at upstreams that limit their rate.
    void setAllowedRates(const std::map<upstream_id, allowed_rate> &rates);

    /// Returns the upstream, or null if it is not registered.
    [[nodiscard]] const replica *find(const upstream_id &upstream) const;

    /// Number of registered upstreams of all services.
    [[nodiscard]] std::size_t upstreamCount() const
    {
        return m_upstreams.size();
    }

    /// Which services have an upstream that accepts work.
    [[nodiscard]] const service_availability &availability() const
    {
        return m_availability;
    }

    /// The registered upstreams of a service.
    [[nodiscard]] const std::vector<const replica *> &upstreamsOf(const service_name &service) const;

    /// Reports that another upstream has answered at the address of this one.
    void addressReused(const upstream_id &upstream);

    /// Sets the handler that is called for each upstream passed to addressReused().
    void onAddressReused(std::function<void(const upstream_id &)> handler);

    /// Reports that the load board has changed.
    void loadChanged();

    /// Sets the handler that is called when this node's work in flight has changed.
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
    service_availability m_availability;
    std::map<request_id, std::function<void(const slot_outcome &)>> m_decisionHandlers;
    std::map<request_id, std::function<void()>> m_reclaimHandlers;
    std::function<void()> m_usageChanged;
    std::function<void(const upstream_id &)> m_addressReused;
    asio::steady_timer m_timer;
    std::optional<time_point> m_tickAt; ///< Time of the scheduled tick, if there is one.
};

} // namespace banyan
