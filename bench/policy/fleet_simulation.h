#pragma once

#include "banyan/core/cell_router.h"
#include "banyan/core/dispatcher.h"
#include "engine_model.h"
#include "event_loop.h"
#include "simulated_request.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyan::bench {

/// Who holds the queue before an upstream.
enum class fleet_topology {
    Cells, ///< One dispatcher for each cell of upstreams.
    Shares, ///< Each node holds a share of the slots of upstreams.
};

/// Options of a fleet_simulation.
struct fleet_options
{
    std::size_t nodes = 13;
    std::size_t upstreams = 20;
    std::size_t domains = 3; ///< Failure domains of each region.
    std::size_t regions = 1; ///< A node sends only to upstreams of its own region.
    std::size_t cellSize = 16; ///< Upstreams of one dispatcher at most, with fleet_topology::Cells.
    fleet_topology topology = fleet_topology::Cells;
    std::uint32_t slots = 16; ///< Of one upstream, shared out with fleet_topology::Shares.
    duration hop = std::chrono::microseconds(500); ///< Between entry node and dispatcher, one way.
    duration upstreamHop = std::chrono::microseconds(500); ///< Between dispatcher and upstream, one way.
    duration progressEvery = std::chrono::milliseconds(200); ///< Between reports of progress of streamed answers.
    std::size_t maximumCells = 3; ///< Cells that an entry node tries for one request.
    engine_options engine;
    std::uint64_t seed = 1;
};

/// What a fleet_simulation counted.
struct fleet_counts
{
    std::uint64_t attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t lost = 0; ///< Attempts whose upstream died.
    std::uint64_t refusedConnections = 0;
    std::uint64_t rerouted = 0; ///< Requests that an entry node sent to another cell.
};

/// Entry nodes with routers, dispatchers and engine models, joined by delays. @p Policy is the class of the dispatchers.
template<typename Policy>
class fleet_simulation
{
public:
    using policy_factory = std::function<Policy(std::uint64_t seed)>;
    using finish_handler = std::function<void(const simulated_result &)>;

    fleet_simulation(event_loop &loop, const fleet_options &options, const policy_factory &makePolicy, finish_handler onFinish)
        : m_loop(loop)
        , m_options(options)
        , m_onFinish(std::move(onFinish))
    {
        for (std::size_t i = 0; i < options.upstreams; ++i) {
            m_engines.push_back(std::make_unique<engine_model>(loop, options.engine));
            m_engineOf[upstreamId(i)] = i;
        }
        if (options.topology == fleet_topology::Cells) {
            makeCells(makePolicy);
        } else {
            makeShares(makePolicy);
        }
        makeRouters();
    }

    /// Takes in a request at entry node @p node.
    void submit(std::size_t node, const simulated_request &request)
    {
        in_flight entry{.request = request, .node = node, .submittedAt = m_loop.now()};
        const request_id id = request.dispatch.id;
        m_requests.emplace(id, std::move(entry));
        route(id);
    }

    [[nodiscard]] engine_model &engine(std::size_t upstream)
    {
        return *m_engines[upstream];
    }

    /// The failure domain of an upstream, from 0.
    [[nodiscard]] std::size_t domainOf(std::size_t upstream) const
    {
        return upstream % m_options.domains;
    }

    [[nodiscard]] const fleet_counts &counts() const
    {
        return m_counts;
    }

private:
    struct in_flight
    {
        simulated_request request;
        std::size_t node = 0;
        time_point submittedAt;
        std::vector<cell_id> tried;
    };
    struct cell
    {
        cell_id id;
        std::size_t region = 0;
        std::optional<std::size_t> onlyNode; ///< With fleet_topology::Shares.
        Policy policy;
        std::optional<time_point> wakeUp;
        std::unordered_map<std::uint64_t, upstream_id> attempts; ///< Sent, by attempt id.
        std::map<std::uint64_t, std::uint32_t> tokens; ///< Reported of streamed answers that have begun, by attempt id.
    };

    static upstream_id upstreamId(std::size_t index)
    {
        return upstream_id("u" + std::to_string(index));
    }

    [[nodiscard]] std::size_t regionOfUpstream(std::size_t upstream) const
    {
        return upstream * m_options.regions / m_options.upstreams;
    }

    [[nodiscard]] std::size_t regionOfNode(std::size_t node) const
    {
        return node * m_options.regions / m_options.nodes;
    }

    [[nodiscard]] failure_domain domainName(std::size_t region, std::size_t domain) const
    {
        return failure_domain("r" + std::to_string(region) + "-d" + std::to_string(domain));
    }

    void addCell(const cell_id &id,
                 std::size_t region,
                 std::optional<std::size_t> onlyNode,
                 Policy policy,
                 const std::vector<upstream_info> &upstreams)
    {
        m_cellIndex[id] = m_cells.size();
        m_cells.push_back(std::make_unique<cell>(cell{.id = id, .region = region, .onlyNode = onlyNode, .policy = std::move(policy)}));
        perform(*m_cells.back(), m_cells.back()->policy.setUpstreams(upstreams, m_loop.now()));
        reportProgress(*m_cells.back());
    }

