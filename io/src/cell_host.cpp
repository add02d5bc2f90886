#include "banyan/io/cell_host.h"

#include "attempt_names.h"
#include "banyan/core/dispatcher.h"
#include "banyan/core/placement.h"
#include "banyan/io/async_event.h"
#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "upstream_attempt.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <variant>

namespace banyan {

namespace {

constexpr std::size_t maximumStoppedContents = 4096;

using attempt_pointer = std::shared_ptr<upstream_attempt>;

/// A request in a cell and the reader of its answer.
struct active_request
{
    active_request(asio::io_context &context, run_request submitted)
        : request(std::move(submitted))
        , changed(context)
        , startRecorded(request.startRecorded)
    {
    }

    run_request request;
    async_event changed; ///< More to pass on, or the end.
    attempt_pointer chosen;
    std::optional<final_result> end;
    bool startRecorded;
    time_point submittedAt;
    std::string trace;
};

using request_pointer = std::shared_ptr<active_request>;

/// A cell's dispatcher with what it has under way.
struct hosted_cell
{
    hosted_cell(asio::io_context &context, cell_id cell, const dispatcher_options &options)
        : id(std::move(cell))
        , decisions(options)
        , timer(context)
    {
    }

    cell_id id;
    dispatcher decisions;
    asio::steady_timer timer;
    std::map<upstream_id, upstream_info> upstreams;
    std::map<request_id, request_pointer> requests;
    std::map<attempt_id, attempt_pointer> attempts;
};

using cell_pointer = std::shared_ptr<hosted_cell>;

void addToTrace(active_request &active, std::string_view step, const std::string &details)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(currentTime() - active.submittedAt).count();
    active.trace.append("after_us=").append(std::to_string(elapsed)).append(" step=").append(step).append(details).append("\n");
}

dispatcher_counters sum(const dispatcher_counters &left, const dispatcher_counters &right)
{
    return {.firstAttempts = left.firstAttempts + right.firstAttempts,
            .retries = left.retries + right.retries,
            .hedges = left.hedges + right.hedges,
            .hedgesChosen = left.hedgesChosen + right.hedgesChosen,
            .preempted = left.preempted + right.preempted,
            .preemptedResumable = left.preemptedResumable + right.preemptedResumable,
            .ejections = left.ejections + right.ejections,
            .contentsQuarantined = left.contentsQuarantined + right.contentsQuarantined,
            .retriesDenied = left.retriesDenied + right.retriesDenied};
}

/// The caller's or job's id of a request: without the two parts that request_router adds for each of its tries.
std::string originalIdOf(const request_id &id)
{
    const std::size_t last = id.text().rfind('/');
    const std::size_t beforeLast = last == std::string::npos || last == 0 ? last : id.text().rfind('/', last - 1);
    return beforeLast == std::string::npos ? id.text() : id.text().substr(0, beforeLast);
}

/// The message for one attempt, with the request's id and the fencing number of its record where there is one.
http_request messageFor(const run_request &request)
{
    http_request message = request.message;
    message.fields.push_back({.name = "X-Request-Id", .value = originalIdOf(request.dispatch.id)});
    if (request.fencingNumber != 0) {
        message.fields.push_back({.name = "X-Fencing-Number", .value = std::to_string(request.fencingNumber)});
    }
    return message;
}

} // namespace

class cell_host::implementation : public std::enable_shared_from_this<cell_host::implementation>
{
public:
    implementation(asio::io_context &context, http_client &client, node_metrics &metrics, cell_host_options options)
        : m_context(context)
        , m_client(client)
        , m_metrics(metrics)
        , m_options(std::move(options))
    {
    }

    void setVms(const vm_list &vms)
    {
        m_known = assignCells(vms);
        for (auto entry = m_cells.begin(); entry != m_cells.end();) {
            const cell_pointer cell = entry->second;
            updateUpstreams(cell);
            const bool unused = cell->upstreams.empty() && cell->requests.empty() && cell->attempts.empty();
            if (unused) {
                m_givenUp = sum(m_givenUp, cell->decisions.counters());
            }
            entry = unused ? m_cells.erase(entry) : std::next(entry);
        }
    }

