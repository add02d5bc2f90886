#include "request_codec.h"

#include "banyan/core/final_result.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const upstream_protocol protocol = platform::makeProtocol();

upstream_run runWith(std::vector<http_field> fields)
{
    return {.id = request_id("id-1"),
            .upstream = upstream_id("u-1"),
            .address = {"127.0.0.1", 1},
            .method = "POST",
            .target = "/x",
            .host = "h",
            .fields = std::move(fields),
            .body = "b",
            .resumeAfter = 12,
            .timeLeft = 1500ms};
}

answer_kind kindOf(unsigned status, const std::vector<http_field> &fields)
{
    return protocol.decodeHead({.status = status, .fields = fields}, runWith({})).kind;
}

std::size_t countOf(const http_request &request, const http_field &field)
{
    return static_cast<std::size_t>(std::count(request.fields.begin(), request.fields.end(), field));
}

} // namespace

TEST_CASE("encodeRun sets the fields of the run in place of the client's")
{
    const http_request request = protocol.encodeRun(
        runWith({{"Deadline-Ms", "9000"}, {"last-event-id", "3"}, {"Expect-Instance", "another"}, {"Model", "m"}, {"Host", "h"}}));
    CHECK(countOf(request, {"Deadline-Ms", "1500"}) == 1);
    CHECK(countOf(request, {"Last-Event-Id", "12"}) == 1);
    CHECK(countOf(request, {"Expect-Instance", "u-1"}) == 1);
    CHECK(countOf(request, {"Request-Id", "id-1"}) == 1);
    CHECK(countOf(request, {"Model", "m"}) == 1);
    CHECK(request.fields.size() == 6);
}

TEST_CASE("encodeRun names the organisation of the run in place of what the client says, and passes no key on")
{
    upstream_run run = runWith({{"authorization", "Bearer k"}, {"TENANT", "another"}, {"Model", "m"}});
    run.organisation = caller_id("own");
    const http_request request = protocol.encodeRun(run);
    CHECK(countOf(request, {"Tenant", "own"}) == 1);
    CHECK(request.fields.size() == 7);
}

TEST_CASE("encodeRun passes fields of other deployments on if no organisation is known")
{
    const http_request request = protocol.encodeRun(runWith({{"Authorization", "Bearer k"}, {"Tenant", "t"}}));
    CHECK(countOf(request, {"Authorization", "Bearer k"}) == 1);
    CHECK(countOf(request, {"Tenant", "t"}) == 1);
}

TEST_CASE("dropCallerFields removes what a client says of who it is")
{
    client_request request{.fields = {{"Authorization", "Bearer k"}, {"tenant", "t"}, {"Model", "m"}, {"AUTHORIZATION", "x"}}};
    platform::dropCallerFields(request);
    CHECK(request.fields == std::vector<http_field>{{"Model", "m"}});
    job_item item{.fields = {{"Tenant", "t"}, {"Model", "m"}, {"authorization", "Bearer k"}}};
    platform::dropCallerFields(item);
    CHECK(item.fields == std::vector<std::pair<std::string, std::string>>{{"Model", "m"}});
}

TEST_CASE("decodeHead takes only the upstream's own proof for not run")
{
    const http_field id{"Request-Id", "id-1"};
    const http_field stamp{"Response-Stamp", "s"};
    CHECK(kindOf(200, {id, stamp}) == answer_kind::Success);
    CHECK(kindOf(200, {id}) == answer_kind::Unusable);
    CHECK(kindOf(200, {{"Request-Id", "id-2"}, stamp}) == answer_kind::Unusable);
    CHECK(kindOf(200, {stamp}) == answer_kind::Unusable);
    CHECK(kindOf(200, {id, stamp, {"Content-Encoding", "gzip"}}) == answer_kind::Unusable);
    CHECK(kindOf(503, {id, {"Not-Executed", "1"}}) == answer_kind::NotRun);
    CHECK(kindOf(503, {{"Not-Executed", "1"}}) == answer_kind::NotRun);
    CHECK(kindOf(503, {id, stamp}) == answer_kind::Unusable);
    CHECK(kindOf(429, {id}) == answer_kind::Unusable);
    CHECK(kindOf(421, {{"Instance-Id", "u-2"}}) == answer_kind::WrongUpstream);
    CHECK(kindOf(422, {id, stamp}) == answer_kind::Rejection);
    CHECK(kindOf(500, {id, stamp}) == answer_kind::Failure);
    CHECK(kindOf(504, {id, stamp}) == answer_kind::Failure);
}

