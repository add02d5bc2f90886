#include "banyan/core/serving/forwarder_choice.h"

#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/report_hubs.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};
constexpr upstream_key upstream = 7;

/// A choice among four nodes, of which the last has half a core and the others one.
struct choice_fixture
{
    load_board board{10s};
    report_hubs hubs{{.self = node_id("self"), .maximumMeshNodes = 100, .hubCount = 1}};
    forwarder_choice choice{board, hubs};
    std::mt19937_64 generator{1};
    std::uint64_t sequence = 0;

    choice_fixture()
    {
        std::vector<forwarder> nodes;
        for (const char *const name : {"a", "b", "c", "d"}) {
            nodes.push_back({.node = node_id(name), .processorShare = *name == 'd' ? 0.5 : 1});
        }
        choice.setNodes(nodes);
    }

    void report(const std::string &node, node_load load = {})
    {
        load.sender = node_id(node);
        load.sequence = ++sequence;
        board.record(load, start);
    }

    std::map<std::string, int> choose(const std::vector<node_id> &tried = {}, time_point now = start)
    {
        std::map<std::string, int> times;
        for (int number = 0; number < 3000; ++number) {
            const std::optional<forwarder> chosen = choice.choose(upstream, tried, generator, now);
            ++times[chosen ? chosen->node.text() : ""];
        }
        return times;
    }

    std::string chosen(const std::vector<node_id> &tried = {}, time_point now = start)
    {
        std::string names;
        for (const auto &[name, count] : choose(tried, now)) {
            names += name;
        }
        return names;
    }
};

} // namespace

TEST_CASE_METHOD(choice_fixture, "forwarder_choice asks only nodes whose report says that they reach the upstream and are not stopping")
{
    CHECK(chosen().empty()); // In a mesh each node would have reported.
    report("a", {.unreachable = {3, upstream}});
    report("b", {.reachesNone = true});
    report("c", {.schedulingState = scheduling_state::ShuttingDown});
    CHECK(chosen().empty());
    report("a", {.unreachable = {3}});
    report("b", {.schedulingState = scheduling_state::UpstreamsUncertain});
    CHECK(chosen() == "ab");
    board.expire(start + 11s);
    CHECK(chosen().empty());
}

TEST_CASE_METHOD(choice_fixture, "forwarder_choice asks nodes without a report where not all nodes report to each other, except the hubs")
{
    std::map<node_id, double> shares{{node_id("a"), 2}};
    for (int number = 0; number < 100; ++number) {
        shares.emplace("n" + std::to_string(number), 1);
    }
    hubs.setRegistered(shares);
    REQUIRE(hubs.isHub(node_id("a")));
    report("c", {.reachesNone = true});
    CHECK(chosen() == "bd");
}

TEST_CASE_METHOD(choice_fixture, "forwarder_choice leaves out nodes that were tried, and for half a second those that did not help")
{
    for (const char *const name : {"a", "b", "c", "d"}) {
        report(name);
    }
    choice.failed(node_id("b"), start);
    CHECK(chosen({node_id("a")}) == "cd");
    CHECK(chosen({node_id("a")}, start + 499ms) == "cd");
    CHECK(chosen({node_id("a")}, start + 500ms) == "bcd");
    CHECK(chosen({node_id("a"), node_id("b"), node_id("c"), node_id("d")}, start + 1s).empty());
}

TEST_CASE_METHOD(choice_fixture, "forwarder_choice spreads requests by processor share over the requests that a node forwards")
{
    report("a");
    report("b", {.forwards = 3});
    report("d");
    const auto has = [](int times, double share) {
        return times == Approx(3000 * share).margin(150);
    };
    std::map<std::string, int> times = choose(); // Weights 1, 1/4 and 1/2.
    CHECK((has(times["a"], 4.0 / 7) && has(times["b"], 1.0 / 7) && has(times["d"], 2.0 / 7)));
    for (int number = 0; number < 3; ++number) {
        choice.begun(node_id("a"));
        choice.begun(node_id("b")); // Those are among the reported ones.
    }
    times = choose(); // Weights 1/4, 1/4 and 1/2.
    CHECK((has(times["a"], 0.25) && has(times["b"], 0.25) && has(times["d"], 0.5)));
    for (int number = 0; number < 4; ++number) {
        choice.ended(node_id("a"));
    }
    times = choose();
    CHECK(has(times["a"], 4.0 / 7));
}

TEST_CASE_METHOD(choice_fixture, "forwarder_choice counts an upstream as down for a second after a forwarder has not reached it")
{
    CHECK_FALSE(choice.isDown(upstream, start));
    choice.notReached(upstream, start);
    CHECK(choice.isDown(upstream, start + 999ms));
    CHECK_FALSE(choice.isDown(upstream, start + 1s));
    CHECK_FALSE(choice.isDown(upstream + 1, start));
    choice.notReached(upstream, start + 900ms);
    CHECK(choice.isDown(upstream, start + 1800ms));
}
