#include "banyan/core/serving/replica_registry.h"
#include "banyan/core/serving/request_scheduler.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr duration grace = 2s;
const time_point start{};

replica upstream(const std::string &id, std::uint16_t port = 1)
{
    return {.id = upstream_id(id), .service = service_name("s"), .address = {.address = "127.0.0.1", .port = port}};
}

std::size_t count(const replica_registry &registry)
{
    return registry.replicas().size();
}

} // namespace

TEST_CASE("replica_registry drops an entry that is deleted while the store answers")
{
    replica_registry registry(grace);
    registry.replaceAll({upstream("a"), upstream("b")}, start);
    registry.recordRemoval(upstream_id("a"), start + 1s);
    REQUIRE(count(registry) == 1);
    CHECK(registry.replicas().front().id == upstream_id("b"));
}

TEST_CASE("replica_registry keeps registrations that expired during an outage until the grace period has ended")
{
    replica_registry registry(grace);
    registry.replaceAll({upstream("a"), upstream("b")}, start);
    registry.storeLost();
    registry.storeRegained(start + 10s);
    registry.replaceAll({}, start + 10s);
    CHECK(count(registry) == 2);
    registry.recordRegistration(upstream("a"));
    CHECK_FALSE(registry.tick(start + 11s));
    CHECK(count(registry) == 2);
    CHECK(registry.nextWakeUp() == start + 10s + grace);
    CHECK(registry.tick(start + 10s + grace));
    REQUIRE(count(registry) == 1);
    CHECK(registry.replicas().front().id == upstream_id("a"));
}

TEST_CASE("replica_registry drops an entry that is deleted after the grace period at once")
{
    replica_registry registry(grace);
    registry.replaceAll({upstream("a")}, start);
    registry.storeLost();
    registry.storeRegained(start + 10s);
    registry.recordRemoval(upstream_id("a"), start + 10s + grace);
    CHECK(count(registry) == 0);
}

TEST_CASE("replica_registry does not use an upstream whose address belongs to another one, until it has a new address")
{
    replica_registry registry(grace);
    registry.replaceAll({upstream("a", 1)}, start);
    registry.recordAddressReuse(upstream_id("a"));
    CHECK(count(registry) == 0);
    registry.recordRegistration(upstream("a", 1));
    CHECK(count(registry) == 0);
    registry.recordRegistration(upstream("a", 2));
    CHECK(count(registry) == 1);
}

TEST_CASE("replica_registry distinguishes a changed registration from a heartbeat")
{
    replica_registry registry(grace);
    CHECK(registry.recordRegistration(upstream("a")));
    CHECK_FALSE(registry.recordRegistration(upstream("a")));
    CHECK(registry.recordRegistration(upstream("a", 2)));
    replica draining = upstream("a", 2);
    draining.draining = true;
    CHECK(registry.recordRegistration(draining));
}

TEST_CASE("replica_registry treats an incarnation that announced that it leaves as draining, whatever its registration says")
{
    replica_registry registry(grace);
    replica leaving = upstream("a");
    leaving.startedAt = 7;
    registry.replaceAll({leaving, upstream("b")}, start);
    CHECK(registry.recordLeaving(keyOfStart(leaving), false, start));
    CHECK_FALSE(registry.recordLeaving(keyOfStart(leaving), false, start));
    registry.replaceAll({leaving, upstream("b")}, start + 1s); // A registration that does not mention draining.
    registry.storeLost();
    registry.storeRegained(start + 2s);
    registry.recordRegistration(leaving);
    REQUIRE(count(registry) == 2);
    CHECK(registry.replicas()[0].draining);
    CHECK_FALSE(registry.replicas()[1].draining);
    CHECK(registry.leavingCount() == 1);
}

TEST_CASE("replica_registry uses a new incarnation under the id or at the address of one that left")
{
    replica_registry registry(grace);
    replica previous = upstream("a");
    previous.startedAt = 7;
    registry.replaceAll({previous}, start);
    registry.recordLeaving(keyOfStart(previous), false, start);
    replica next = previous;
    next.startedAt = 8;
    registry.recordRegistration(next);
    REQUIRE(count(registry) == 1);
    CHECK_FALSE(registry.replicas().front().draining);
    registry.recordLeaving(keyOfStart(previous), false, start + 1s); // A late answer of the old incarnation.
    CHECK_FALSE(registry.replicas().front().draining);
    CHECK(registry.locallyObservedLeaving().empty());
}

TEST_CASE("replica_registry reports only incarnations that announced to this node itself that they leave")
{
    replica_registry registry(grace);
    registry.replaceAll({upstream("a"), upstream("b")}, start);
    CHECK(registry.recordLeaving(keyOfStart(upstream("a")), true, start));
    CHECK(registry.recordLeaving(keyOfStart(upstream("b")), false, start));
    CHECK(registry.locallyObservedLeaving() == std::vector<upstream_key>{keyOfStart(upstream("b"))});
    CHECK(registry.recordLeaving(keyOfStart(upstream("a")), false, start)); // Now announced to this node as well.
    CHECK(registry.locallyObservedLeaving().size() == 2);
}

TEST_CASE("replica_registry keeps an incarnation as leaving for as long as it is registered")
{
    replica_registry registry(grace);
    registry.replaceAll({upstream("a")}, start);
    registry.recordLeaving(keyOfStart(upstream("a")), false, start);
    registry.recordLeaving(keyOfStart(upstream("gone")), false, start);
    registry.recordLeaving(keyOfStart(upstream("other")), false, start + 24h); // Also if this node was suspended for all that time.
    CHECK(registry.replicas().front().draining);
    CHECK(registry.recordLeaving(keyOfStart(upstream("gone")), false, start + 24h)); // New again: its entry had expired.
}
