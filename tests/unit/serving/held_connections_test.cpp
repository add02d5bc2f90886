#include "serving/held_connections.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point(10s);
const node_id node("n1");
const upstream_id upstream("u1");

} // namespace

TEST_CASE("held_connections reports the connection of an ended run as idle until another run uses it")
{
    held_connections connections;
    connections.granted(node, upstream);
    CHECK_FALSE(connections.hasIdle(node, upstream, start));
    connections.released(node, upstream, true, start);
    CHECK(connections.hasIdle(node, upstream, start + 1s));
    CHECK_FALSE(connections.hasIdle(node_id("n2"), upstream, start + 1s));
    connections.granted(node, upstream);
    CHECK_FALSE(connections.hasIdle(node, upstream, start + 1s));
}

TEST_CASE("held_connections does not count broken connections, or those that the upstream has probably closed")
{
    held_connections connections;
    connections.released(node, upstream, false, start);
    CHECK_FALSE(connections.hasIdle(node, upstream, start));
    connections.released(node, upstream, true, start);
    CHECK_FALSE(connections.hasIdle(node, upstream, start + 10s));
    connections.expire(start + 10s);
    connections.released(node, upstream, true, start + 10s);
    connections.granted(node, upstream);
    CHECK_FALSE(connections.hasIdle(node, upstream, start + 10s));
}
