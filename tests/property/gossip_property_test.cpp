#include "gossip_fabric.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <set>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<gossip_fabric> startedFleet(std::size_t nodes, gossip_fabric_options options, duration warmUp = 10s)
{
    auto fleet = std::make_unique<gossip_fabric>(std::move(options));
    for (std::size_t index = 0; index < nodes; ++index) {
        fleet->add("d" + std::to_string(index % 3));
        fleet->at(index).history.applySnapshot({.version = 1, .json = "{}"});
    }
    fleet->list();
    fleet->runFor(warmUp);
    return fleet;
}

configuration_patch patchTo(configuration_version version)
{
    return {.version = version, .mergePatch = R"({"callers":{"c)" + std::to_string(version) + R"(":{}}})"};
}

std::size_t seen(gossip_fabric &fleet, std::size_t index)
{
    return fleet.at(index).node.nodes().size();
}

/// Running nodes whose view has not @p expected nodes.
std::size_t wrongViews(gossip_fabric &fleet, std::size_t expected)
{
    std::size_t result = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        result += fleet.at(index).running && seen(fleet, index) != expected ? 1 : 0;
    }
    return result;
}

std::uint64_t deathsDeclared(gossip_fabric &fleet)
{
    std::uint64_t result = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        result += fleet.at(index).node.counters().deathsDeclared;
    }
    return result;
}

/// Messages that the busiest node sends a second, over @p seconds.
double busiestRate(gossip_fabric &fleet, int seconds)
{
    std::vector<std::uint64_t> before;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        before.push_back(fleet.at(index).messages);
    }
    fleet.runFor(std::chrono::seconds(seconds));
    std::uint64_t most = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        most = std::max(most, fleet.at(index).messages - before[index]);
    }
    return static_cast<double>(most) / seconds;
}

/// A fleet to which everything happens, beside the naive version: one list of committed patches and one set of nodes.
class stressed_fleet
{
public:
    stressed_fleet()
        : m_nodes(*rc::gen::inRange<std::size_t>(2, 12))
        , m_fleet(startedFleet(m_nodes,
                               {.seed = *rc::gen::arbitrary<std::uint64_t>(),
                                .loss = *rc::gen::element(0.0, 0.05, 0.2),
                                .duplication = *rc::gen::element(0.0, 0.2),
                                .replay = *rc::gen::element(0.0, 0.1)}))
        , m_highest(m_nodes, 1)
    {
        m_fleet->onEvent([this](std::size_t index) {
            const configuration_version version = m_fleet->at(index).history.version().value();
            m_wentBack = m_wentBack || version < m_highest[index];
            m_invented = m_invented || version > m_committed;
            m_highest[index] = version;
        });
    }

    void disturb()
    {
        switch (*rc::gen::weightedElement<disturbance>({{6, disturbance::Patch},
                                                        {2, disturbance::Pause},
                                                        {2, disturbance::Cut},
                                                        {2, disturbance::Heal},
                                                        {1, disturbance::Kill},
                                                        {1, disturbance::Leave},
                                                        {1, disturbance::Depart}})) {
        case disturbance::Patch:
            commit(anyRunning());
            break;
        case disturbance::Pause:
            m_fleet->pause(anyRunning(), std::chrono::milliseconds(*rc::gen::inRange(100, 20000)));
            break;
        case disturbance::Cut:
            cut(*rc::gen::inRange<std::size_t>(1, m_nodes), *rc::gen::arbitrary<bool>());
            break;
        case disturbance::Heal:
            m_fleet->cutLinks(nullptr);
            break;
        case disturbance::Kill:
            end(anyRunning());
            break;
        case disturbance::Leave:
            leave(anyRunning());
            break;
        case disturbance::Depart:
            depart(anyRunning());
            break;
        }
        m_fleet->runFor(std::chrono::milliseconds(*rc::gen::inRange(0, 5000)));
    }