TEST_CASE("decodeHead takes an answer without an id only if none came before it on its connection")
{
    const auto kindAfter = [](unsigned status, std::vector<http_field> fields, bool first) {
        return protocol.decodeHead({.status = status, .fields = std::move(fields), .isFirstOnConnection = first}, runWith({})).kind;
    };
    CHECK(kindAfter(503, {{"Not-Executed", "1"}}, true) == answer_kind::NotRun);
    CHECK(kindAfter(503, {{"Not-Executed", "1"}}, false) == answer_kind::Unusable);
    CHECK(kindAfter(421, {{"Instance-Id", "u-2"}}, true) == answer_kind::WrongUpstream);
    CHECK(kindAfter(421, {{"Instance-Id", "u-2"}}, false) == answer_kind::Unusable);
    CHECK(kindAfter(503, {{"Not-Executed", "1"}, {"Request-Id", "id-1"}}, false) == answer_kind::NotRun);
    CHECK(kindAfter(503, {{"Not-Executed", "1"}, {"Request-Id", "id-2"}}, false) == answer_kind::Unusable);
}

TEST_CASE("decodeHead passes no field on that concerns the connection")
{
    const http_response_head received{.status = 200,
                                      .fields = {{"Request-Id", "id-1"},
                                                 {"Response-Stamp", "s"},
                                                 {"Connection", "close, X-Hop"},
                                                 {"X-Hop", "1"},
                                                 {"Keep-Alive", "timeout=5"},
                                                 {"Transfer-Encoding", "chunked"},
                                                 {"Content-Type", "text/event-stream"}},
                                      .framing = answer_framing::Chunks};
    const answer_head head = protocol.decodeHead(received, runWith({}));
    CHECK(head.framing == answer_framing::Chunks);
    CHECK(head.isEventStream);
    CHECK(head.fields == std::vector<http_field>{{"Request-Id", "id-1"}, {"Response-Stamp", "s"}, {"Content-Type", "text/event-stream"}});
}

TEST_CASE("decodeHead tells of every kind of answer whether the upstream leaves, and does not pass it on")
{
    const http_field id{"Request-Id", "id-1"};
    const http_field stamp{"Response-Stamp", "s"};
    const auto leaves = [&](unsigned status, std::vector<http_field> fields) {
        fields.push_back({"Server-Leaving", "1"});
        const answer_head head = protocol.decodeHead({.status = status, .fields = fields}, runWith({}));
        CHECK(std::none_of(head.fields.begin(), head.fields.end(), [](const http_field &field) {
            return field.name == "Server-Leaving";
        }));
        return head.upstreamLeaves;
    };
    CHECK(leaves(200, {id, stamp}));
    CHECK(leaves(200, {id, stamp, {"Content-Type", "text/event-stream"}}));
    CHECK(leaves(500, {id, stamp}));
    CHECK(leaves(422, {id, stamp}));
    CHECK(leaves(503, {{"Not-Executed", "1"}}));
    CHECK(leaves(429, {id}));
    CHECK(leaves(421, {{"Instance-Id", "u-2"}}));
    CHECK_FALSE(leaves(200, {{"Request-Id", "id-2"}, stamp})); // Of an earlier request.
    CHECK_FALSE(protocol.decodeHead({.status = 200, .fields = {id, stamp}}, runWith({})).upstreamLeaves);
}

TEST_CASE("encodeEnd promises not run only for what did not run, and says when to come back")
{
    const http_response refused = protocol.encodeEnd({.what = disposition::NotRun, .reason = end_reason::Overloaded, .retryAfter = 250ms});
    CHECK(refused.status == 503);
    CHECK(refused.field("Retry-After") == "0.250");
    CHECK(protocol.encodeEnd({.what = disposition::NotRun, .reason = end_reason::CrashesUpstreams}).status == 503);
    CHECK(protocol.encodeEnd({.what = disposition::OutcomeUnknown, .reason = end_reason::AnswerLost}).status == 502);
    CHECK(protocol.encodeEnd({.what = disposition::OutcomeUnknown, .reason = end_reason::DeadlineUnreachable}).status == 504);
    CHECK(protocol.encodeEnd({.what = disposition::Failed, .reason = end_reason::AnswerLost}).status == 502);
}

TEST_CASE("decodeJob reads items and refuses what is not well-formed")
{
    const std::optional<std::vector<job_item>> items = platform::decodeJob(
        R"({"items":[{"id":"i1","path":"/p/1","headers":{"Model":"m","Connection":"close"},"body":"AAEC/w==","tokens":940}]})");
    REQUIRE(items.has_value());
    REQUIRE(items->size() == 1);
    CHECK(items->front().id == "i1");
    CHECK(items->front().body == std::string("\0\1\2\xff", 4));
    CHECK(items->front().fields == std::vector<std::pair<std::string, std::string>>{{"Model", "m"}});
    for (const std::string text :
         {"", "{}", R"({"items":[]})", R"({"items":[{"id":"i1"}]})", R"({"items":[{"id":"i","path":"/","body":"*"}]})"}) {
        CHECK_FALSE(platform::decodeJob(text).has_value());
    }
}

