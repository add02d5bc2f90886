#include "gossip_simulator.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <set>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<gossip_simulator> startFleet(std::size_t nodes, gossip_simulator_options options, duration warmUp = 10s)
{
    auto fleet = std::make_unique<gossip_simulator>(std::move(options));
    for (std::size_t index = 0; index < nodes; ++index) {
        fleet->add("d" + std::to_string(index % 3));
        fleet->at(index).history.applySnapshot({.version = 1, .json = "{}"});
    }
    fleet->distributeAddresses();
    fleet->runFor(warmUp);
    return fleet;
}

configuration_patch patchTo(configuration_version version)
{
    return {.version = version, .mergePatch = R"({"callers":{"c)" + std::to_string(version) + R"(":{}}})"};
}

std::size_t viewSize(gossip_simulator &fleet, std::size_t index)
{
    return fleet.at(index).node.nodes().size();
}

/// The number of running nodes whose view does not have @p expected nodes.
std::size_t wrongViews(gossip_simulator &fleet, std::size_t expected)
{
    std::size_t result = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        result += fleet.at(index).running && viewSize(fleet, index) != expected ? 1 : 0;
    }
    return result;
}

std::uint64_t deathsDeclared(gossip_simulator &fleet)
{
    std::uint64_t result = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        result += fleet.at(index).node.counters().deathsDeclared;
    }
    return result;
}

/// Runs the fleet for @p seconds and returns the messages per second of the node that sends most.
double highestSendRate(gossip_simulator &fleet, int seconds)
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

/// A fleet with random faults, and a reference model of it: the version of the last committed patch and the set of nodes.
class stressed_fleet
{
public:
    stressed_fleet()
        : m_nodes(*rc::gen::inRange<std::size_t>(2, 12))
        , m_fleet(startFleet(m_nodes,
                             {.seed = *rc::gen::arbitrary<std::uint64_t>(),
                              .loss = *rc::gen::element(0.0, 0.05, 0.2),
                              .duplication = *rc::gen::element(0.0, 0.2),
                              .replay = *rc::gen::element(0.0, 0.1)}))
        , m_highest(m_nodes, 1)
    {
        m_fleet->onEvent([this](std::size_t index) {
            const configuration_version version = m_fleet->at(index).history.version().value();
            m_versionDecreased = m_versionDecreased || version < m_highest[index];
            m_uncommittedVersionSeen = m_uncommittedVersionSeen || version > m_committed;
            m_highest[index] = version;
        });
    }

    void injectFault()
    {
        switch (*rc::gen::weightedElement<fault>({{6, fault::Patch},
                                                  {2, fault::Pause},
                                                  {2, fault::Partition},
                                                  {2, fault::Heal},
                                                  {1, fault::Kill},
                                                  {1, fault::Leave},
                                                  {1, fault::Depart}})) {
        case fault::Patch:
            commit(anyRunning());
            break;
        case fault::Pause:
            m_fleet->pause(anyRunning(), std::chrono::milliseconds(*rc::gen::inRange(100, 20000)));
            break;
        case fault::Partition:
            partitionLinks(*rc::gen::inRange<std::size_t>(1, m_nodes), *rc::gen::arbitrary<bool>());
            break;
        case fault::Heal:
            m_fleet->cutLinks(nullptr);
            break;
        case fault::Kill:
            end(anyRunning());
            break;
        case fault::Leave:
            leave(anyRunning());
            break;
        case fault::Depart:
            depart(anyRunning());
            break;
        }
        m_fleet->runFor(std::chrono::milliseconds(*rc::gen::inRange(0, 5000)));
    }

    /// Ends all faults and lets one node read the newest configuration from the platform, as each node does periodically.
    void heal()
    {
        m_fleet->heal();
        m_fleet->runFor(25s); // longer than the longest pause, 20 s
        catchUp(anyRunning());
        m_fleet->runFor(60s);
    }

    [[nodiscard]] bool versionDecreased() const
    {
        return m_versionDecreased;
    }

    [[nodiscard]] bool uncommittedVersionSeen() const
    {
        return m_uncommittedVersionSeen;
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

    /// The view that each running node is expected to have.
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
    enum class fault {
        Patch,
        Pause,
        Partition,
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
            m_fleet->applyPatch(index, patchTo(version));
        }
        m_highest[index] = m_committed;
    }

