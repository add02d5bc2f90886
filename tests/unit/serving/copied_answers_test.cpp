#include "relay_fixture.h"
#include "unit/raw_upstream.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace banyan::tests;

namespace {

std::string idOf(const std::string &request)
{
    static const std::string mark = "Request-Id: ";
    const std::size_t at = request.find(mark) + mark.size();
    return request.substr(at, request.find('\r', at) - at);
}

/// What the 421 of an instance that did not expect the request looks like.
std::string misdirected(const std::string &id)
{
    return "HTTP/1.1 421 No\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

std::string success(const std::string &id)
{
    const std::string body = "answer to " + id;
    return "HTTP/1.1 200 OK\r\nResponse-Stamp: stamp\r\nRequest-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

replica registration(const raw_upstream &upstream, const std::string &id)
{
    return upstream.registeredAs({id}).front();
}

} // namespace

// Guards against running a request twice where an address is taken over by another instance.
TEST_CASE("request_relay runs a request once if its 421 is copied on a kept connection to an address that was taken over")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scheduler_host &scheduler = fixture.nodes.front()->scheduler;
    std::vector<std::string> runs;
    raw_upstream other(fixture.context, [&](const std::string &request, std::size_t) -> raw_answer {
        runs.push_back("other");
        return {.bytes = success(idOf(request))};
    });
    raw_upstream *takenOver = nullptr;
    raw_upstream upstream(fixture.context, [&](const std::string &request, std::size_t number) -> raw_answer {
        const std::string refusal = misdirected(idOf(request));
        if (number == 0) {
            // The instance that has the address now is listed at once.
            scheduler.setUpstreams(takenOver->registeredAs({"before", "after"}));
            return {.bytes = refusal};
        }
        runs.push_back("after");
        scheduler.setUpstreams(std::vector<replica>{registration(*takenOver, "after"), registration(other, "other")});
        const bool isCopied = takenOver->connections[number] == takenOver->connections[0];
        return {.bytes = (isCopied ? refusal : std::string()) + success(idOf(request))};
    });
    takenOver = &upstream;
    scheduler.setUpstreams(upstream.registeredAs({"before"}));
    const http_response answer = fixture.call("id-1");
    CHECK(answer.status == 200);
    CHECK(answer.body == "answer to id-1");
    CHECK(runs == std::vector<std::string>{"after"});
}
