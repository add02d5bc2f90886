#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

// Guards against failing callers of a gateway that has lost its way to upstreams while other gateways reach them.
TEST_CASE("request_relay serves through another gateway while this one reaches no upstream")
{
    for (const request_kind kind : {request_kind::Idempotent, request_kind::AtMostOnce, request_kind::Stream}) {
        INFO("kind " << static_cast<int>(kind));
        forwarding_fixture fixture(kind, false);
        scripted_upstream upstream(fixture.context, "u1", [](http_exchange &exchange) -> task<> {
            co_await exchange.respond(upstreamAnswer(200, "whole answer"));
        });
        fixture.registerUpstreams({upstream.info("s")}, [](const replica &) {
            return closedPort();
        });
        for (const std::string id : {"id-1", "id-2", "id-3"}) {
            const http_response answer = fixture.call(id);
            CHECK(answer.status == 200);
            CHECK(answer.body == "whole answer");
            CHECK(answer.field("Request-Id") == id);
        }
        CHECK(upstream.requests.size() == 3);
        CHECK(fixture.paths.isLost(upstream_id("u1")));
        const std::vector<http_field> &fields = upstream.requests.back().fields;
        CHECK(std::none_of(fields.begin(), fields.end(), [](const http_field &field) {
            return field.name.starts_with("Banyan-");
        }));
        CHECK(upstream.requests.back().target == "/x/1?q=2");
        CHECK(upstream.requests.back().body == "question");
    }
}

TEST_CASE("request_relay says that a request was not run if no gateway reaches its upstream")
{
    forwarding_fixture fixture(request_kind::AtMostOnce);
    const replica gone{.id = upstream_id("u1"), .service = service_name("s"), .address = closedPort(), .softwareVersion = "v1", .slots = 4};
    fixture.registerUpstreams({gone}, [](const replica &) {
        return closedPort();
    });
    CHECK(fixture.call("id-1").status == 503);
}

TEST_CASE("forward_service declines what it knows of no upstream, a draining one or another start, and sends nothing")
{
    forwarding_fixture fixture(request_kind::AtMostOnce);
    scripted_upstream upstream(fixture.context, "u1", [](http_exchange &exchange) -> task<> {
        co_await exchange.respond(upstreamAnswer(200, "whole answer"));
    });
    const auto unreachable = [](const replica &) {
        return closedPort();
    };
    fixture.registerUpstreams({upstream.info("s")}, unreachable);
    replica &known = fixture.knownToHelper.begin()->second;
    known.draining = true;
    CHECK(fixture.call("id-1").status == 503);
    known.draining = false;
    known.startedAt = 7;
    CHECK(fixture.call("id-2").status == 503);
    fixture.knownToHelper.clear();
    CHECK(fixture.call("id-3").status == 503);
    CHECK(upstream.requests.empty());
}
