#include "banyan/core/serving/route_table.h"

#include <catch2/catch.hpp>

using namespace banyan;

namespace {

route routeTo(const std::string &name, const std::string &host, const std::string &prefix)
{
    return {.name = name, .host = host, .pathPrefix = prefix, .services = {{.service = service_name("s-" + name)}}};
}

std::string foundName(const route_table &table, std::string_view host, std::string_view path)
{
    const route *const found = table.find(host, path);
    return found == nullptr ? "none" : found->name;
}

} // namespace

TEST_CASE("route_table finds the longest matching prefix of the request's host")
{
    const route_table table(
        {.routes = {routeTo("short", "a.example", "/x/"), routeTo("long", "a.example", "/x/y/"), routeTo("other", "b.example", "/x/y/")}});
    CHECK(foundName(table, "a.example", "/x/y/z") == "long");
    CHECK(foundName(table, "a.example", "/x/z") == "short");
    CHECK(foundName(table, "b.example", "/x/y/z") == "other");
    CHECK(foundName(table, "a.example", "/xy") == "none");
    CHECK(foundName(table, "c.example", "/x/y/z") == "none");
}

TEST_CASE("route_table ignores case and port of the host")
{
    const route_table table({.routes = {routeTo("only", "a.example", "/x/")}});
    CHECK(foundName(table, "A.Example:8080", "/x/1") == "only");
}

TEST_CASE("serviceFor distributes requests over services by weight, and always gives the same service for the same request")
{
    route split = routeTo("split", "a.example", "/");
    split.services = {{.service = service_name("most"), .weight = 90}, {.service = service_name("few"), .weight = 10}};
    int few = 0;
    constexpr int requests = 5000;
    for (int number = 0; number < requests; ++number) {
        const request_id id("r-" + std::to_string(number));
        CHECK(serviceFor(split, id) == serviceFor(split, id));
        few += serviceFor(split, id) == service_name("few") ? 1 : 0;
    }
    // A tenth of 5,000 is 500 with a standard deviation of 21.
    CHECK(few > 400);
    CHECK(few < 600);
}

TEST_CASE("serviceFor rejects a route without a service")
{
    CHECK_THROWS_AS(serviceFor(route{}, request_id("r")), std::invalid_argument);
}
