#include "banyan/core/serving/connection_share.h"

#include "banyan/core/serving/serving_configuration.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace banyan;

TEST_CASE("idleConnectionShare divides the lowest limit of any service by the nodes, and leaves half for requests")
{
    serving_configuration configuration;
    CHECK(idleConnectionShare(configuration, 10) == std::numeric_limits<std::size_t>::max());
    configuration.services[service_name("a")].maximumConnections = 400;
    configuration.services[service_name("b")].maximumConnections = 100;
    configuration.services[service_name("c")].maximumConnections = 0;
    CHECK(idleConnectionShare(configuration, 10) == 5);
    CHECK(idleConnectionShare(configuration, 1000) == 1);
    CHECK(idleConnectionShare(configuration, 0) == 50);
}
