#include "banyan/core/endpoint.h"

#include <catch2/catch.hpp>

using banyan::endpoint;

TEST_CASE("endpoint parses an IPv4 address and port")
{
    CHECK(endpoint::parse("127.0.0.1:80") == endpoint{.address = "127.0.0.1", .port = 80});
}

TEST_CASE("endpoint parses its own text form of an IPv6 address")
{
    const endpoint value{.address = "::1", .port = 8080};
    CHECK(endpoint::parse(value.toString()) == value);
}

TEST_CASE("endpoint rejects host names, missing or invalid ports and trailing text")
{
    for (const char *text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:80x", "127.0.0.1:70000", "::1:80", ""}) {
        INFO(text);
        CHECK_THROWS_AS(endpoint::parse(text), std::invalid_argument);
    }
}