    /// Ends all faults and lets one node read the platform's head, as each does now and then.
    void heal()
    {
        m_fleet->heal();
        m_fleet->runFor(25s); // the longest pause
        catchUp(anyRunning());
        m_fleet->runFor(60s);
    }

    [[nodiscard]] bool wentBack() const
    {
        return m_wentBack;
    }

    [[nodiscard]] bool invented() const
    {
        return m_invented;
    }

    [[nodiscard]] configuration_version committed() const
    {
        return m_committed;
    }

    [[nodiscard]] std::vector<configuration_version> versions()
    {
        std::vector<configuration_version> result;
        for (const std::size_t index : running()) {
            result.push_back(m_fleet->at(index).history.version().value());
        }
        return result;
    }

    /// What each running node ought to see.
    [[nodiscard]] std::set<node_id> expectedView()
    {
        std::set<node_id> result;
        for (const std::size_t index : running()) {
            if (!m_leaving.contains(index)) {
                result.insert(m_fleet->at(index).node.self().node.id);
            }
        }
        return result;
    }

    [[nodiscard]] std::vector<std::set<node_id>> views()
    {
        std::vector<std::set<node_id>> result;
        for (const std::size_t index : running()) {
            std::set<node_id> view;
            for (const node_info &node : m_fleet->at(index).node.nodes()) {
                view.insert(node.id);
            }
            result.push_back(view);
        }
        return result;
    }

private:
    enum class disturbance {
        Patch,
        Pause,
        Cut,
        Heal,
        Kill,
        Leave,
        Depart,
    };

    [[nodiscard]] std::vector<std::size_t> running() const
    {
        std::vector<std::size_t> result;
        for (std::size_t index = 0; index < m_nodes; ++index) {
            if (m_fleet->at(index).running) {
                result.push_back(index);
            }
        }
        return result;
    }

    [[nodiscard]] std::size_t anyRunning() const
    {
        return *rc::gen::elementOf(running());
    }

    void catchUp(std::size_t index)
    {
        for (configuration_version version = m_highest[index] + 1; version <= m_committed; ++version) {
            m_fleet->change(index, patchTo(version));
        }
        m_highest[index] = m_committed;
    }

    void commit(std::size_t index)
    {
        catchUp(index);
        ++m_committed;
        catchUp(index);
    }

    void cut(std::size_t firstOfOtherSide, bool oneWay)
    {
        m_fleet->cutLinks([firstOfOtherSide, oneWay](std::size_t from, std::size_t to) {
            const bool crosses = (from < firstOfOtherSide) != (to < firstOfOtherSide);
            return crosses && (!oneWay || from < firstOfOtherSide);
        });
    }

    void end(std::size_t index)
    {
        if (running().size() > 1) {
            m_fleet->kill(index);
        }
    }

    void leave(std::size_t index)
    {
        m_leaving.insert(index);
        m_fleet->perform(index, m_fleet->at(index).node.leave(m_fleet->now()));
    }

    void depart(std::size_t index)
    {
        if (running().size() > 1) {
            m_fleet->perform(index, m_fleet->at(index).node.depart(m_fleet->now()));
            m_fleet->kill(index);
        }
    }

    std::size_t m_nodes;
    std::unique_ptr<gossip_fabric> m_fleet;
    std::vector<configuration_version> m_highest;
    configuration_version m_committed = 1;
    std::set<std::size_t> m_leaving;
    bool m_wentBack = false;
    bool m_invented = false;
};

} // namespace

TEST_CASE("versions never go back, and after healing every node has the head and the same view as a naive list")
{
    rc::prop("random losses, repetitions, old messages, pauses, cuts, deaths, departures and patches", [] {
        stressed_fleet fleet;
        const int disturbances = *rc::gen::inRange(1, 20);
        for (int count = 0; count < disturbances; ++count) {
            fleet.disturb();
        }
        fleet.heal();
        RC_ASSERT(!fleet.wentBack());
        RC_ASSERT(!fleet.invented());
        for (const configuration_version version : fleet.versions()) {
            RC_ASSERT(version == fleet.committed());
        }
        const std::set<node_id> expected = fleet.expectedView();
        for (const std::set<node_id> &view : fleet.views()) {
            RC_ASSERT((view == expected));
        }
    });
}