    void commit(std::size_t index)
    {
        catchUp(index);
        ++m_committed;
        catchUp(index);
    }

    void partitionLinks(std::size_t firstOfOtherSide, bool oneWay)
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
    std::unique_ptr<gossip_simulator> m_fleet;
    std::vector<configuration_version> m_highest;
    configuration_version m_committed = 1;
    std::set<std::size_t> m_leaving;
    bool m_versionDecreased = false;
    bool m_uncommittedVersionSeen = false;
};

} // namespace

TEST_CASE("configuration versions never decrease, and after faults end all nodes have the newest one and the expected view")
{
    rc::prop("random message loss, duplication and replay, pauses, partitions, crashes, departures and patches", [] {
        stressed_fleet fleet;
        const int faults = *rc::gen::inRange(1, 20);
        for (int count = 0; count < faults; ++count) {
            fleet.injectFault();
        }
        fleet.heal();
        RC_ASSERT(!fleet.versionDecreased());
        RC_ASSERT(!fleet.uncommittedVersionSeen());
        for (const configuration_version version : fleet.versions()) {
            RC_ASSERT(version == fleet.committed());
        }
        const std::set<node_id> expected = fleet.expectedView();
        for (const std::set<node_id> &view : fleet.views()) {
            RC_ASSERT((view == expected));
        }
    });
}

TEST_CASE("nodes that know only the listed addresses discover each other")
{
    const auto fleet = startFleet(40, {});
    CHECK(wrongViews(*fleet, 40) == 0);
}

TEST_CASE("a failed node is removed from all views within seconds")
{
    const auto fleet = startFleet(40, {});
    fleet->kill(7);
    fleet->runFor(10s);
    CHECK(wrongViews(*fleet, 39) == 0);
}

TEST_CASE("a node that reuses the address of a failed one replaces it faster than probes detect the failure")
{
    const auto fleet = startFleet(10, {});
    fleet->kill(4);
    const std::size_t next = fleet->add("d1", fleet->at(4).node.self().node.peerAddress);
    fleet->distributeAddresses();
    fleet->runFor(1s);
    CHECK(wrongViews(*fleet, 10) <= 1); // rumors reach about 94 % of the nodes; probes reach the rest
    fleet->runFor(1s);
    CHECK(wrongViews(*fleet, 10) == 0);
    CHECK(fleet->at(0).node.members().find(fleet->at(next).node.self().node.id) != nullptr);
}

TEST_CASE("a planned departure reaches nearly all nodes at once and all within seconds, and no node is declared dead")
{
    const auto fleet = startFleet(40, {});
    fleet->perform(7, fleet->at(7).node.leave(fleet->now()));
    fleet->runFor(200ms);
    CHECK(wrongViews(*fleet, 39) <= 4); // rumors reach about 94 % of the nodes; probes reach the rest
    fleet->runFor(2800ms);
    CHECK(wrongViews(*fleet, 39) == 0);
    fleet->perform(7, fleet->at(7).node.depart(fleet->now()));
    fleet->kill(7);
    fleet->runFor(20s);
    CHECK(wrongViews(*fleet, 39) == 0);
    CHECK(deathsDeclared(*fleet) == 0);
}

TEST_CASE("a node that reuses the address of a failed one replaces it within a second")
{
    const auto fleet = startFleet(10, {});
    fleet->kill(4);
    fleet->add("d1", fleet->at(4).node.self().node.peerAddress);
    fleet->distributeAddresses();
    fleet->runFor(1s);
    CHECK(wrongViews(*fleet, 10) == 0);
}

TEST_CASE("a planned departure reaches all nodes within a second")
{
    const auto fleet = startFleet(40, {});
    fleet->perform(7, fleet->at(7).node.leave(fleet->now()));
    fleet->runFor(1s);
    CHECK(wrongViews(*fleet, 39) == 0);
}

