#include "banyan/io/request_router.h"

#include "banyan/core/cell_router.h"
#include "banyan/core/placement.h"
#include "banyan/core/token_bucket.h"
#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/peer_error.h"
#include "banyan/io/whole_answer.h"

#include <algorithm>
#include <map>
#include <optional>

namespace banyan {

namespace {

constexpr std::size_t maximumTries = 4; // Cells or nodes for one request.
constexpr duration noUpstreamRetryAfter = std::chrono::seconds(2);
constexpr duration suspicionTime = std::chrono::seconds(2); // A node that failed a call is passed over for this long.
constexpr double repeatsPerSecond = 20; // Requests sent again after a node was lost with them.
constexpr double repeatBurst = 200;

/// Whether another cell may do better with a request that this one did not run.
bool mayGoOn(const final_result &result)
{
    if (result.what != disposition::NotRun) {
        return false;
    }
    switch (result.reason) {
    case end_reason::Overloaded:
    case end_reason::DeadlineUnreachable:
    case end_reason::NoUpstream:
    case end_reason::Draining:
    case end_reason::RetriesExhausted:
        return true;
    default:
        return false;
    }
}

/// One request's way through cells and nodes.
struct route_state
{
    run_request request;
    answer_sink sink;
    std::shared_ptr<run_cancellation> cancellation;
    std::vector<cell_id> triedCells;
    std::vector<node_id> triedNodes;
    std::size_t tries = 0;
    bool headPassed = false;
    bool mayHaveRun = false; ///< A node was lost with the request.
    std::string trace;
    std::optional<run_outcome> outcome; ///< Of the last try that had one.
};

void addToTrace(route_state &state, const std::string &line)
{
    state.trace += line + "\n";
}

} // namespace

class request_router::implementation
{
public:
    implementation(asio::io_context & /*context*/, request_router_options options)
        : m_options(std::move(options))
        , m_cells({.localDomain = m_options.self.domain, .seed = m_options.seed})
        , m_repeats(repeatsPerSecond, repeatBurst)
    {
    }

    void setView(const vm_list &vms, std::vector<node_info> nodes)
    {
        std::vector<cell_id> cells;
        for (const auto &[cell, upstreams] : assignCells(vms)) {
            const bool usable = std::any_of(upstreams.begin(), upstreams.end(), [](const upstream_info &upstream) {
                return !upstream.leaving;
            });
            if (usable) {
                cells.push_back(cell);
            }
        }
        m_cells.setCells(cells);
        m_nodes = std::move(nodes);
    }

    task<run_outcome> run(run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation)
    {
        route_state state{.request = std::move(request), .sink = std::move(sink), .cancellation = std::move(cancellation)};
        const request_id name = state.request.dispatch.id;
        answer_sink outer = state.sink;
        state.sink.head = [&state, outer](unsigned status, std::vector<http_field> fields) -> task<> {
            state.headPassed = true;
            co_await outer.head(status, std::move(fields));
        };
        bool more = true;
        while (more && state.tries < maximumTries && !isCancelled(state)) {
            ++state.tries;
            // A cell may meet the same request again: each try has an id of its own.
            state.request.dispatch.id = request_id(name.text() + "/" + m_options.self.id.text() + "/" + std::to_string(++m_lastTry));
            more = co_await tryOnce(state);
        }
        run_outcome outcome = state.outcome.value_or(notRun(end_reason::NoUpstream));
        if (isCancelled(state) && !state.outcome) {
            outcome.result = {.what = disposition::Cancelled, .reason = end_reason::CancelledByCaller};
        }
        if (outcome.result.what == disposition::NotRun && state.mayHaveRun) {
            outcome.result.what = disposition::Failed;
        }
        outcome.trace = std::move(state.trace);
        co_return outcome;
    }

private:
    static bool isCancelled(const route_state &state)
    {
        return state.cancellation && state.cancellation->cancelled();
    }

    static run_outcome notRun(end_reason reason)
    {
        return {.result = {.what = disposition::NotRun, .reason = reason, .retryAfter = noUpstreamRetryAfter}};
    }

    /// Tries one cell at one node; returns whether to try another.
    task<bool> tryOnce(route_state &state)
    {
        const time_point now = currentTime();
        const std::optional<cell_id> cell = m_cells.choose(state.request.pool, state.request.dispatch, state.triedCells, now);
        if (!cell) {
            addToTrace(state, "step=no_cell_left");
            co_return false;
        }
        const std::optional<node_info> owner = ownerFor(*cell, state.triedNodes, now);
        if (!owner) {
            addToTrace(state, "step=no_node_left cell=" + cell->toString());
            co_return false;
        }
        addToTrace(state, "step=route cell=" + cell->toString() + " node=" + owner->id.text());
        co_return co_await runAt(state, *cell, *owner);
    }

