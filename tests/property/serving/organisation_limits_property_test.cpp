#include "banyan/core/serving/organisation_limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 5ms;
constexpr duration reportInterval = 100ms;
constexpr duration longestAnswer = 100ms; // After which a waiting request is given up.
constexpr duration leaseTime = 600ms;
constexpr duration configurationTime = 1s; // In which all nodes that run read a change.
constexpr limit_tolerance usual{.overage = 0.1, .slack = 20};
constexpr limit_tolerance strict{.overage = 0.1, .slack = 0}; // Leaves no room for a fault of a part of a second.
const caller_id name("o1");
const std::uint8_t pool = poolOf(organisationKey(name));

struct simulated_node
{
    std::unique_ptr<organisation_limits> limits;
    node_id id;
    std::uint64_t sequence = 0;
    time_point reportsAt;
    time_point frozenUntil;
    time_point readsAt; ///< When it reads the newest limit and number of nodes.
    std::map<std::uint64_t, time_point> waiting; ///< Ends of the waits, by ask.
};

/// A message on its way to a node.
struct message_in_transit
{
    std::size_t to = 0;
    time_point arrivesAt;
    std::function<void(simulated_node &)> deliver;
};

/// Nodes that share the limit of one organisation, what happens to them, and the requests that they admit.
class limits_simulation
{
public:
    limits_simulation(unsigned seed, std::size_t nodes, double perSecond, double burst, const limit_tolerance &tolerance = usual)
        : m_tolerance(tolerance)
        , m_organisation{.name = name, .keys = {}, .priority = {}, .requestsPerSecond = perSecond, .burst = burst}
        , m_generator(seed)
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            add();
        }
        for (simulated_node &node : m_nodes) {
            read(node); // The number of all that start together.
        }
    }

    /// Runs with @p demand requests a second, which go to nodes by @p chooseNode.
    void run(duration time, double demand, const std::function<std::size_t()> &chooseNode)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += step) {
            if (!calm) {
                disturb();
            }
            deliver();
            m_owed += demand * std::chrono::duration<double>(step).count();
            for (; m_owed >= 1; m_owed -= 1) {
                request(chooseNode());
            }
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                if (m_now >= m_nodes[index].frozenUntil) {
                    work(index);
                }
            }
            sumShares();
        }
    }

    std::size_t pick(std::size_t most)
    {
        return std::uniform_int_distribution<std::size_t>(0, most)(m_generator);
    }

    /// The limit from now on; the nodes read it one after the other.
    void setLimit(double perSecond, double burst)
    {
        m_organisation.requestsPerSecond = perSecond;
        m_organisation.burst = burst;
        ++m_version;
        changed();
    }

    [[nodiscard]] time_point now() const
    {
        return m_now;
    }

    /// The most requests admitted in any window that begins at @p from or later.
    [[nodiscard]] std::size_t mostInWindow(time_point from = {}) const
    {
        std::size_t most = 0;
        for (auto first = std::lower_bound(m_admitted.begin(), m_admitted.end(), from); first != m_admitted.end(); ++first) {
            const auto end = std::lower_bound(first, m_admitted.end(), *first + m_tolerance.window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    [[nodiscard]] std::size_t nodeCount() const
    {
        return m_nodes.size();
    }

    /// The sum of the parts of the limit that nodes hold; the most that was seen.
    [[nodiscard]] double mostShares() const
    {
        return m_mostShares;
    }

    bool calm = false;
    bool mayAdd = false; ///< Whether nodes are added, which the others learn one after the other.
    std::size_t admitted = 0;
    std::size_t refused = 0;

private:
    void add()
    {
        m_nodes.emplace_back();
        start(m_nodes.back());
        changed();
    }

    void start(simulated_node &node)
    {
        node.id = node_id("n" + std::to_string(++m_started));
        node.limits = std::make_unique<organisation_limits>(
            organisation_limits_options{.self = node.id, .startedAt = m_now, .tolerance = m_tolerance});
        node.sequence = 0;
        node.waiting.clear();
        node.reportsAt = m_now + std::chrono::milliseconds(pick(100));
        read(node);
    }

    void read(simulated_node &node)
    {
        node.limits->configure(m_version, std::span(&m_organisation, 1), m_now);
        node.limits->setNodes(m_nodes.size(), leaseTime, true);
    }

    void changed()
    {
        for (simulated_node &node : m_nodes) {
            node.readsAt = std::max(m_now, node.frozenUntil) + step * static_cast<int>(pick(configurationTime / step - 1));
        }
    }

    void sumShares()
    {
        double sum = 0;
        for (simulated_node &node : m_nodes) {
            if (m_now >= node.frozenUntil) { // The leases of a frozen one end before it does anything else.
                node.limits->advance(m_now);
                sum += node.limits->shareOf(pool);
            }
        }
        m_mostShares = std::max(m_mostShares, sum);
    }

    /// The node with most shares.
    [[nodiscard]] std::size_t keeper() const
    {
        const auto most = std::max_element(m_nodes.begin(), m_nodes.end(), [&](const auto &left, const auto &right) {
            return left.limits->shareOf(pool) < right.limits->shareOf(pool);
        });
        return static_cast<std::size_t>(most - m_nodes.begin());
    }

    void disturb()
    {
        if (pick(500) != 0) { // So that most of the shares are often in one hand.
            return;
        }
        const std::size_t index = pick(1) == 0 ? keeper() : pick(m_nodes.size() - 1);
        simulated_node &node = m_nodes[index];
        switch (pick(6)) {
        case 0: // A cut in one direction.
            m_cuts.insert({index, pick(m_nodes.size() - 1)});
            break;
        case 1: // A node is cut off from all others.
            for (std::size_t other = 0; other < m_nodes.size(); ++other) {
                m_cuts.insert({index, other});
                m_cuts.insert({other, index});
            }
            break;
        case 2:
            node.frozenUntil = m_now + std::chrono::milliseconds(50 + pick(3000));
            node.readsAt = std::max(node.readsAt, node.frozenUntil);
            break;
        case 3:
            start(node); // Killed, and started again at once.
            node.frozenUntil = m_now;
            break;
        case 4:
            if (mayAdd && m_nodes.size() < 10) {
                add();
            }
            break;
        default:
            m_cuts.clear();
        }
    }

    void send(std::size_t from, std::size_t to, const std::function<void(simulated_node &)> &deliver)
    {
        const std::size_t copies = calm ? 1 : (m_cuts.contains({from, to}) || pick(50) == 0 ? 0 : 1 + (pick(3) == 0 ? 1 : 0));
        for (std::size_t copy = 0; copy < copies; ++copy) {
            const std::size_t delay = !calm && pick(30) == 0 ? pick(1500) : pick(calm ? 5 : 40);
            m_inTransit.push_back({.to = to, .arrivesAt = m_now + std::chrono::milliseconds(delay), .deliver = deliver});
        }
    }

    /// What reaches a frozen node waits until it goes on.
    void deliver()
    {
        std::vector<message_in_transit> pending = std::move(m_inTransit);
        m_inTransit.clear();
        for (message_in_transit &message : pending) {
            if (m_now >= message.arrivesAt && m_now >= m_nodes[message.to].frozenUntil) {
                message.deliver(m_nodes[message.to]);
            } else {
                m_inTransit.push_back(std::move(message));
            }
        }
    }

    [[nodiscard]] std::size_t indexOf(const node_id &id) const
    {
        const auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const simulated_node &node) {
            return node.id == id;
        });
        return static_cast<std::size_t>(found - m_nodes.begin());
    }

    void count(const limit_decision &decision)
    {
        if (decision.verdict == limit_verdict::Admitted) {
            m_admitted.push_back(m_now);
            ++admitted;
        } else if (decision.verdict == limit_verdict::Refused) {
            ++refused;
        }
    }

    void request(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        if (m_now < node.frozenUntil) {
            return;
        }
        const limit_decision decision = node.limits->admit(name, m_now);
        count(decision);
        if (!decision.ask) {
            return;
        }
        const credit_ask ask = decision.ask->ask;
        if (decision.verdict == limit_verdict::Waiting) {
            node.waiting.emplace(ask.id, m_now + longestAnswer);
        }
        const std::size_t to = indexOf(decision.ask->to);
        if (to == m_nodes.size()) {
            return; // That process has ended.
        }
        send(index, to, [this, ask, index, to](simulated_node &keeper) {
            const credit_grant grant = keeper.limits->answer(ask, m_now);
            send(to, index, [this, grant, sender = ask.sender](simulated_node &asker) {
                const auto settled = asker.id == sender ? asker.limits->record(grant, m_now) : std::nullopt;
                if (settled && asker.waiting.erase(settled->ask) > 0) {
                    count(settled->decision);
                }
            });
        });
    }

    void work(std::size_t index)
    {
        simulated_node &node = m_nodes[index];
        if (m_now >= node.readsAt) {
            node.readsAt = time_point::max();
            read(node);
        }
        std::erase_if(node.waiting, [&](const auto &entry) {
            const bool isOver = m_now >= entry.second;
            if (isOver) {
                count(node.limits->giveUp(entry.first, m_now));
            }
            return isOver;
        });
        if (m_now < node.reportsAt) {
            return;
        }
        node.reportsAt = m_now + reportInterval;
        const std::uint64_t sequence = ++node.sequence;
        const limit_pool_report report = node.limits->report(sequence, m_now);
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other != index) {
                send(index, other, [this, from = node.id, sequence, report](simulated_node &receiver) {
                    receiver.limits->recordReport(from, sequence, true, report, m_now);
                });
            }
        }
    }

    limit_tolerance m_tolerance;
    organisation m_organisation;
    std::uint64_t m_version = 1;
    std::mt19937 m_generator;
    time_point m_now = time_point(1000s);
    std::vector<simulated_node> m_nodes;
    std::size_t m_started = 0;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts; ///< From, to.
    std::vector<message_in_transit> m_inTransit;
    std::vector<time_point> m_admitted;
    double m_owed = 0; ///< Requests that are due.
    double m_mostShares = 0;
};

