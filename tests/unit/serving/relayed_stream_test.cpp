#include "serving/relayed_stream.h"

#include "banyan/core/serving/route.h"
#include "banyan/io/http_error.h"
#include "banyan/io/serving/answer_head.h"
#include "banyan/io/serving/client_request.h"

#include "relay_fixture.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace banyan;
using namespace banyan::tests;

namespace {

const answer_head streamHead{.kind = answer_kind::Success, .status = 200, .isEventStream = true, .framing = answer_framing::Chunks};

route streamRoute(bool resumable)
{
    return {.name = "r", .kind = request_kind::Stream, .resumable = resumable, .services = {{.service = service_name("s")}}};
}

/// Streams events up to the tenth, from the one after Last-Event-Id on.
task<> answersStream(http_exchange &exchange)
{
    const std::string after = exchange.field("Last-Event-Id");
    std::vector<http_field> fields{{"Response-Stamp", "stamp"}, {"Content-Type", "text/event-stream"}};
    co_await exchange.begin(200, std::move(fields));
    for (std::uint64_t id = after.empty() ? 1 : std::stoull(after) + 1; id <= 10; ++id) {
        co_await exchange.write(eventText(id));
    }
    co_await exchange.finish();
}

} // namespace

TEST_CASE("relayed_stream has the version of the run that brought the first event")
{
    relayed_stream stream({.id = request_id("a")}, streamRoute(true));
    stream.beginRun("v1");
    CHECK(stream.addHead(streamHead));
    CHECK(stream.add("id: 1\ndata: beginning of an ev").empty());
    CHECK_FALSE(stream.continues());
    CHECK(stream.canContinue());
    // The run has brought no whole event, so that any version may begin the stream.
    stream.beginRun("v2");
    CHECK_FALSE(stream.addHead(streamHead));
    CHECK(stream.add(eventText(1)) == eventText(1));
    CHECK(stream.continues());
    CHECK(stream.version() == "v2");
    CHECK(stream.canContinue());
}

TEST_CASE("relayed_stream cannot be continued if the upstream that began it does not say its version")
{
    relayed_stream stream({.id = request_id("a")}, streamRoute(true));
    stream.beginRun("");
    CHECK(stream.addHead(streamHead));
    CHECK(stream.add(eventText(1)) == eventText(1));
    CHECK_FALSE(stream.canContinue());
}

TEST_CASE("relayed_stream is the same stream for all requests that take it up, and none if it cannot be resumed")
{
    const relayed_stream first({.id = request_id("a")}, streamRoute(true));
    const relayed_stream second({.id = request_id("b"), .resumeAfter = 3, .resumes = request_id("a")}, streamRoute(true));
    CHECK(first.key() == second.key());
    CHECK_FALSE(first.continues());
    CHECK(second.continues());
    CHECK(second.version().empty());
    const relayed_stream other({.id = request_id("b"), .resumeAfter = 3, .resumes = request_id("a")}, streamRoute(false));
    CHECK(other.key() == 0);
    CHECK_FALSE(other.continues());
}

TEST_CASE("relayed_stream does not accept a run that leaves events out")
{
    relayed_stream stream({.id = request_id("a")}, streamRoute(true));
    stream.beginRun("v1");
    CHECK(stream.add(eventText(1)) == eventText(1));
    stream.beginRun("v1");
    CHECK(stream.add(eventText(1)).empty());
    CHECK_THROWS_AS(stream.add(eventText(3)), http_error);
}

TEST_CASE("request_relay sends a stream that is taken up to the service that its first request was sent to")
{
    relay_fixture fixture(request_kind::Stream, true);
    route split = *fixture.table->find("h", "/x/");
    split.services = {{.service = service_name("s"), .weight = 1}, {.service = service_name("t"), .weight = 1}};
    fixture.table = std::make_shared<const route_table>(serving_configuration{.version = 1, .routes = {split}});
    scripted_upstream ofFirst(fixture.context, "u1", answersStream);
    scripted_upstream ofSecond(fixture.context, "u2", answersStream);
    fixture.upstreams = {ofFirst.info("s"), ofSecond.info("t")};
    fixture.nodes.front()->scheduler.setUpstreams(fixture.upstreams);
    int number = 0;
    const auto idFor = [&](const std::string &service) {
        std::string id = "id-" + std::to_string(++number);
        while (serviceFor(split, request_id(id)) != service_name(service)) {
            id = "id-" + std::to_string(++number);
        }
        return id;
    };
    const std::string began = idFor("s");
    CHECK(fixture.call(began).status == 200);
    const std::vector<http_field> takeUp = {{"Last-Event-Id", "3"}, {"Resumes", began}};
    CHECK(fixture.call(idFor("t"), generousTime, "question", takeUp).status == 200);
    CHECK(ofFirst.requests.size() == 2);
    CHECK(ofSecond.requests.empty());
}

TEST_CASE("request_relay refuses to continue a stream at an upstream that does not say its version")
{
    relay_fixture fixture(request_kind::Stream, true);
    scripted_upstream upstream(fixture.context, "u1", answersStream);
    fixture.upstreams = {upstream.info("s")};
    fixture.upstreams.front().softwareVersion.clear();
    fixture.nodes.front()->scheduler.setUpstreams(fixture.upstreams);
    const std::vector<http_field> takeUp = {{"Last-Event-Id", "3"}, {"Resumes", "first"}};
    const http_response answer = fixture.call("second", generousTime, "question", takeUp);
    CHECK(answer.status == 503);
    CHECK(answer.field("Retry-After") == "0.000");
    CHECK(upstream.requests.empty());
    CHECK(fixture.call("new").status == 200);
}

// Guards against declining one grant after another at upstreams that this node has not read.
TEST_CASE("request_relay refuses a stream at once if this node knows no upstream of the version that began it")
{
    relay_fixture fixture(request_kind::Stream, true);
    scripted_upstream upstream(fixture.context, "u1", answersStream);
    fixture.setUpstreams({&upstream});
    serving_node &node = *fixture.nodes.front();
    serving_fixture::recordOtherNodes(node);
    int claims = 0;
    node.onSend = [&](const gateway_message &message) {
        if (const auto *const claim = std::get_if<slot_claim>(&message)) {
            const slot_verdict verdict{.request = claim->request.id,
                                       .state = claim_state::Granted,
                                       .upstream = upstream_id("unread-" + std::to_string(++claims)),
                                       .version = "newer"};
            asio::post(fixture.context, [&node, verdict] {
                node.slots.received(verdict);
            });
        }
    };
    const std::vector<http_field> takeUp = {{"Last-Event-Id", "3"}, {"Resumes", "first"}};
    const http_response answer = fixture.call("second", generousTime, "question", takeUp);
    CHECK(answer.status == 503);
    CHECK(answer.field("Retry-After") == "0.000");
    CHECK(claims == 1);
    CHECK(upstream.requests.empty());
}