TEST_CASE("a patch reaches all nodes within seconds, even if it does not fit in a message")
{
    const auto fleet = startFleet(40, {.loss = 0.02});
    const std::string largeName(60, 'n');
    configuration_patch large{.version = 3, .mergePatch = R"({"callers":{)"};
    for (int number = 0; number < 60; ++number) {
        large.mergePatch += (number == 0 ? "\"" : ",\"") + largeName + std::to_string(number) + "\":{}";
    }
    large.mergePatch += "}}";
    for (const configuration_patch &patch : {patchTo(2), large}) {
        fleet->applyPatch(3, patch);
        fleet->runFor(patch.version == 2 ? 1500ms : 4s);
        for (std::size_t index = 0; index < fleet->size(); ++index) {
            CHECK(fleet->at(index).history.version() == patch.version);
        }
    }
}

TEST_CASE("a node without a configuration gets the newest one from peers")
{
    const auto fleet = startFleet(10, {});
    fleet->applyPatch(3, patchTo(2));
    const std::size_t late = fleet->add();
    fleet->distributeAddresses();
    fleet->runFor(5s);
    CHECK(fleet->at(late).history.version() == 2);
}

TEST_CASE("no running node is declared dead when 5 percent of the messages are lost")
{
    const auto fleet = startFleet(40, {.loss = 0.05});
    fleet->runFor(10min);
    CHECK(deathsDeclared(*fleet) == 0);
    CHECK(wrongViews(*fleet, 40) == 0);
}

TEST_CASE("a paused node does not declare others dead and rejoins the fleet")
{
    const auto fleet = startFleet(20, {});
    for (std::size_t paused = 0; paused < 10; ++paused) {
        const gossip_counters &counters = fleet->at(paused).node.counters();
        const std::uint64_t before = counters.deathsDeclared;
        fleet->pause(paused, 15s);
        fleet->runFor(25s);
        CHECK(wrongViews(*fleet, 20) == 0);
        CHECK(counters.deathsDeclared == before);
    }
}

TEST_CASE("a late tick neither suspects nodes nor declares them dead")
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
    while (now <= start + 1s) { // until a ping is pending
        static_cast<void>(node.tick(now));
        now = node.nextWakeUp();
    }
    static_cast<void>(node.tick(now + 20s));
    CHECK(node.counters().pausesDetected == 1);
    CHECK(node.counters().suspicionsRaised == 0);
    CHECK(node.counters().deathsDeclared == 0);
    CHECK(node.nodes().size() == 3);
}

TEST_CASE("a pause shorter than the suspicion timeout does not lead to a node being declared dead")
{
    const auto fleet = startFleet(20, {});
    for (std::size_t paused = 0; paused < 20; ++paused) {
        fleet->pause(paused, 1500ms);
        fleet->runFor(10s);
    }
    CHECK(deathsDeclared(*fleet) == 0);
}

TEST_CASE("both sides of a partition keep running and merge again without a burst of messages")
{
    constexpr std::size_t nodes = 60;
    const auto fleet = startFleet(nodes, {});
    const double baselineRate = highestSendRate(*fleet, 20);
    fleet->cutLinks([](std::size_t from, std::size_t to) {
        return (from < 20) != (to < 20);
    });
    fleet->runFor(3min);
    CHECK(viewSize(*fleet, 0) == 20);
    CHECK(viewSize(*fleet, nodes - 1) == 40);
    fleet->applyPatch(0, patchTo(2));
    fleet->runFor(10s);
    CHECK(fleet->at(nodes - 1).history.version() == 1);
    fleet->heal();
    const double healingRate = highestSendRate(*fleet, 5);
    CHECK(healingRate < 3 * baselineRate);
    CHECK(fleet->at(nodes - 1).history.version() == 2);
    fleet->runFor(40s);
    CHECK(wrongViews(*fleet, nodes) == 0);
}

TEST_CASE("two nodes that declared each other dead rejoin with the first ping that arrives")
{
    const auto fleet = startFleet(2, {});
    fleet->cutLinks([](std::size_t, std::size_t) {
        return true;
    });
    fleet->runFor(1min);
    CHECK(wrongViews(*fleet, 1) == 0);
    fleet->heal();
    fleet->runFor(1050ms); // a node without peers pings listed addresses each second
    CHECK(wrongViews(*fleet, 2) == 0);
}

TEST_CASE("the message rate of a node does not grow with the fleet")
{
    const auto small = startFleet(10, {}, 60s);
    const auto large = startFleet(120, {}, 60s);
    CHECK(highestSendRate(*large, 60) < 1.5 * highestSendRate(*small, 60));
}