/// What the users' rule allows in a window.
std::size_t toleratedInWindow(double perSecond, double burst, const limit_tolerance &tolerance = usual)
{
    const double window = std::chrono::duration<double>(tolerance.window).count();
    return static_cast<std::size_t>((perSecond * window + burst) * (1 + tolerance.overage) + tolerance.slack);
}

} // namespace

TEST_CASE("nodes together keep an organisation's limit whatever happens to nodes and reports")
{
    rc::prop("cuts, pauses, kills, additions and lost, late or repeated messages", [](unsigned seed) {
        struct limit_case
        {
            double perSecond;
            double burst;
            limit_tolerance tolerance;
        };
        for (const auto &[perSecond, burst, tolerance] : {limit_case{7, 7, usual}, limit_case{100, 0, strict}}) {
            limits_simulation simulation(seed, 6, perSecond, burst, tolerance);
            simulation.mayAdd = seed % 2 == 0;
            for (int spell = 0; spell < 5; ++spell) { // Credit gathers while nothing comes.
                const bool isAnywhere = simulation.pick(1) == 0;
                simulation.run(std::chrono::milliseconds(simulation.pick(2000)), 0, {});
                simulation.run(std::chrono::milliseconds(2000 + simulation.pick(5000)), 7 * perSecond, [&] {
                    return isAnywhere ? simulation.pick(simulation.nodeCount() - 1) : simulation.pick(1);
                });
            }
            RC_ASSERT(simulation.mostInWindow() <= toleratedInWindow(perSecond, burst, tolerance));
            RC_ASSERT((simulation.mayAdd || simulation.mostShares() < 1.001));
        }
    });
}

