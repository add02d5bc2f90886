#include "banyan/core/serving/organisation_limits.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start(1000s);
const caller_id name("o1");
const std::uint8_t pool = poolOf(organisationKey(name));
const limit_tolerance exact;

organisation limitOf(double perSecond, double burst)
{
    return {.name = name, .keys = {}, .priority = {}, .requestsPerSecond = perSecond, .burst = burst};
}

/// Two nodes, of which the one with the higher hash keeps the pool.
struct two_nodes
{
    explicit two_nodes(const organisation &limit, const limit_tolerance &tolerance = exact)
        : nodes{organisation_limits({.self = names[0], .startedAt = start, .tolerance = tolerance}),
                organisation_limits({.self = names[1], .startedAt = start, .tolerance = tolerance})}
    {
        for (organisation_limits &node : nodes) {
            node.configure(1, std::span(&limit, 1), now);
            node.setNodes(2, 600ms, true);
        }
        runFor(3s);
        keeper = nodes[0].shareOf(pool) > nodes[1].shareOf(pool) ? 0 : 1;
    }

    void exchangeReports()
    {
        ++sequence;
        const limit_pool_report first = nodes[0].report(sequence, now);
        const limit_pool_report second = nodes[1].report(sequence, now);
        nodes[1].recordReport(names[0], sequence, true, first, now);
        nodes[0].recordReport(names[1], sequence, true, second, now);
    }

    void runFor(duration time)
    {
        for (const time_point end = now + time; now < end; now += 100ms) {
            exchangeReports();
        }
    }

    organisation_limits &keeping()
    {
        return nodes[keeper];
    }

    organisation_limits &asking()
    {
        return nodes[1 - keeper];
    }

    /// Sends a request at the node that does not keep the pool, and its ask to the keeper.
    limit_verdict request()
    {
        const limit_decision decision = asking().admit(name, now);
        if (!decision.ask) {
            return decision.verdict;
        }
        const auto settled = asking().record(keeping().answer(decision.ask->ask, now), now);
        return settled ? settled->decision.verdict : decision.verdict;
    }

    std::vector<node_id> names{node_id("n1"), node_id("n2")};
    std::vector<organisation_limits> nodes;
    time_point now = start;
    std::uint64_t sequence = 0;
    std::size_t keeper = 0;
};

} // namespace

TEST_CASE("pooledRateOf gives a window what is tolerated, with the credits that are out when it begins")
{
    for (const auto &tolerance : {limit_tolerance{.overage = 0.1, .slack = 20}, exact}) {
        const organisation limit = limitOf(30, 12);
        const pooled_rate pooled = pooledRateOf(limit, tolerance);
        const double time = std::chrono::duration<double>(tolerance.window + creditTimeOf(tolerance)).count();
        CHECK(pooled.perSecond * time + pooled.burst == Approx((30 * 5 + 12) * (1 + tolerance.overage) + tolerance.slack));
    }
}

TEST_CASE("organisation_limits gathers all shares at one node")
{
    two_nodes nodes(limitOf(10, 10));
    CHECK(nodes.keeping().shareOf(pool) == 1);
    CHECK(nodes.asking().shareOf(pool) == 0);
}

TEST_CASE("organisation_limits admits the burst and then the rate, and refuses the rest with the time to return")
{
    two_nodes nodes(limitOf(10, 10));
    int admitted = 0;
    for (int request = 0; request < 30; ++request) {
        admitted += nodes.request() == limit_verdict::Admitted ? 1 : 0;
    }
    CHECK(admitted == 10);
    const limit_decision refused = nodes.asking().admit(name, nodes.now);
    CHECK(refused.verdict == limit_verdict::Refused);
    CHECK_FALSE(refused.ask); // It knows that there is nothing to be had.
    CHECK(refused.retryAfter > 0ms);
    CHECK(refused.retryAfter <= exact.window);
    nodes.runFor(400ms);
    CHECK(nodes.request() == limit_verdict::Admitted);
}

TEST_CASE("organisation_limits admits any number of requests of organisations without a limit")
{
    two_nodes nodes(limitOf(0, 0));
    CHECK(nodes.nodes[0].empty());
    CHECK(nodes.nodes[0].admit(name, nodes.now).verdict == limit_verdict::Admitted);
    CHECK(nodes.nodes[0].report(99, nodes.now) == limit_pool_report());
}

TEST_CASE("organisation_limits admits one request for a grant that arrives twice")
{
    two_nodes nodes(limitOf(10, 10));
    const limit_decision decision = nodes.asking().admit(name, nodes.now);
    REQUIRE(decision.verdict == limit_verdict::Waiting);
    const credit_grant grant = nodes.keeping().answer(decision.ask->ask, nodes.now);
    CHECK(nodes.asking().record(grant, nodes.now)->decision.verdict == limit_verdict::Admitted);
    CHECK_FALSE(nodes.asking().record(grant, nodes.now));
    CHECK(nodes.asking().admit(name, nodes.now).verdict == limit_verdict::Waiting); // There is no credit left over.
}

TEST_CASE("organisation_limits admits nothing for a grant that arrives after its time")
{
    two_nodes nodes(limitOf(10, 10));
    const limit_decision decision = nodes.asking().admit(name, nodes.now);
    const credit_grant grant = nodes.keeping().answer(decision.ask->ask, nodes.now);
    CHECK(nodes.asking().record(grant, nodes.now + creditTimeOf(exact))->decision.verdict == limit_verdict::Refused);
}