TEST_CASE("nodes that know only the list find each other")
{
    const auto fleet = startedFleet(40, {});
    CHECK(wrongViews(*fleet, 40) == 0);
}

TEST_CASE("a node that fails is dropped by all within seconds")
{
    const auto fleet = startedFleet(40, {});
    fleet->kill(7);
    fleet->runFor(10s);
    CHECK(wrongViews(*fleet, 39) == 0);
}

TEST_CASE("a node that starts at the address of one that ended replaces it, faster than probes would find out")
{
    const auto fleet = startedFleet(10, {});
    fleet->kill(4);
    const std::size_t next = fleet->add("d1", fleet->at(4).node.self().node.peerAddress);
    fleet->list();
    fleet->runFor(1s);
    CHECK(wrongViews(*fleet, 10) <= 1); // rumors reach about 94 in 100 nodes; probes bring the rest
    fleet->runFor(1s);
    CHECK(wrongViews(*fleet, 10) == 0);
    CHECK(fleet->at(0).node.members().find(fleet->at(next).node.self().node.id) != nullptr);
}

TEST_CASE("a planned departure is known to nearly all at once and to all within seconds, without anybody being suspected")
{
    const auto fleet = startedFleet(40, {});
    fleet->perform(7, fleet->at(7).node.leave(fleet->now()));
    fleet->runFor(200ms);
    CHECK(wrongViews(*fleet, 39) <= 4); // rumors reach about 94 in 100 nodes; probes bring the rest
    fleet->runFor(2800ms);
    CHECK(wrongViews(*fleet, 39) == 0);
    fleet->perform(7, fleet->at(7).node.depart(fleet->now()));
    fleet->kill(7);
    fleet->runFor(20s);
    CHECK(wrongViews(*fleet, 39) == 0);
    CHECK(deathsDeclared(*fleet) == 0);
}

TEST_CASE("a node that starts at the address of one that ended replaces it within a second")
{
    const auto fleet = startedFleet(10, {});
    fleet->kill(4);
    fleet->add("d1", fleet->at(4).node.self().node.peerAddress);
    fleet->list();
    fleet->runFor(1s);
    CHECK(wrongViews(*fleet, 10) == 0);
}

TEST_CASE("a planned departure is known to all within a second")
{
    const auto fleet = startedFleet(40, {});
    fleet->perform(7, fleet->at(7).node.leave(fleet->now()));
    fleet->runFor(1s);
    CHECK(wrongViews(*fleet, 39) == 0);
}

TEST_CASE("a patch is in force everywhere within a second, also one that does not fit in a message")
{
    const auto fleet = startedFleet(40, {.loss = 0.02});
    const std::string largeName(60, 'n');
    configuration_patch large{.version = 3, .mergePatch = R"({"callers":{)"};
    for (int number = 0; number < 60; ++number) {
        large.mergePatch += (number == 0 ? "\"" : ",\"") + largeName + std::to_string(number) + "\":{}";
    }
    large.mergePatch += "}}";
    for (const configuration_patch &patch : {patchTo(2), large}) {
        fleet->change(3, patch);
        fleet->runFor(patch.version == 2 ? 1500ms : 4s);
        for (std::size_t index = 0; index < fleet->size(); ++index) {
            CHECK(fleet->at(index).history.version() == patch.version);
        }
    }
}

TEST_CASE("a node without configuration gets the newest one from peers")
{
    const auto fleet = startedFleet(10, {});
    fleet->change(3, patchTo(2));
    const std::size_t late = fleet->add();
    fleet->list();
    fleet->runFor(5s);
    CHECK(fleet->at(late).history.version() == 2);
}

