#include "banyan/io/serving/scheduler_host.h"

#include "banyan/core/serving/run_id.h"
#include "banyan/io/clock.h"
#include "banyan/io/log.h"

#include <utility>

namespace banyan {

scheduler_host::scheduler_host(asio::io_context &context, const request_scheduler_options &options, load_board &board)
    : m_scheduler(options, board)
    , m_timer(context)
{
}

scheduler_host::~scheduler_host() = default;

void scheduler_host::submit(const slot_request &request,
                            std::function<void(const slot_outcome &)> onDecision,
                            std::function<void()> onReclaim)
{
    m_decisionHandlers[request.id] = std::move(onDecision);
    if (onReclaim) {
        m_reclaimHandlers[request.id] = std::move(onReclaim);
    }
    perform(m_scheduler.submit(request, currentTime()));
}

void scheduler_host::cancel(const request_id &request)
{
    m_scheduler.cancel(request);
    m_decisionHandlers.erase(request);
    m_reclaimHandlers.erase(request);
}

void scheduler_host::adopt(const slot_request &request,
                           const upstream_id &upstream,
                           bool answerHasBegun,
                           time_point grantedAt,
                           std::function<void()> onReclaim)
{
    if (onReclaim) {
        m_reclaimHandlers[request.id] = std::move(onReclaim);
    }
    m_scheduler.adopt(request, upstream, answerHasBegun, grantedAt);
    scheduleTick();
    if (m_usageChanged) {
        m_usageChanged();
    }
}

void scheduler_host::firstByte(const request_id &request)
{
    m_scheduler.firstByte(request, currentTime());
}

void scheduler_host::firstByteAfter(const request_id &request, duration taken)
{
    m_scheduler.firstByteAfter(request, taken, currentTime());
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
    m_byService.clear();
    m_upstreams.clear();
    for (const replica &upstream : upstreams) {
        const auto entry = m_upstreams.emplace(upstream.id, upstream).first;
        m_byService[upstream.service].push_back(&entry->second);
    }
    m_availability = service_availability(upstreams);
    perform(m_scheduler.setUpstreams(upstreams, currentTime()));
}

void scheduler_host::setAllowedRates(const std::map<upstream_id, allowed_rate> &rates)
{
    perform(m_scheduler.setAllowedRates(rates, currentTime()));
}

const replica *scheduler_host::find(const upstream_id &upstream) const
{
    const auto entry = m_upstreams.find(upstream);
    return entry == m_upstreams.end() ? nullptr : &entry->second;
}

const std::vector<const replica *> &scheduler_host::upstreamsOf(const service_name &service) const
{
    static const std::vector<const replica *> none;
    const auto entry = m_byService.find(service);
    return entry == m_byService.end() ? none : entry->second;
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
            deliverDecision(granted->request, *granted);
            if (m_usageChanged) {
                m_usageChanged();
            }
        } else if (const auto *const rejected = std::get_if<slot_rejected>(&action)) {
            m_reclaimHandlers.erase(rejected->request);
            deliverDecision(rejected->request, *rejected);
        } else if (const auto *const ejected = std::get_if<upstream_ejected>(&action)) {
            logEvent(log_level::Info,
                     "upstream_ejected",
                     {{"upstream", ejected->upstream.text()}, {"reason", ejected->forSlowness ? "slow" : "failed"}});
        } else if (const auto *const blamed = std::get_if<origin_blamed>(&action)) {
            logEvent(
                log_level::Info, "job_blamed", {{"request_id", requestOf(blamed->request).text()}, {"upstream", blamed->upstream.text()}});
        } else {
            const auto handler = m_reclaimHandlers.extract(std::get<slot_reclaimed>(action).request);
            if (!handler.empty()) {
                handler.mapped()();
            }
        }
    }
    scheduleTick();
}

void scheduler_host::deliverDecision(const request_id &request, const slot_outcome &outcome)
{
    const auto handler = m_decisionHandlers.extract(request);
    if (!handler.empty()) {
        handler.mapped()(outcome);
    }
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