// Guards against items that begin further fields, or a request of their own, in the head that is sent to an upstream.
TEST_CASE("decodeJob refuses items whose texts may not stand in a request's head")
{
    const auto accepts = [](const std::string &path, const std::string &name, const std::string &value) {
        return platform::decodeJob(R"({"items":[{"id":"i","path":")" + path + R"(","headers":{")" + name + R"(":")" + value
                                   + R"("},"body":""}]})")
            .has_value();
    };
    CHECK(accepts("/p/1?q=2", "Model", "m, n"));
    CHECK_FALSE(accepts("/p/1?q=2", "Model", "m\\r\\nTenant: other"));
    CHECK_FALSE(accepts("/p/1?q=2", "Model\\r\\nTenant", "other"));
    CHECK_FALSE(accepts("/p/1?q=2", "Tenant ", "other"));
    CHECK_FALSE(accepts("/p/1 HTTP/1.1\\r\\nTenant: other", "Model", "m"));
    CHECK_FALSE(accepts("/p/1", "Model", std::string(20000, 'm')));
}

TEST_CASE("encodeResults tells where to go on, and leaves the rest of a large page for the next one")
{
    job_results results{.state = lookup_state::Found, .total = 5};
    results.results = {{.item = "a", .succeeded = true, .output = "x\ny"}, {.item = "b", .succeeded = false, .output = ""}};
    CHECK(platform::encodeResults(results, 2)
          == R"({"total":5,"next":4,"results":[{"id":"a","state":"succeeded","output":"x\ny"},{"id":"b","state":"errored","output":""}]})");
    results.results = {{.item = "a", .succeeded = true, .output = std::string(600000, 'x')},
                       {.item = "b", .succeeded = true, .output = std::string(600000, 'y')}};
    CHECK(platform::encodeResults(results, 0).find(R"("next":1)") != std::string::npos);
}

TEST_CASE("decodeHead tells the rate limit that any answer of the upstream itself names")
{
    using content = rate_statement::content;
    const http_field id{"Request-Id", "id-1"};
    const http_field stamp{"Response-Stamp", "s"};
    const auto said = [&](unsigned status, std::vector<http_field> fields) {
        fields.push_back({"server-limit", "2.5"});
        return protocol.decodeHead({.status = status, .fields = std::move(fields)}, runWith({})).rate;
    };
    const rate_statement limited{.what = content::Limited, .perSecond = 2.5};
    for (const unsigned status : {200U, 422U, 500U, 503U, 504U}) {
        CHECK(said(status, {id, stamp}) == limited);
    }
    CHECK(said(503, {id, {"Not-Executed", "1"}}) == limited);
    CHECK(said(429, {{"Not-Executed", "1"}}) == limited);
    // An answer to another request, or of another upstream at the address, says nothing of this one.
    CHECK(said(200, {{"Request-Id", "id-2"}, stamp}) == rate_statement());
    CHECK(said(421, {{"Instance-Id", "u-2"}}) == rate_statement());
    CHECK(said(421, {id, {"Instance-Id", "u-2"}}) == rate_statement());
}

TEST_CASE("decodeHead takes the lowest readable limit, and an unreadable one neither for a limit nor for its end")
{
    using content = rate_statement::content;
    const auto said = [&](const std::vector<std::string> &values) {
        std::vector<http_field> fields{{"Request-Id", "id-1"}, {"Response-Stamp", "s"}};
        for (const std::string &value : values) {
            fields.push_back({"Server-Limit", value});
        }
        return protocol.decodeHead({.status = 200, .fields = std::move(fields)}, runWith({})).rate;
    };
    CHECK(said({}) == rate_statement{.what = content::Unlimited});
    CHECK(said({"0"}) == rate_statement{.what = content::Limited, .perSecond = 0});
    CHECK(said({" 12 "}) == rate_statement{.what = content::Limited, .perSecond = 12});
    CHECK(said({"1" + std::string(30, '0')}) == rate_statement{.what = content::Limited, .perSecond = 1e6});
    CHECK(said({"3", "2"}) == rate_statement{.what = content::Limited, .perSecond = 2});
    for (const std::string unreadable : {"", "-1", "-0", "inf", "nan", "1e3", "2,5", "2 3", "many"}) {
        CHECK(said({unreadable}) == rate_statement{.what = content::Nothing, .malformed = true});
        CHECK(said({unreadable, "2"}) == rate_statement{.what = content::Limited, .perSecond = 2, .malformed = true});
    }
}

TEST_CASE("decodeHead keeps what concerns gateways only from the client")
{
    const answer_head head = protocol.decodeHead(
        {.status = 200, .fields = {{"Request-Id", "id-1"}, {"Response-Stamp", "s"}, {"Server-Limit", "2"}, {"Server-Leaving", "1"}}},
        runWith({}));
    CHECK(std::none_of(head.fields.begin(), head.fields.end(), [](const http_field &field) {
        return field.name.starts_with("Server-");
    }));
}
