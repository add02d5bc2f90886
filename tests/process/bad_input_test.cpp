#include "eventually.h"
#include "fleet.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace banyan::process_tests;
namespace json = boost::json;

namespace {

constexpr std::size_t overMaximumBody = std::size_t(5) << 20; ///< Bytes; the default limit is 4 MiB.
constexpr std::size_t overMaximumHead = 60000; ///< Bytes; the limit is 16 KiB, and this test's client cannot send a field of 64 KiB.

/// A request that must be refused before it reaches an engine.
struct bad_request_case
{
    std::string name;
    http_request request;
    unsigned status;
};

http_request withBody(const std::string &body)
{
    http_request request = postJson("/v1/chat/completions", callerKey, nullptr);
    request.body = body;
    return request;
}

http_request withModel(const std::string &model)
{
    json::object body = chatBody("hello");
    body["model"] = model;
    return postJson("/v1/chat/completions", callerKey, body);
}

http_request withLargeHead()
{
    http_request request = withModel("advisor");
    request.fields.push_back({.name = "X-Large", .value = std::string(overMaximumHead, 'x')});
    return request;
}

std::vector<bad_request_case> badRequests()
{
    return {{"broken JSON", withBody("{\"model\":"), 400},
            {"JSON that is no object", withBody("[]"), 400},
            {"no model", withBody("{\"messages\":[]}"), 400},
            {"unknown model", withModel("nobody"), 404},
            {"wrong key", postJson("/v1/chat/completions", "wrong", chatBody("hello")), 401},
            {"wrong key for files", getRequest("/v1/files", "wrong"), 401},
            {"wrong key for jobs", postJson("/v1/batches", "wrong", json::object()), 401},
            {"wrong key for results", getRequest("/v1/results/order-1", "wrong"), 401},
            {"no key", postJson("/v1/chat/completions", "", chatBody("hello")), 401},
            {"unknown address", getRequest("/v1/nothing", callerKey), 404},
            {"unknown service", getRequest("/v1/services/nothing/stock", callerKey), 404},
            {"large body", withBody(std::string(overMaximumBody, ' ')), 413},
            {"large head", withLargeHead(), 431}};
}

} // namespace

TEST_CASE("bad requests get the right status in the client's error shape, at once and without reaching an upstream")
{
    fleet running({});
    for (const bad_request_case &bad : badRequests()) {
        INFO(bad.name);
        const http_response answer = call(running.callers(0), bad.request);
        CHECK(answer.status == bad.status);
        CHECK(answer.field("X-Banyan-Run") == "not-run");
        CHECK(json::parse(answer.body).at("error").at("message").is_string());
        CHECK(json::parse(answer.body).at("error").at("type").is_string());
    }
    CHECK(fleet::log(running.engine(0)).at("started") == 0);
    CHECK(fleet::log(running.engine(1)).at("started") == 0);
    CHECK(running.chat(0, "still there").status == 200);
}

TEST_CASE("what is not HTTP is refused")
{
    fleet running({});
    test_connection connection(running.callers(0));
    connection.sendRaw("\x16\x03\x01 nothing that we speak\r\n\r\n");
    CHECK(connection.receiveHead().status == 400);
}

TEST_CASE("a sender that stops in the middle is cut off, and others are served meanwhile")
{
    fleet running({});
    test_connection head(running.callers(0), std::chrono::minutes(1));
    head.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost:");
    test_connection body(running.callers(0), std::chrono::minutes(1));
    body.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + callerKey
                 + "\r\nContent-Length: 100\r\n\r\n{");
    CHECK(running.chat(0, "not held up").status == 200);
    CHECK(head.closedByPeer());
    CHECK(body.closedByPeer());
    CHECK(fleet::log(running.engine(0)).at("started").to_number<int>() + fleet::log(running.engine(1)).at("started").to_number<int>() == 1);
}
