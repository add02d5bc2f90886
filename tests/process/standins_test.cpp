#include "eventually.h"
#include "fleet.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace banyan::process_tests;
namespace json = boost::json;

namespace {

fleet_options withoutEntries()
{
    return {.entries = 0, .engines = 1, .services = 1};
}

http_request commit(const char *body)
{
    return {.method = "POST", .target = "/tables/commit", .body = body};
}

} // namespace

TEST_CASE("the platform stand-in commits a transaction whole or not at all")
{
    fleet running(withoutEntries());
    const endpoint platform = running.platform();
    REQUIRE(call(platform, commit(R"({"conditions":[{"key":"a","version":0}],"writes":[{"key":"a","value":"1"}]})")).status == 200);
    const http_response refused = call(platform, commit(R"({"conditions":[{"key":"a","version":0}],"writes":[{"key":"b","value":"2"}]})"));
    CHECK(refused.status == 409);
    CHECK(refused.body == R"({"failed":["a"]})");
    CHECK(call(platform, {.target = "/tables/row?key=b"}).status == 404);
}

TEST_CASE("the platform stand-in loses an answer after the effect")
{
    fleet running(withoutEntries());
    fleet::setFaults(running.platform(), {{"lose_answers", 1}});
    CHECK_THROWS_AS(call(running.platform(), commit(R"({"writes":[{"key":"a","value":"1"}]})")), call_failure);
    CHECK(call(running.platform(), {.target = "/tables/row?key=a"}).status == 200);
}

TEST_CASE("the engine stand-in streams the words of its answer")
{
    fleet running(withoutEntries());
    json::object body = chatBody("one two");
    body["stream"] = true;
    const http_response answer = call(running.engine(0), postJson("/v1/chat/completions", "", body));
    CHECK(answer.body.find(R"("content":"echo:one")") != std::string::npos);
    CHECK(answer.body.find(R"("content":" two")") != std::string::npos);
    CHECK(answer.body.ends_with("data: [DONE]\n\n"));
}

TEST_CASE("the engine stand-in counts a request whose connection closes as cancelled")
{
    fleet running(withoutEntries());
    fleet::setFaults(running.engine(0), {{"stall", true}});
    {
        test_connection connection(running.engine(0));
        connection.send(postJson("/v1/chat/completions", "", chatBody("never")));
        REQUIRE(eventually([&] {
            return fleet::log(running.engine(0)).at("started") == 1;
        }));
    }
    CHECK(eventually([&] {
        return fleet::log(running.engine(0)).at("cancelled") == 1;
    }));
}

TEST_CASE("the service stand-in counts the runs of one idempotency key")
{
    fleet running(withoutEntries());
    const http_request order{.method = "POST", .target = "/orders", .fields = {{"Idempotency-Key", "k"}}, .body = "drum"};
    fleet::setFaults(running.service(0), {{"cut_after_effect", 1}});
    CHECK_THROWS_AS(call(running.service(0), order), call_failure);
    CHECK(call(running.service(0), order).status == 200);
    CHECK(fleet::log(running.service(0)).at("keys").at("k") == 2);
}

// Guards against runs that hang because a program waits for a reader of its log.
TEST_CASE("a stand-in goes on however much it logs after its ready line")
{
    child_process process({.program = "tests/replica_standin", .arguments = {"--id", "r", "--slots", "100000", "--event-ms", "1"}});
    const endpoint address = endpoint::parse(process.readyValue("address"));
    for (int request = 0; request < 2000; ++request) {
        test_connection connection(address); // Closed before its answer, which is logged.
        connection.send({.method = "POST", .target = "/stream/1", .fields = {{"Request-Id", std::to_string(request)}, {"Model", "m"}}});
    }
    CHECK(call(address, {.target = "/standin/runs"}).status == 200);
}