    void makeCells(const policy_factory &makePolicy)
    {
        std::map<std::pair<std::size_t, std::size_t>, std::vector<upstream_info>> groups;
        for (std::size_t i = 0; i < m_options.upstreams; ++i) {
            groups[{regionOfUpstream(i), domainOf(i)}].push_back({.id = upstreamId(i)});
        }
        for (const auto &[place, members] : groups) {
            const std::size_t shards = (members.size() + m_options.cellSize - 1) / m_options.cellSize;
            for (std::size_t shard = 0; shard < shards; ++shard) {
                std::vector<upstream_info> part;
                for (std::size_t i = shard; i < members.size(); i += shards) {
                    part.push_back(members[i]);
                }
                const cell_id id{
                    .pool = m_pool, .domain = domainName(place.first, place.second), .shard = static_cast<std::uint32_t>(shard)};
                addCell(id, place.first, std::nullopt, makePolicy(m_options.seed + m_cells.size()), part);
            }
        }
    }

    /// Gives each node two slots on as many upstreams of its region as make an even share of all slots.
    void makeShares(const policy_factory &makePolicy)
    {
        for (std::size_t node = 0; node < m_options.nodes; ++node) {
            const std::size_t region = regionOfNode(node);
            std::vector<std::size_t> members;
            for (std::size_t i = 0; i < m_options.upstreams; ++i) {
                if (regionOfUpstream(i) == region) {
                    members.push_back(i);
                }
            }
            const std::size_t nodesOfRegion = m_options.nodes / m_options.regions;
            const std::size_t share = std::max<std::size_t>(1, members.size() * m_options.slots / nodesOfRegion / 2);
            std::vector<upstream_info> part;
            for (std::size_t i = 0; i < std::min(share, members.size()); ++i) {
                part.push_back({.id = upstreamId(members[(node * share + i) % members.size()])});
            }
            const cell_id id{.pool = m_pool, .domain = domainName(region, 0), .shard = static_cast<std::uint32_t>(node)};
            addCell(id, region, node, makePolicy(m_options.seed + node), part);
        }
    }

    void makeRouters()
    {
        for (std::size_t node = 0; node < m_options.nodes; ++node) {
            const std::size_t region = regionOfNode(node);
            auto router = std::make_unique<cell_router>(cell_router_options{
                .localDomain = domainName(region, node % m_options.domains),
                .seed = m_options.seed * 1000 + node,
            });
            std::vector<cell_id> known;
            for (const auto &candidate : m_cells) {
                if (candidate->region == region && (!candidate->onlyNode || *candidate->onlyNode == node)) {
                    known.push_back(candidate->id);
                }
            }
            router->setCells(known);
            m_routers.push_back(std::move(router));
        }
    }

    void route(const request_id &id)
    {
        in_flight &entry = m_requests.at(id);
        const auto chosen = m_routers[entry.node]->choose(m_pool, entry.request.dispatch, entry.tried, m_loop.now());
        if (!chosen) {
            end(id, {.what = disposition::NotRun, .reason = end_reason::NoUpstream});
            return;
        }
        entry.tried.push_back(*chosen);
        cell &target = *m_cells[m_cellIndex.at(*chosen)];
        m_loop.after(m_options.hop, [this, &target, id] {
            perform(target, target.policy.submit(m_requests.at(id).request.dispatch, m_loop.now()));
        });
    }

    /// Reports from time to time how far the streamed answers of a cell have come.
    void reportProgress(cell &target)
    {
        const std::map<std::uint64_t, std::uint32_t> reported = target.tokens;
        for (const auto &[attempt, tokens] : reported) {
            const auto sent = target.attempts.find(attempt);
            if (sent == target.attempts.end()) {
                target.tokens.erase(attempt);
                continue;
            }
            engine_model &engine = *m_engines[m_engineOf.at(sent->second)];
            const std::uint32_t total = engine.tokensOf(engineKey(target, {.value = attempt}));
            if (total > tokens) {
                target.tokens[attempt] = total;
                perform(target, target.policy.progressed({.value = attempt}, total - tokens, m_loop.now()));
            }
        }
        m_loop.after(m_options.progressEvery, [this, &target] {
            reportProgress(target);
        });
    }

    void perform(cell &target, const dispatch_actions &actions)
    {
        for (const dispatch_action &action : actions) {
            std::visit(
                [&](const auto &value) {
                    carryOut(target, value);
                },
                action);
        }
        scheduleTick(target);
    }

    void scheduleTick(cell &target)
    {
        const std::optional<time_point> due = target.policy.nextWakeUp();
        if (!due || (target.wakeUp && *target.wakeUp <= *due)) {
            return;
        }
        target.wakeUp = *due;
        m_loop.at(std::max(*due, m_loop.now()), [this, &target, when = *due] {
            if (target.wakeUp == when) {
                target.wakeUp.reset();
                perform(target, target.policy.tick(m_loop.now()));
            }
        });
    }