    task<run_outcome> run(cell_id id, run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation)
    {
        const cell_pointer cell = cellOf(id);
        const auto active = std::make_shared<active_request>(m_context, std::move(request));
        active->submittedAt = currentTime();
        cell->requests.emplace(active->request.dispatch.id, active);
        ++m_inProgress;
        perform(cell, cell->decisions.submit(active->request.dispatch, active->submittedAt));
        if (cancellation) {
            cancellation->onCancel([self = weak_from_this(), cell, active] {
                if (const auto host = self.lock()) {
                    host->cancel(cell, active);
                }
            });
        }
        co_await relay(cell, active, std::move(sink));
        if (cancellation) {
            cancellation->onCancel(nullptr);
        }
        cell->requests.erase(active->request.dispatch.id);
        --m_inProgress;
        co_return run_outcome{.result = *active->end,
                              .load = cell->decisions.load(currentTime()),
                              .startRecorded = active->startRecorded,
                              .trace = active->trace};
    }

    void stopFingerprint(std::uint64_t fingerprint, time_point until)
    {
        if (m_stopped.size() < maximumStoppedContents || m_stopped.contains(fingerprint)) {
            m_stopped.insert_or_assign(fingerprint, until);
        }
        for (const auto &[id, cell] : m_cells) {
            cell->decisions.quarantineFingerprint(fingerprint, until, currentTime());
        }
    }

    [[nodiscard]] std::size_t stoppedContents() const
    {
        const time_point now = currentTime();
        return static_cast<std::size_t>(std::count_if(m_stopped.begin(), m_stopped.end(), [now](const auto &stopped) {
            return stopped.second > now;
        }));
    }

    void drain()
    {
        m_draining = true;
        for (const auto &[id, cell] : m_cells) {
            perform(cell, cell->decisions.drain(currentTime()));
        }
    }

    [[nodiscard]] dispatcher_counters counters() const
    {
        dispatcher_counters total = m_givenUp;
        for (const auto &[id, cell] : m_cells) {
            total = sum(total, cell->decisions.counters());
        }
        return total;
    }

    [[nodiscard]] std::size_t inProgress() const
    {
        return m_inProgress;
    }

    [[nodiscard]] std::vector<upstream_report> upstreams() const
    {
        std::vector<upstream_report> result;
        for (const auto &[id, cell] : m_cells) {
            for (const upstream_status &status : cell->decisions.upstreams(currentTime())) {
                result.push_back(reportOf(*cell, status));
            }
        }
        return result;
    }

private:
    static upstream_report reportOf(const hosted_cell &cell, const upstream_status &status)
    {
        const auto known = cell.upstreams.find(status.id);
        return {.id = status.id,
                .pool = cell.id.pool,
                .domain = cell.id.domain,
                .address = known == cell.upstreams.end() ? endpoint() : known->second.address,
                .leaving = status.condition == upstream_condition::Leaving,
                .ejected = status.condition == upstream_condition::Ejected || status.condition == upstream_condition::Probing,
                .limit = status.limit,
                .firstByte = status.firstByte,
                .inFlight = status.onlineInFlight + status.batchInFlight};
    }

    cell_pointer cellOf(const cell_id &id)
    {
        const auto found = m_cells.find(id);
        if (found != m_cells.end()) {
            return found->second;
        }
        auto cell = std::make_shared<hosted_cell>(m_context, id, m_options.dispatcher);
        m_cells.emplace(id, cell);
        updateUpstreams(cell);
        std::erase_if(m_stopped, [now = currentTime()](const auto &stopped) {
            return stopped.second <= now;
        });
        for (const auto &[fingerprint, until] : m_stopped) {
            cell->decisions.quarantineFingerprint(fingerprint, until, currentTime());
        }
        if (m_draining) {
            perform(cell, cell->decisions.drain(currentTime()));
        }
        return cell;
    }

    void updateUpstreams(const cell_pointer &cell)
    {
        const auto known = m_known.find(cell->id);
        const std::vector<upstream_info> upstreams = known == m_known.end() ? std::vector<upstream_info>() : known->second;
        cell->upstreams.clear();
        for (const upstream_info &upstream : upstreams) {
            cell->upstreams.emplace(upstream.id, upstream);
        }
        perform(cell, cell->decisions.setUpstreams(upstreams, currentTime()));
    }

    void cancel(const cell_pointer &cell, const request_pointer &active)
    {
        if (!active->end) {
            perform(cell, cell->decisions.cancel(active->request.dispatch.id, currentTime()));
        }
    }

    /// Passes the chosen attempt's answer on until the request has ended and all is passed on.
    task<> relay(cell_pointer cell, request_pointer active, answer_sink sink)
    {
        bool headPassed = false;
        bool readerGone = false;
        for (;;) {
            const attempt_pointer chosen = active->chosen;
            const bool complete = active->end && active->end->what != disposition::Completed;
            if (chosen && !readerGone && !complete && ((chosen->headSeen() && !headPassed) || chosen->hasPieces())) {
                const bool ok = co_await passOn(chosen, sink, headPassed);
                headPassed = true;
                if (!ok) {
                    readerGone = true;
                    cancel(cell, active);
                }
                continue;
            }
            if (active->end) {
                co_return;
            }
            co_await active->changed.wait();
        }
    }

