#include "banyan/core/serving/replica_registry.h"

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
    registry.removed(upstream_id("a"), start + 1s);
    REQUIRE(count(registry) == 1);
    CHECK(registry.replicas().front().id == upstream_id("b"));
}

TEST_CASE("replica_registry keeps what lapsed during an outage until upstreams had time to register again")
{
    replica_registry registry(grace);
    registry.replaceAll({upstream("a"), upstream("b")}, start);
    registry.storeLost();
    registry.storeRegained(start + 10s);
    registry.replaceAll({}, start + 10s);
    CHECK(count(registry) == 2);
    registry.registered(upstream("a"));
    CHECK_FALSE(registry.tick(start + 11s));
    CHECK(count(registry) == 2);
    CHECK(registry.nextWakeUp() == start + 10s + grace);
    CHECK(registry.tick(start + 10s + grace));
    REQUIRE(count(registry) == 1);
    CHECK(registry.replicas().front().id == upstream_id("a"));
}

TEST_CASE("replica_registry drops at once what is deleted after the grace")
{
    replica_registry registry(grace);
    registry.replaceAll({upstream("a")}, start);
    registry.storeLost();
    registry.storeRegained(start + 10s);
    registry.removed(upstream_id("a"), start + 10s + grace);
    CHECK(count(registry) == 0);
}

TEST_CASE("replica_registry does not use an upstream whose address belongs to another one, until it has a new address")
{
    replica_registry registry(grace);
    registry.replaceAll({upstream("a", 1)}, start);
    registry.addressReused(upstream_id("a"));
    CHECK(count(registry) == 0);
    registry.registered(upstream("a", 1));
    CHECK(count(registry) == 0);
    registry.registered(upstream("a", 2));
    CHECK(count(registry) == 1);
}

TEST_CASE("replica_registry tells a registration that changes something from a heartbeat")
{
    replica_registry registry(grace);
    CHECK(registry.registered(upstream("a")));
    CHECK_FALSE(registry.registered(upstream("a")));
    CHECK(registry.registered(upstream("a", 2)));
    replica draining = upstream("a", 2);
    draining.draining = true;
    CHECK(registry.registered(draining));
}