    [[nodiscard]] std::uint64_t engineKey(const cell &target, attempt_id attempt) const
    {
        return (static_cast<std::uint64_t>(m_cellIndex.at(target.id)) << 40U) | attempt.value;
    }

    void carryOut(cell &target, const start_attempt &action)
    {
        ++m_counts.attempts;
        m_counts.hedges += action.hedge ? 1 : 0;
        target.attempts[action.attempt.value] = action.upstream;
        const simulated_request request = m_requests.at(action.request).request;
        m_loop.after(m_options.upstreamHop, [this, &target, action, job = request.job, streamed = request.dispatch.streamed] {
            arriveAtEngine(target, action, job, streamed);
        });
    }

    void arriveAtEngine(cell &target, const start_attempt &action, const engine_job &job, bool streamed)
    {
        if (!target.attempts.contains(action.attempt.value)) {
            return;
        }
        engine_model &engine = *m_engines[m_engineOf.at(action.upstream)];
        const bool accepted = engine.start(
            engineKey(target, action.attempt),
            job,
            [this, &target, attempt = action.attempt, streamed] {
                if (!streamed) {
                    return;
                }
                m_loop.after(m_options.upstreamHop, [this, &target, attempt] {
                    target.tokens[attempt.value] = 0;
                    perform(target, target.policy.firstByte(attempt, m_loop.now()));
                });
            },
            [this, &target, attempt = action.attempt, tokens = job.tokens](engine_model::ending ending) {
                const bool done = ending == engine_model::ending::Done;
                m_counts.lost += done ? 0 : 1;
                report(target,
                       attempt,
                       {.outcome = done ? attempt_outcome::Succeeded : attempt_outcome::Lost,
                        .tokens = done ? static_cast<std::uint32_t>(tokens) : 0});
            });
        if (!accepted) {
            ++m_counts.refusedConnections;
            report(target, action.attempt, {.outcome = attempt_outcome::NotSent});
        }
    }

    void report(cell &target, attempt_id attempt, const attempt_result &result)
    {
        m_loop.after(m_options.upstreamHop, [this, &target, attempt, result] {
            if (result.outcome == attempt_outcome::Succeeded) {
                perform(target, target.policy.firstByte(attempt, m_loop.now()));
            }
            target.attempts.erase(attempt.value);
            perform(target, target.policy.attemptEnded(attempt, result, m_loop.now()));
        });
    }

    void carryOut(cell &target, const cancel_attempt &action)
    {
        ++m_counts.cancelled;
        const auto sent = target.attempts.find(action.attempt.value);
        if (sent == target.attempts.end()) {
            return;
        }
        engine_model &engine = *m_engines[m_engineOf.at(sent->second)];
        target.attempts.erase(sent);
        m_loop.after(m_options.upstreamHop, [&engine, key = engineKey(target, action.attempt)] {
            engine.cancel(key);
        });
    }

    void carryOut(cell &, const choose_attempt &)
    {
    }

    void carryOut(cell &target, const finish_request &action)
    {
        const cell_load load = target.policy.load(m_loop.now());
        m_loop.after(m_options.hop, [this, &target, action, load] {
            in_flight &entry = m_requests.at(action.request);
            m_routers[entry.node]->recordLoad(target.id, load, m_loop.now());
            if (mayGoElsewhere(entry, action.result)) {
                ++m_counts.rerouted;
                route(action.request);
            } else {
                end(action.request, action.result);
            }
        });
    }

    [[nodiscard]] bool mayGoElsewhere(const in_flight &entry, const final_result &result) const
    {
        const bool safe = result.what == disposition::NotRun || (result.what == disposition::Failed && entry.request.dispatch.repeatable);
        const bool useful =
            result.reason == end_reason::NoUpstream || result.reason == end_reason::Overloaded || result.reason == end_reason::Draining;
        return safe && useful && entry.tried.size() < m_options.maximumCells;
    }

    void end(const request_id &id, const final_result &result)
    {
        const auto found = m_requests.find(id);
        const in_flight entry = std::move(found->second);
        m_requests.erase(found);
        m_onFinish({.kind = entry.request.kind,
                    .result = result,
                    .submittedAt = entry.submittedAt,
                    .endedAt = m_loop.now(),
                    .tokens = entry.request.job.tokens});
    }

    event_loop &m_loop;
    fleet_options m_options;
    finish_handler m_onFinish;
    pool_name m_pool{"advisory"};
    std::vector<std::unique_ptr<engine_model>> m_engines;
    std::unordered_map<upstream_id, std::size_t> m_engineOf;
    std::vector<std::unique_ptr<cell>> m_cells;
    std::map<cell_id, std::size_t> m_cellIndex;
    std::vector<std::unique_ptr<cell_router>> m_routers;
    std::unordered_map<request_id, in_flight> m_requests;
    fleet_counts m_counts;
};

} // namespace banyan::bench
