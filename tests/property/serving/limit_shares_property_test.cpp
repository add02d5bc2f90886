#include "banyan/core/serving/allowed_rate.h"
#include "banyan/core/serving/limit_shares.h"

#include "banyan/core/serving/upstream_cell.h"
#include "banyan/core/token_bucket.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr int nodeCount = 7;
constexpr duration step = 10ms;
constexpr duration reportInterval = 250ms;
constexpr duration hearingTime = 600ms; // A node that was not heard for so long is not claimed from.
constexpr duration window = 4s;
const cell_key cell = keyOf(service_name("s"), upstream_cell());

/// A report on its way.
struct report_in_transit
{
    int from = 0;
    int to = 0;
    time_point arrivesAt;
    std::vector<share_lease> leases;
};

/// A node that starts as many runs as its part of the limit allows.
struct simulated_node
{
    explicit simulated_node(const std::string &name)
        : id(name)
        , shares({.self = id})
    {
        shares.setNodeCount(nodeCount);
    }

    node_id id;
    limit_shares shares;
    std::map<int, time_point> heardAt; ///< By node.
    time_point reportsAt;
    token_bucket starts = token_bucket::startingEmpty(0, 1, time_point());
    time_point pausedUntil;
};

/// Nodes that pause, restart and are cut off from each other in single directions, and the requests that they start together.
class limit_simulation
{
public:
    /// Simulates an upstream that takes @p limit requests per second.
    limit_simulation(unsigned seed, double limit)
        : m_limit(limit)
        , m_generator(seed)
    {
        for (int index = 0; index < nodeCount; ++index) {
            m_nodes.emplace_back("n" + std::to_string(index));
            m_order.push_back(index);
        }
    }

    void run(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += step) {
            disturb();
            deliver();
            for (int index = 0; index < nodeCount; ++index) {
                if (m_now >= m_nodes[static_cast<std::size_t>(index)].pausedUntil) {
                    work(index);
                }
            }
        }
    }

    /// The most requests started within any window.
    [[nodiscard]] std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < m_started.size(); ++first) {
            const auto end = std::lower_bound(m_started.begin(), m_started.end(), m_started[first] + window);
            most = std::max(most, static_cast<std::size_t>(end - m_started.begin()) - first);
        }
        return most;
    }

    [[nodiscard]] std::size_t started() const
    {
        return m_started.size();
    }

    bool calm = false; ///< Whether nothing fails.

private:
    int pick(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_generator);
    }

    void disturb()
    {
        if (calm || pick(0, 60) != 0) {
            return;
        }
        const int index = pick(0, nodeCount - 1);
        switch (pick(0, 5)) {
        case 0: // A cut in one direction between two nodes, or its end.
            toggleCut({index, pick(0, nodeCount - 1)});
            break;
        case 1: // A node is cut off from all others, in both directions.
            for (int other = 0; other < nodeCount; ++other) {
                m_cuts.insert({index, other});
                m_cuts.insert({other, index});
            }
            break;
        case 2:
            m_nodes[static_cast<std::size_t>(index)].pausedUntil = m_now + std::chrono::milliseconds(pick(50, 3000));
            break;
        case 3: // Other nodes place, as when nodes lose the store and regain it one after the other.
            std::shuffle(m_order.begin(), m_order.end(), m_generator);
            break;
        case 4: // Work comes in bursts, so that starts are kept for later.
            m_hasWork = !m_hasWork;
            break;
        default: // All cuts end.
            m_cuts.clear();
        }
    }

    void toggleCut(std::pair<int, int> link)
    {
        if (m_cuts.erase(link) == 0) {
            m_cuts.insert(link);
        }
    }

    void deliver()
    {
        std::erase_if(m_inTransit, [&](const report_in_transit &report) {
            simulated_node &receiver = m_nodes[static_cast<std::size_t>(report.to)];
            // What reaches a paused node waits until it goes on.
            if (m_now < report.arrivesAt || m_now < receiver.pausedUntil) {
                return false;
            }
            receiver.heardAt[report.from] = m_now;
            receiver.shares.record(m_nodes[static_cast<std::size_t>(report.from)].id, report.leases, m_now);
            return true;
        });
    }

    /// The first node in order that was heard lately, or this one, places the requests of the cell.
    [[nodiscard]] node_id placingNode(int self) const
    {
        const simulated_node &node = m_nodes[static_cast<std::size_t>(self)];
        for (const int index : m_order) {
            const auto heard = node.heardAt.find(index);
            if (index == self || (heard != node.heardAt.end() && m_now - heard->second < hearingTime)) {
                return m_nodes[static_cast<std::size_t>(index)].id;
            }
        }
        return node.id;
    }

    void work(int index)
    {
        simulated_node &node = m_nodes[static_cast<std::size_t>(index)];
        if (m_now >= node.reportsAt) {
            node.reportsAt = m_now + reportInterval;
            const std::vector<share_lease> leases = node.shares.renew({{cell, placingNode(index)}}, m_now);
            for (int other = 0; other < nodeCount; ++other) {
                if (other != index && !m_cuts.contains({index, other}) && (calm || pick(0, 20) != 0)) {
                    m_inTransit.push_back(
                        {.from = index, .to = other, .arrivesAt = m_now + std::chrono::milliseconds(pick(0, 20)), .leases = leases});
                }
            }
        }
        const allowed_rate allowed = allowedRateOf(m_limit, node.shares.shareOf(cell, m_now));
        node.starts.setRate(allowed.toleratedPerSecond, allowed.toleratedBurst, m_now);
        while (m_hasWork && node.starts.available(m_now) >= 1) {
            node.starts.spend(m_now);
            m_started.push_back(m_now);
        }
    }

    double m_limit;
    std::mt19937 m_generator;
    time_point m_now{};
    std::deque<simulated_node> m_nodes;
    bool m_hasWork = true;
    std::vector<int> m_order; ///< In which nodes are preferred for placing.
    std::set<std::pair<int, int>> m_cuts; ///< From, to.
    std::vector<report_in_transit> m_inTransit;
    std::vector<time_point> m_started;
};

} // namespace

TEST_CASE("nodes together keep a limit in any order of cuts, lost reports and pauses")
{
    rc::prop("at limits below and above one a second", [](unsigned seed) {
        for (const double limit : {0.2, 1.0, 3.0}) {
            limit_simulation simulation(seed, limit);
            simulation.run(60s);
            // What the users' rule allows an upstream in four seconds.
            RC_ASSERT(simulation.mostInWindow() <= static_cast<std::size_t>(1.5 * limit * 4 + 5));
        }
    });
}

TEST_CASE("nodes that hear each other use nine tenths of a limit or more")
{
    constexpr double limit = 3;
    limit_simulation simulation(1, limit);
    simulation.calm = true;
    simulation.run(60s);
    CHECK(simulation.started() >= static_cast<std::size_t>(0.9 * limit * 60));
}