    /// Passes on what is there; returns false if the reader has gone.
    static task<bool> passOn(attempt_pointer chosen, const answer_sink &sink, bool headPassed)
    {
        try {
            if (!headPassed) {
                co_await sink.head(chosen->status(), chosen->fields());
            }
            std::string pieces = chosen->takePieces();
            if (!pieces.empty()) {
                co_await sink.piece(std::move(pieces));
            }
        } catch (const std::exception &) {
            co_return false;
        }
        co_return true;
    }

    void perform(const cell_pointer &cell, const dispatch_actions &actions)
    {
        for (const dispatch_action &action : actions) {
            std::visit(
                [&](const auto &order) {
                    carryOut(cell, order);
                },
                action);
        }
        armTimer(cell);
    }

    void carryOut(const cell_pointer &cell, const start_attempt &order)
    {
        const auto request = cell->requests.find(order.request);
        const auto upstream = cell->upstreams.find(order.upstream);
        if (request == cell->requests.end() || upstream == cell->upstreams.end()) {
            asio::post(m_context, [self = shared_from_this(), cell, order] {
                self->perform(cell, cell->decisions.attemptEnded(order.attempt, {.outcome = attempt_outcome::NotSent}, currentTime()));
            });
            return;
        }
        const auto attempt = std::make_shared<upstream_attempt>(m_context, order, upstream->second.address);
        cell->attempts.emplace(order.attempt, attempt);
        addToTrace(*request->second,
                   "start_attempt",
                   " attempt=" + std::to_string(order.attempt.value) + " upstream=" + order.upstream.text()
                       + (order.hedge ? " hedge=true" : ""));
        asio::co_spawn(m_context, runAttempt(shared_from_this(), cell, request->second, attempt), asio::detached);
    }

    void carryOut(const cell_pointer &cell, const cancel_attempt &order)
    {
        const auto found = cell->attempts.find(order.attempt);
        if (found == cell->attempts.end()) {
            return;
        }
        const auto request = cell->requests.find(found->second->order().request);
        if (request != cell->requests.end() && !request->second->end) {
            addToTrace(*request->second, "cancel_attempt", " attempt=" + std::to_string(order.attempt.value));
        }
        found->second->cancel();
    }

    static void carryOut(const cell_pointer &cell, const choose_attempt &order)
    {
        choose(cell, order.request, order.attempt);
    }

    static void choose(const cell_pointer &cell, const request_id &request, attempt_id id)
    {
        const auto active = cell->requests.find(request);
        const auto attempt = cell->attempts.find(id);
        if (active == cell->requests.end() || attempt == cell->attempts.end()) {
            return;
        }
        attempt->second->choose();
        active->second->chosen = attempt->second;
        active->second->changed.notify();
    }

    void carryOut(const cell_pointer &cell, const finish_request &order)
    {
        const auto active = cell->requests.find(order.request);
        if (active == cell->requests.end()) {
            return;
        }
        if (order.attempt && !active->second->chosen) {
            choose(cell, order.request, *order.attempt);
        }
        addToTrace(*active->second,
                   "finish",
                   " disposition=" + std::string(toString(order.result.what)) + " reason=" + std::string(toString(order.result.reason)));
        active->second->end = order.result;
        active->second->changed.notify();
        const bool stopped = order.result.what == disposition::Failed && order.result.reason == end_reason::CrashesUpstreams;
        if (stopped && m_options.onContentStopped) {
            m_options.onContentStopped(active->second->request.dispatch.fingerprint);
        }
    }

    static task<> runAttempt(std::shared_ptr<implementation> self, cell_pointer cell, request_pointer active, attempt_pointer attempt)
    {
        attempt_result result;
        const bool mayBeSent = co_await self->recordStart(active, attempt, result);
        if (mayBeSent) {
            upstream_attempt::observer watcher;
            watcher.onFirstByte = [&] {
                self->perform(cell, cell->decisions.firstByte(attempt->order().attempt, currentTime()));
                active->changed.notify();
            };
            watcher.onProgress = [&](std::uint32_t tokens) {
                self->perform(cell, cell->decisions.progressed(attempt->order().attempt, tokens, currentTime()));
            };
            watcher.onData = [&] {
                active->changed.notify();
            };
            result = co_await attempt->send(
                self->m_client, messageFor(active->request), self->m_options.maximumBufferedAnswer, std::move(watcher));
        }
        self->attemptEnded(cell, *active, *attempt, result);
        cell->attempts.erase(attempt->order().attempt);
    }