TEST_CASE("organisation_limits refuses a waiting request whose keeper does not answer, and uses a late answer for the next one")
{
    two_nodes nodes(limitOf(10, 10));
    const limit_decision decision = nodes.asking().admit(name, nodes.now);
    const limit_decision refused = nodes.asking().giveUp(decision.ask->ask.id, nodes.now + 60ms);
    CHECK(refused.verdict == limit_verdict::Refused);
    CHECK(refused.retryAfter > 0ms);
    const credit_grant grant = nodes.keeping().answer(decision.ask->ask, nodes.now + 70ms);
    CHECK_FALSE(nodes.asking().record(grant, nodes.now + 80ms));
    CHECK(nodes.asking().admit(name, nodes.now + 80ms).verdict == limit_verdict::Admitted);
}

TEST_CASE("organisation_limits asks ahead for the requests that it expects")
{
    two_nodes nodes(limitOf(1000, 1000));
    for (int turn = 0; turn < 100; ++turn, nodes.now += 5ms) {
        if (turn % 20 == 0) {
            nodes.exchangeReports();
        }
        CHECK(nodes.request() == limit_verdict::Admitted);
    }
    CHECK(nodes.asking().admit(name, nodes.now).verdict == limit_verdict::Admitted); // Without an answer.
}

TEST_CASE("a keeper that stood still grants nothing from shares whose leases have run out")
{
    two_nodes nodes(limitOf(10, 100));
    while (nodes.request() == limit_verdict::Admitted) {
    }
    nodes.now += 30s;
    const bool hasNewLeases = GENERATE(false, true);
    if (hasNewLeases) {
        nodes.runFor(300ms);
        CHECK(nodes.keeping().shareOf(pool) == 1);
    }
    int admitted = 0;
    for (int request = 0; request < 200; ++request) {
        admitted += nodes.keeping().admit(name, nodes.now).verdict == limit_verdict::Admitted ? 1 : 0;
    }
    CHECK(admitted <= 50 + (hasNewLeases ? 10 : 0)); // What its own share gave in that time, and what came since.
}

TEST_CASE("a keeper drops credit beyond a limit that has sunk")
{
    two_nodes nodes(limitOf(100, 100));
    const organisation lower = limitOf(1, 2);
    nodes.keeping().configure(2, std::span(&lower, 1), nodes.now);
    int admitted = 0;
    for (int request = 0; request < 50; ++request) {
        admitted += nodes.keeping().admit(name, nodes.now).verdict == limit_verdict::Admitted ? 1 : 0;
    }
    CHECK(admitted <= 2);
}

TEST_CASE("a keeper grants what is asked for an organisation whose limit has ended, and nothing for one it has not read of")
{
    two_nodes nodes(limitOf(100, 100));
    const credit_ask older{.sender = node_id("n3"), .id = 1, .organisation = 77, .needed = 3, .spare = 5, .version = 0};
    CHECK(nodes.keeping().answer(older, nodes.now).granted == 3);
    const credit_ask newer{.sender = node_id("n3"), .id = 2, .organisation = 77, .needed = 3, .spare = 5, .version = 2};
    CHECK(nodes.keeping().answer(newer, nodes.now).granted == 0);
    CHECK(nodes.keeping().answer(newer, nodes.now).wait > 0ms);
}

TEST_CASE("limit_pools ends a lease one lease time after the holder's report that it names, however late it arrives")
{
    // The second node keeps some pool in the view of the first.
    limit_pools owner({.self = node_id("n1"), .startedAt = start - 1s});
    limit_pools holder({.self = node_id("n2"), .startedAt = start});
    owner.setNodes(2, 600ms);
    holder.setNodes(2, 600ms);
    const limit_pool_report first = holder.report(1, start);
    owner.record(node_id("n2"), 1, true, first, start + 50ms); // The owner itself may keep nothing.
    const limit_pool_report leases = owner.report(1, start + 100ms);
    REQUIRE(leases.leases.size() == limit_pools::poolCount);
    limit_pools late = holder;
    holder.record(node_id("n1"), 1, false, leases, start + 500ms);
    CHECK(holder.shareOf(0) == 0.5);
    CHECK(holder.nextEnd() == start + 600ms);
    holder.expire(start + 600ms);
    CHECK(holder.shareOf(0) == 0);
    late.record(node_id("n1"), 1, false, leases, start + 600ms);
    CHECK(late.shareOf(0) == 0);
    // The owner uses the share itself no earlier than one lease time after it heard the holder.
    CHECK(owner.report(2, start + 649ms).shares.empty());
    CHECK(owner.report(3, start + 650ms).shares.size() == limit_pools::poolCount);
}

TEST_CASE("limit_pools uses or leases a share again only after the lease to a node that keeps no pools any more has run out")
{
    limit_pools owner({.self = node_id("n1"), .startedAt = start - 1s});
    owner.setNodes(2, 600ms);
    owner.record(node_id("n2"), 1, true, {}, start);
    REQUIRE(owner.report(1, start).leases.size() == limit_pools::poolCount);
    owner.record(node_id("n2"), 2, false, {}, start + 100ms);
    owner.record(node_id("n3"), 1, true, {}, start + 100ms);
    CHECK(owner.report(2, start + 599ms).leases.empty());
    CHECK(owner.report(3, start + 600ms).leases.size() == limit_pools::poolCount);
    CHECK(owner.shareOf(0) == 0);
}

TEST_CASE("limit_pools leaves its share alone while leases of an earlier process may run")
{
    limit_pools pools({.self = node_id("n1"), .startedAt = start});
    pools.setNodes(1, 600ms);
    pools.setMayKeep(true);
    CHECK(pools.report(1, start + 599ms).shares.empty());
    CHECK(pools.report(2, start + 600ms).shares.size() == limit_pools::poolCount);
}
