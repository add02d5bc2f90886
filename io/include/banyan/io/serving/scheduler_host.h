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

namespace banyan {

class stop_signal;

/// Hosts a request_scheduler: gives it the time and lets coroutines wait for its decisions.
class scheduler_host
{
public:
    /// The end of a wait for a slot; monostate if the wait was stopped.
    using slot_outcome = std::variant<std::monostate, slot_granted, slot_refused>;

    scheduler_host(asio::io_context &context, const request_scheduler_options &options, load_board &board);
    ~scheduler_host();

    /// Waits until the run has its slot, is refused one, or is stopped. After a grant @p onReclaim may be called once; the
    /// run has then to stop. A run that has its slot ends with released().
    [[nodiscard]] task<slot_outcome> acquire(slot_request request, stop_signal &stop, std::function<void()> onReclaim);

    void firstByte(const request_id &request);
    void released(const request_id &request, const attempt_result &result);

    /// Replaces the upstreams.
    void setUpstreams(std::span<const replica> upstreams);

    /// The upstream, while it is registered; null afterwards.
    [[nodiscard]] const replica *find(const upstream_id &upstream) const;

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
    struct waiter;

    void perform(const slot_actions &actions);
    void resolve(const request_id &request, slot_outcome outcome);
    void scheduleTick();

    asio::io_context &m_context;
    request_scheduler m_scheduler;
    std::map<upstream_id, replica> m_upstreams;
    std::map<request_id, std::shared_ptr<waiter>> m_waiters;
    std::map<request_id, std::function<void()>> m_reclaimHandlers;
    std::function<void()> m_usageChanged;
    std::function<void(const upstream_id &)> m_addressReused;
    asio::steady_timer m_timer;
    std::optional<time_point> m_tickAt;
};

} // namespace banyan