    void attemptEnded(const cell_pointer &cell, active_request &active, const upstream_attempt &attempt, const attempt_result &result)
    {
        const std::string outcome(toString(result.outcome));
        addToTrace(active,
                   "attempt_ended",
                   " attempt=" + std::to_string(attempt.order().attempt.value) + " outcome=" + outcome
                       + " status=" + std::to_string(attempt.status()));
        m_metrics.attemptEnded(outcome, attempt.order().hedge);
        logEvent(log_level::Debug,
                 "attempt_ended",
                 {{"request_id", active.request.dispatch.id.text()},
                  {"upstream", attempt.order().upstream.text()},
                  {"outcome", outcome},
                  {"error", attempt.error()}});
        perform(cell, cell->decisions.attemptEnded(attempt.order().attempt, result, currentTime()));
    }

    /// Commits the start of a request not to be repeated; returns whether it may be sent, else sets @p result.
    task<bool> recordStart(request_pointer active, attempt_pointer attempt, attempt_result &result)
    {
        const run_request &request = active->request;
        if (request.dispatch.repeatable || request.recordKey.empty() || active->startRecorded) {
            co_return true;
        }
        try {
            const std::string name = std::to_string(attempt->order().attempt.value) + "@" + attempt->order().upstream.text();
            const bool first = co_await m_options.recordStart(request.recordKey, request.fencingNumber, name);
            active->startRecorded = first;
            // Another start is recorded: its request may have been sent, so that this one's outcome is unknown.
            result.outcome = first && !attempt->cancelled() ? attempt_outcome::Succeeded : attempt_outcome::TimedOut;
            if (first && attempt->cancelled()) {
                result.outcome = attempt_outcome::NotSent;
            }
            co_return first && !attempt->cancelled();
        } catch (const std::exception &error) {
            logEvent(log_level::Warning, "start_not_recorded", {{"request_id", request.dispatch.id.text()}, {"error", error.what()}});
            result.outcome = attempt_outcome::NotSent;
        }
        co_return false;
    }

    void armTimer(const cell_pointer &cell)
    {
        const auto wakeUp = cell->decisions.nextWakeUp();
        if (!wakeUp) {
            cell->timer.cancel();
            return;
        }
        const duration delay = std::max(*wakeUp - currentTime(), duration::zero());
        cell->timer.expires_after(delay);
        cell->timer.async_wait([self = weak_from_this(), weak = std::weak_ptr(cell)](const boost::system::error_code &error) {
            const auto host = self.lock();
            const auto strong = weak.lock();
            if (!error && host && strong) {
                host->perform(strong, strong->decisions.tick(currentTime()));
            }
        });
    }

    asio::io_context &m_context;
    http_client &m_client;
    node_metrics &m_metrics;
    cell_host_options m_options;
    cell_map m_known;
    std::map<cell_id, cell_pointer> m_cells;
    std::map<std::uint64_t, time_point> m_stopped; ///< Contents that crash upstreams, and until when they are refused.
    dispatcher_counters m_givenUp; ///< Of cells that this node does not hold any more.
    std::size_t m_inProgress = 0;
    bool m_draining = false;
};

cell_host::cell_host(asio::io_context &context, http_client &client, node_metrics &metrics, cell_host_options options)
    : m_implementation(std::make_shared<implementation>(context, client, metrics, std::move(options)))
{
}

cell_host::~cell_host() = default;

void cell_host::setVms(const vm_list &vms)
{
    m_implementation->setVms(vms);
}

task<run_outcome> cell_host::run(cell_id cell, run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation)
{
    return m_implementation->run(std::move(cell), std::move(request), std::move(sink), std::move(cancellation));
}

void cell_host::stopFingerprint(std::uint64_t fingerprint, time_point until)
{
    m_implementation->stopFingerprint(fingerprint, until);
}

std::size_t cell_host::stoppedContents() const
{
    return m_implementation->stoppedContents();
}

dispatcher_counters cell_host::counters() const
{
    return m_implementation->counters();
}

void cell_host::drain()
{
    m_implementation->drain();
}

std::size_t cell_host::inProgress() const
{
    return m_implementation->inProgress();
}

std::vector<upstream_report> cell_host::upstreams() const
{
    return m_implementation->upstreams();
}

} // namespace banyan
