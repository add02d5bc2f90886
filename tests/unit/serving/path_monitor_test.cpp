#include "path_network.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

/// Lets time pass, with a byte of a run each few milliseconds.
void runHearing(path_network &network, path_monitor::run_number run, duration time)
{
    for (const time_point until = network.now + time; network.now < until;) {
        network.monitor.heard(run, network.now);
        network.run(5ms);
    }
}

std::size_t lossesIn(const std::vector<path_change> &changes)
{
    return static_cast<std::size_t>(std::count_if(changes.begin(), changes.end(), [](const path_change &change) {
        return change.isLost;
    }));
}

} // namespace

TEST_CASE("path_monitor only probes while a sound upstream is silent, early if nothing else is heard")
{
    path_network network(13);
    const time_point start = network.now;
    const bool othersAreHeard = GENERATE(false, true);
    network.monitor.waits(1, network.idOf(0), network.now);
    if (othersAreHeard) {
        network.monitor.waits(2, network.idOf(1), network.now);
        runHearing(network, 2, 1s);
    } else {
        network.run(1s);
    }
    REQUIRE_FALSE(network.probedAt.empty());
    const duration first = network.probedAt.front() - start;
    CHECK((othersAreHeard ? first >= 500ms && first <= 600ms : first >= 80ms && first <= 120ms));
    CHECK(network.probedAt.size() <= 4);
    CHECK(network.changes.empty());
    CHECK_FALSE(network.monitor.isDoubtful(network.idOf(0)));
    CHECK(network.wokenAtOnce == 0);
}

TEST_CASE("path_monitor loses one path by a failed connection, and no other on an idle gateway")
{
    path_network network(13);
    const way cut = GENERATE(way::Hangs, way::Refuses);
    network.cut({network.idOf(4)}, cut);
    network.connect(network.idOf(4));
    network.run(10s);
    CHECK(network.monitor.lost() == std::vector{network.idOf(4)});
    REQUIRE(network.changes.size() == 1);
    CHECK_FALSE(network.changes.front().isOfGroup);
    CHECK(network.mostProbesWithin(1s, time_point()) <= 3 + 6);
    CHECK(network.wokenAtOnce == 0);
}

TEST_CASE("path_monitor loses a failure domain by two failures in it, and all paths only by failures of two domains")
{
    const connect_outcome outcome = GENERATE(connect_outcome::TimedOut, connect_outcome::Refused);
    path_network network(13);
    const time_point start = network.now;
    const time_point end = start + 100ms;
    network.monitor.connected(network.idOf(0), start, 100ms, outcome, end);
    CHECK(network.monitor.lost().size() == 1);
    network.monitor.connected(network.idOf(3), start, 100ms, outcome, end);
    CHECK(network.monitor.lost() == network.membersOf("d0"));
    network.monitor.connected(network.idOf(1), start, 100ms, outcome, end);
    CHECK(network.monitor.lost() == network.membersOf());
    REQUIRE(network.monitor.takeChanges().back().isOfGroup);
}

TEST_CASE("path_monitor keeps the paths of upstreams that are heard when others hang or refuse")
{
    const way cut = GENERATE(way::Hangs, way::Refuses);
    path_network network(13);
    network.monitor.waits(1, network.idOf(1), network.now); // Domain d1; its old connection lives.
    runHearing(network, 1, 100ms);
    SECTION("two of different domains")
    {
        network.cut({network.idOf(0), network.idOf(2)}, cut);
        network.connect(network.idOf(0));
        network.connect(network.idOf(2));
        runHearing(network, 1, 3s);
        CHECK(network.monitor.lost() == std::vector{network.idOf(0), network.idOf(2)});
        CHECK(network.changes.size() == 2);
    }
    SECTION("a failure domain")
    {
        network.cut(network.membersOf("d0"), cut);
        network.connect(network.idOf(0));
        network.connect(network.idOf(3));
        runHearing(network, 1, 3s);
        CHECK(network.monitor.lost() == network.membersOf("d0"));
    }
    SECTION("all but what is heard over an old connection")
    {
        network.cut(network.membersOf(), cut);
        network.connect(network.idOf(0));
        runHearing(network, 1, 3s);
        const bool isRefused = cut == way::Refuses; // An attempt that hangs is refuted by the bytes, a refused one is not.
        CHECK(network.monitor.isLost(network.idOf(0)));
        CHECK((isRefused || !network.monitor.isLost(network.idOf(1))));
    }
    CHECK(network.givenTwice == 0);
    CHECK(network.wokenAtOnce == 0);
}