TEST_CASE("under lost packets hardly a running node is taken for dead")
{
    const auto fleet = startedFleet(40, {.loss = 0.05});
    fleet->runFor(10min);
    CHECK(deathsDeclared(*fleet) == 0);
    CHECK(wrongViews(*fleet, 40) == 0);
}

TEST_CASE("a node that was paused does not take the others for dead, and comes back itself")
{
    const auto fleet = startedFleet(20, {});
    for (std::size_t paused = 0; paused < 10; ++paused) {
        const gossip_counters &counters = fleet->at(paused).node.counters();
        const std::uint64_t before = counters.deathsDeclared;
        fleet->pause(paused, 15s);
        fleet->runFor(25s);
        CHECK(wrongViews(*fleet, 20) == 0);
        CHECK(counters.deathsDeclared == before);
    }
}

TEST_CASE("a tick that comes late judges nobody")
{
    configuration_history history({});
    const time_point start(1000s);
    gossip_node node({.self = {.id = node_id("a"), .peerAddress = endpoint::parse("10.0.0.1:7400")}}, history, start);
    gossip_message message;
    message.sender.node = {.id = node_id("b"), .peerAddress = endpoint::parse("10.0.0.2:7400")};
    message.kind = gossip_kind::Rumor;
    message.updates = {{.node = {.id = node_id("c"), .peerAddress = endpoint::parse("10.0.0.3:7400")}, .state = member_state::Suspect}};
    static_cast<void>(node.receive(message, start));
    time_point now = start;
    while (now <= start + 1s) { // until a ping waits for its ack
        static_cast<void>(node.tick(now));
        now = node.nextWakeUp();
    }
    static_cast<void>(node.tick(now + 20s));
    CHECK(node.counters().pausesNoticed == 1);
    CHECK(node.counters().suspicionsRaised == 0);
    CHECK(node.counters().deathsDeclared == 0);
    CHECK(node.nodes().size() == 3);
}

TEST_CASE("a pause shorter than a suspicion's timeout is forgiven")
{
    const auto fleet = startedFleet(20, {});
    for (std::size_t paused = 0; paused < 20; ++paused) {
        fleet->pause(paused, 1500ms);
        fleet->runFor(10s);
    }
    CHECK(deathsDeclared(*fleet) == 0);
}

TEST_CASE("two sides that lose each other for minutes go on and agree again without a storm")
{
    constexpr std::size_t nodes = 60;
    const auto fleet = startedFleet(nodes, {});
    const double usual = busiestRate(*fleet, 20);
    fleet->cutLinks([](std::size_t from, std::size_t to) {
        return (from < 20) != (to < 20);
    });
    fleet->runFor(3min);
    CHECK(seen(*fleet, 0) == 20);
    CHECK(seen(*fleet, nodes - 1) == 40);
    fleet->change(0, patchTo(2));
    fleet->runFor(10s);
    CHECK(fleet->at(nodes - 1).history.version() == 1);
    fleet->heal();
    const double healing = busiestRate(*fleet, 5);
    CHECK(healing < 3 * usual);
    CHECK(fleet->at(nodes - 1).history.version() == 2);
    fleet->runFor(40s);
    CHECK(wrongViews(*fleet, nodes) == 0);
}

TEST_CASE("two nodes that took each other for dead agree with the first ping that gets through")
{
    const auto fleet = startedFleet(2, {});
    fleet->cutLinks([](std::size_t, std::size_t) {
        return true;
    });
    fleet->runFor(1min);
    CHECK(wrongViews(*fleet, 1) == 0);
    fleet->heal();
    fleet->runFor(1050ms); // a node without peers pings the list's addresses each second
    CHECK(wrongViews(*fleet, 2) == 0);
}

TEST_CASE("the messages that a node sends do not grow with the fleet")
{
    const auto small = startedFleet(10, {}, 60s);
    const auto large = startedFleet(120, {}, 60s);
    CHECK(busiestRate(*large, 60) < 1.5 * busiestRate(*small, 60));
}
