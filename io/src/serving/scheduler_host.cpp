#include "banyan/io/serving/scheduler_host.h"

#include "banyan/io/async_event.h"
#include "banyan/io/clock.h"
#include "banyan/io/serving/stop_signal.h"

#include <utility>

namespace banyan {

struct scheduler_host::waiter
{
    explicit waiter(asio::io_context &context)
        : decided(context)
    {
    }

    async_event decided;
    bool isDecided = false;
    slot_outcome outcome;
};

scheduler_host::scheduler_host(asio::io_context &context, const request_scheduler_options &options, load_board &board)
    : m_context(context)
    , m_scheduler(options, board)
    , m_timer(context)
{
}

scheduler_host::~scheduler_host() = default;

task<scheduler_host::slot_outcome> scheduler_host::acquire(slot_request request, stop_signal &stop, std::function<void()> onReclaim)
{
    const auto own = std::make_shared<waiter>(m_context);
    const request_id id = request.id;
    m_waiters[id] = own;
    perform(m_scheduler.submit(request, currentTime()));
    stop.onStop([this, id] {
        if (m_waiters.contains(id)) {
            m_scheduler.withdraw(id);
            resolve(id, std::monostate());
        }
    });
    while (!own->isDecided) {
        co_await own->decided.wait();
    }
    stop.onStop(nullptr);
    const slot_outcome outcome = own->outcome;
    if (std::holds_alternative<slot_granted>(outcome) && onReclaim) {
        m_reclaimHandlers[id] = std::move(onReclaim);
    }
    co_return outcome;
}

void scheduler_host::firstByte(const request_id &request)
{
    m_scheduler.firstByte(request, currentTime());
}

void scheduler_host::released(const request_id &request, const attempt_result &result)
{
    m_reclaimHandlers.erase(request);
    perform(m_scheduler.released(request, result, currentTime()));
    if (m_usageChanged) {
        m_usageChanged();
    }
}

void scheduler_host::setUpstreams(std::span<const replica> upstreams)
{
    m_upstreams.clear();
    for (const replica &upstream : upstreams) {
        m_upstreams.emplace(upstream.id, upstream);
    }
    perform(m_scheduler.setUpstreams(upstreams, currentTime()));
}

const replica *scheduler_host::find(const upstream_id &upstream) const
{
    const auto entry = m_upstreams.find(upstream);
    return entry == m_upstreams.end() ? nullptr : &entry->second;
}

void scheduler_host::addressReused(const upstream_id &upstream)
{
    if (m_addressReused) {
        m_addressReused(upstream);
    }
}

void scheduler_host::onAddressReused(std::function<void(const upstream_id &)> handler)
{
    m_addressReused = std::move(handler);
}

void scheduler_host::loadChanged()
{
    perform(m_scheduler.loadChanged(currentTime()));
}

void scheduler_host::onUsageChanged(std::function<void()> handler)
{
    m_usageChanged = std::move(handler);
}

void scheduler_host::perform(const slot_actions &actions)
{
    for (const slot_action &action : actions) {
        if (const auto *const granted = std::get_if<slot_granted>(&action)) {
            resolve(granted->request, *granted);
            if (m_usageChanged) {
                m_usageChanged();
            }
        } else if (const auto *const refused = std::get_if<slot_refused>(&action)) {
            resolve(refused->request, *refused);
        } else {
            const auto handler = m_reclaimHandlers.extract(std::get<slot_reclaimed>(action).request);
            if (!handler.empty()) {
                handler.mapped()();
            }
        }
    }
    scheduleTick();
}

void scheduler_host::resolve(const request_id &request, slot_outcome outcome)
{
    const auto entry = m_waiters.extract(request);
    if (entry.empty()) {
        return;
    }
    entry.mapped()->isDecided = true;
    entry.mapped()->outcome = std::move(outcome);
    entry.mapped()->decided.notify();
}

void scheduler_host::scheduleTick()
{
    const std::optional<time_point> next = m_scheduler.nextWakeUp();
    if (!next || (m_tickAt && *m_tickAt <= *next)) {
        return;
    }
    m_tickAt = next;
    m_timer.expires_after(std::max(duration(0), *next - currentTime()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_tickAt.reset();
        perform(m_scheduler.tick(currentTime()));
    });
}

} // namespace banyan