TEST_CASE("path_monitor keeps all paths when two upstreams refuse and the attempts that this causes succeed")
{
    path_network network(13);
    network.cut({network.idOf(0), network.idOf(2)}, way::Refuses);
    network.connect(network.idOf(0));
    network.run(100ms);
    network.connect(network.idOf(2));
    network.run(10s);
    CHECK(network.monitor.lost() == std::vector{network.idOf(0), network.idOf(2)});
    CHECK(network.changes.size() == 2);
}

TEST_CASE("path_monitor tells of a lost group once, also if each of its paths was refused before the last bytes had aged")
{
    path_network network(2);
    network.monitor.waits(1, network.idOf(1), network.now);
    network.monitor.heard(1, network.now);
    network.cut(network.membersOf(), way::Refuses);
    network.connect(network.idOf(0));
    network.connect(network.idOf(1));
    network.run(5s);
    REQUIRE(network.changes.size() == 3);
    CHECK((network.changes.back().isOfGroup && network.changes.back().isLost));
    CHECK(network.changes.back().upstreams == network.membersOf());
}

TEST_CASE("path_monitor probes a path that was lost on the evidence of others before those that requests have just found lost")
{
    path_network network(30, 1);
    std::vector<upstream_id> cut = network.membersOf();
    cut.pop_back(); // The last one works.
    network.cut(cut, way::Refuses);
    for (const upstream_id &upstream : cut) {
        network.connect(upstream);
    }
    network.run(2ms);
    CHECK(network.monitor.lost() == network.membersOf());
    network.run(500ms);
    CHECK(network.monitor.lost() == cut);
}

TEST_CASE("path_monitor learns nothing from an attempt that ends late, or during which its upstream was heard")
{
    path_network network(3);
    path_monitor &monitor = network.monitor;
    const time_point start = network.now;
    monitor.waits(1, network.idOf(1), start);
    monitor.heard(1, start + 61ms);
    monitor.connected(network.idOf(1), start, 100ms, connect_outcome::TimedOut, start + 100ms);
    monitor.connected(network.idOf(0), start, 100ms, connect_outcome::TimedOut, start + 131ms);
    CHECK(monitor.lost().empty());
    monitor.connected(network.idOf(0), start, 100ms, connect_outcome::TimedOut, start + 130ms);
    CHECK(monitor.lost() == std::vector{network.idOf(0)});
}

TEST_CASE("path_monitor loses and regains all paths within a bound, with few probes and without flapping")
{
    const std::size_t count = GENERATE(13, 81, 295);
    const way cut = GENERATE(way::Hangs, way::Refuses);
    const duration cutTime = GENERATE(1s, 30s);
    path_network network(count);
    network.monitor.waits(1, network.idOf(5), network.now);
    network.run(5s);
    CHECK(network.mostProbesWithin(1s, time_point()) <= 4);
    CHECK(network.changes.empty());

    network.cut(network.membersOf(), cut);
    const time_point cutAt = network.now;
    network.run(1s);
    CHECK(network.monitor.lost().size() == count);
    network.run(cutTime);
    CHECK(network.mostProbesWithin(1s, cutAt) <= 2 + 3 + 5);
    CHECK(network.mostProbesWithin(1s, cutAt + 1s) <= 6);

    network.ways.clear();
    network.changes.clear();
    network.run(500ms); // A probe each 200 ms; one that began before may hang 100 ms longer.
    CHECK(network.monitor.lost().empty());
    network.run(5s);
    CHECK(network.monitor.lost().empty());
    CHECK(lossesIn(network.changes) == 0);
    CHECK(network.givenTwice == 0);
    CHECK(network.wokenAtOnce == 0);
}

TEST_CASE("path_monitor forgets removed upstreams and keeps the state of those that stay")
{
    path_network network(4);
    network.cut(network.membersOf(), way::Hangs);
    network.connect(network.idOf(0));
    network.monitor.waits(1, network.idOf(0), network.now);
    network.run(1s);
    CHECK(network.monitor.lost().size() == 4);
    std::vector<replica> registered = network.upstreams;
    registered.erase(registered.begin());
    network.monitor.setUpstreams(registered);
    CHECK(network.monitor.lost().size() == 3);
    network.monitor.connected(network.idOf(0), network.now, 100ms, connect_outcome::Refused, network.now);
    CHECK_FALSE(network.monitor.isLost(network.idOf(0)));
    network.monitor.setUpstreams(network.upstreams);
    CHECK(network.monitor.lost().size() == 3);
    network.ways.clear();
    network.run(1s); // The run still waits, for the upstream whose path is open.
    CHECK(network.monitor.lost().empty());
    network.monitor.setUpstreams({});
    network.run(1s);
    CHECK(network.monitor.size() == 0);
    CHECK(network.wokenAtOnce == 0);
    network.monitor.ended(1);
    CHECK_FALSE(network.monitor.nextWakeUp(network.now).has_value());
}