    /// The cell's owner among the nodes not tried yet; suspected ones only if there is no other.
    std::optional<node_info> ownerFor(const cell_id &cell, const std::vector<node_id> &tried, time_point now)
    {
        std::erase_if(m_suspects, [&](const auto &suspect) {
            return suspect.second <= now;
        });
        std::vector<node_info> untried;
        std::copy_if(m_nodes.begin(), m_nodes.end(), std::back_inserter(untried), [&](const node_info &node) {
            return std::find(tried.begin(), tried.end(), node.id) == tried.end();
        });
        std::vector<node_info> trusted;
        std::copy_if(untried.begin(), untried.end(), std::back_inserter(trusted), [&](const node_info &node) {
            return !m_suspects.contains(node.id);
        });
        return ownerOf(cell, trusted.empty() ? untried : trusted);
    }

    task<bool> runAt(route_state &state, cell_id cell, node_info owner)
    {
        std::optional<peer_error> failure;
        run_outcome outcome;
        try {
            if (owner.id == m_options.self.id) {
                outcome = co_await m_options.runHere(cell, state.request, state.sink, state.cancellation);
            } else {
                outcome = co_await m_options.runAt(owner, cell, state.request, state.sink, state.cancellation);
            }
        } catch (const peer_error &error) {
            failure = error;
        }
        if (failure) {
            co_return afterFailure(state, cell, owner, *failure);
        }
        co_return afterOutcome(state, cell, owner, std::move(outcome));
    }

    bool afterOutcome(route_state &state, const cell_id &cell, const node_info &owner, run_outcome outcome)
    {
        m_cells.recordLoad(cell, outcome.load, currentTime());
        addToTrace(state, outcome.trace);
        state.request.startRecorded = state.request.startRecorded || outcome.startRecorded;
        const bool goOn = mayGoOn(outcome.result) && !state.headPassed;
        if (outcome.result.reason == end_reason::Draining) {
            state.triedNodes.push_back(owner.id);
        } else {
            state.triedCells.push_back(cell);
        }
        state.outcome = std::move(outcome);
        return goOn;
    }

    /// The node did not answer. Returns whether to try another one.
    bool afterFailure(route_state &state, const cell_id &cell, const node_info &owner, const peer_error &failure)
    {
        const std::string arrived = failure.mayHaveArrived() ? "maybe" : "no";
        logEvent(log_level::Warning,
                 "node_lost_request",
                 {{"node", owner.id.text()}, {"cell", cell.toString()}, {"arrived", arrived}, {"error", failure.what()}});
        addToTrace(state, "step=node_failed node=" + owner.id.text() + " arrived=" + arrived);
        state.triedNodes.push_back(owner.id);
        m_suspects.insert_or_assign(owner.id, currentTime() + suspicionTime);
        if (!failure.mayHaveArrived()) {
            return true;
        }
        state.mayHaveRun = true;
        const bool mayRepeat = state.request.dispatch.repeatable && !state.headPassed && m_repeats.take(currentTime());
        if (mayRepeat) {
            return true;
        }
        const disposition what = state.request.dispatch.repeatable ? disposition::Failed : disposition::OutcomeUnknown;
        state.outcome = run_outcome{.result = {.what = what, .reason = end_reason::AnswerLost}};
        return false;
    }

    request_router_options m_options;
    cell_router m_cells;
    token_bucket m_repeats;
    std::vector<node_info> m_nodes;
    std::map<node_id, time_point> m_suspects; ///< Nodes that failed a call, and until when.
    std::uint64_t m_lastTry = 0;
};

request_router::request_router(asio::io_context &context, request_router_options options)
    : m_implementation(std::make_shared<implementation>(context, std::move(options)))
{
}

request_router::~request_router() = default;

void request_router::setView(const vm_list &vms, std::vector<node_info> nodes)
{
    m_implementation->setView(vms, std::move(nodes));
}

task<run_outcome> request_router::run(run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation)
{
    return m_implementation->run(std::move(request), std::move(sink), std::move(cancellation));
}

task<run_answer> request_router::runWhole(run_request request, std::shared_ptr<run_cancellation> cancellation)
{
    whole_answer collected;
    const bool repeatable = request.dispatch.repeatable;
    const run_outcome outcome = co_await run(std::move(request), collected.sink(), std::move(cancellation));
    http_response kept = collected.take();
    run_answer answer{.result = resultOfKept(outcome.result, kept, repeatable)};
    if (answer.result.what == disposition::Completed) {
        answer.response = std::move(kept);
    }
    co_return answer;
}

request_runner request_router::runner()
{
    return [this](run_request request, std::shared_ptr<run_cancellation> cancellation) {
        return runWhole(std::move(request), std::move(cancellation));
    };
}

} // namespace banyan