TEST_CASE("nodes together keep a limit that sinks, one window after all of them have read it")
{
    rc::prop("the same while a limit sinks", [](unsigned seed) {
        limits_simulation simulation(seed, 6, 100, 100);
        const auto anywhere = [&] {
            return simulation.pick(simulation.nodeCount() - 1);
        };
        simulation.run(8s, 150, anywhere);
        simulation.setLimit(5, 5);
        const time_point changedAt = simulation.now();
        simulation.run(12s, 150, anywhere);
        // A node that is frozen by then for the longest time reads it after it wakes.
        const time_point bindsFrom = changedAt + 3050ms + configurationTime + usual.window;
        RC_ASSERT(simulation.mostInWindow(bindsFrom) <= toleratedInWindow(5, 5));
    });
}

TEST_CASE("nodes that hear each other refuse an organisation nothing at nineteen twentieths of its limit")
{
    const auto sizes = GENERATE(std::pair<std::size_t, double>{7, 7},
                                std::pair<std::size_t, double>{74, 7},
                                std::pair<std::size_t, double>{74, 150},
                                std::pair<std::size_t, double>{74, 1});
    const std::size_t nodes = sizes.first;
    const double perSecond = sizes.second;
    limits_simulation simulation(1, nodes, perSecond, perSecond);
    simulation.calm = true;
    std::size_t turn = 0;
    simulation.run(5s, 0, [] {
        return 0;
    });
    simulation.run(20s, 0.95 * perSecond, [&] {
        return simulation.pick(nodes - 1);
    });
    simulation.run(20s, 0.95 * perSecond, [&] { // Uneven, most of it at one node.
        return simulation.pick(3) != 0 ? 0 : simulation.pick(nodes - 1);
    });
    simulation.run(20s, 0.95 * perSecond, [] {
        return 3;
    });
    simulation.run(20s, 0.95 * perSecond, [&] { // Moving, some seconds at each node.
        return (turn++ / static_cast<std::size_t>(perSecond * 3)) % nodes;
    });
    CHECK(simulation.refused == 0);
}

TEST_CASE("nodes that hear each other admit nine tenths of the limit of an organisation that sends seven times as much")
{
    const auto sizes =
        GENERATE(std::pair<std::size_t, double>{7, 7}, std::pair<std::size_t, double>{74, 7}, std::pair<std::size_t, double>{74, 150});
    const std::size_t nodes = sizes.first;
    const double perSecond = sizes.second;
    limits_simulation simulation(1, nodes, perSecond, perSecond);
    simulation.calm = true;
    const auto anywhere = [&] {
        return simulation.pick(nodes - 1);
    };
    simulation.run(10s, 7 * perSecond, anywhere); // The burst is used up.
    const std::size_t before = simulation.admitted;
    simulation.run(30s, 7 * perSecond, anywhere);
    CHECK(static_cast<double>(simulation.admitted - before) >= 0.9 * perSecond * 30);
    CHECK(simulation.mostInWindow() <= toleratedInWindow(perSecond, perSecond));
}
