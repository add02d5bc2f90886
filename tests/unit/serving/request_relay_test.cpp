#include "banyan/io/serving/request_relay.h"

#include "relay_fixture.h"

#include "banyan/io/http_error.h"

#include "banyan/core/serving/event_splitter.h"
#include "banyan/core/serving/request_scheduler.h"
#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

std::string valueOf(const http_request &request, const std::string &name)
{
    for (const http_field &field : request.fields) {
        if (field.name == name) {
            return field.value;
        }
    }
    return "";
}

scripted_upstream::script answers(unsigned status, const std::string &body)
{
    return [status, body](http_exchange &exchange) -> task<> {
        http_response answer = upstreamAnswer(status, body);
        co_await exchange.respond(std::move(answer));
    };
}

/// Reads the request and closes the connection without an answer.
task<> closesWithoutAnswer(http_exchange &)
{
    co_return;
}

const std::string crashingBody = "crashes its upstream";

/// Upstreams that close the connection on requests with crashingBody and answer all others.
std::vector<std::unique_ptr<scripted_upstream>> crashingUpstreams(asio::io_context &context, int count)
{
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    for (int number = 0; number < count; ++number) {
        const auto requests = std::make_shared<const std::vector<http_request> *>(nullptr);
        auto script = [requests](http_exchange &exchange) -> task<> {
            if ((*requests)->back().body != crashingBody) {
                http_response answer = upstreamAnswer(200, "answer");
                co_await exchange.respond(std::move(answer));
            }
        };
        upstreams.push_back(std::make_unique<scripted_upstream>(context, "u" + std::to_string(number), std::move(script)));
        *requests = &upstreams.back()->requests;
    }
    return upstreams;
}

/// Number of requests with crashingBody that have reached upstreams.
std::size_t countCrashes(const std::vector<std::unique_ptr<scripted_upstream>> &upstreams)
{
    std::size_t count = 0;
    for (const auto &upstream : upstreams) {
        count +=
            static_cast<std::size_t>(std::count_if(upstream->requests.begin(), upstream->requests.end(), [](const http_request &request) {
                return request.body == crashingBody;
            }));
    }
    return count;
}

scripted_upstream::script rejects()
{
    return [](http_exchange &exchange) -> task<> {
        http_response answer{.status = 503, .fields = {{"Not-Executed", "1"}}};
        co_await exchange.respond(std::move(answer));
    };
}

/// Streams the events after Last-Event-Id (or from the first) up to @p to; unless @p complete, breaks off within the next event.
scripted_upstream::script streams(std::uint64_t to, bool complete)
{
    return [to, complete](http_exchange &exchange) -> task<> {
        const std::string after = exchange.field("Last-Event-Id");
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}, {"Content-Type", "text/event-stream"}};
        co_await exchange.begin(200, std::move(fields));
        for (std::uint64_t id = after.empty() ? 1 : std::stoull(after) + 1; id <= to; ++id) {
            co_await exchange.write(eventText(id));
        }
        if (complete) {
            co_await exchange.finish();
        } else {
            co_await exchange.write("id: 99\ndata: hal");
        }
    };
}

std::string eventsUpTo(std::uint64_t last)
{
    std::string text;
    for (std::uint64_t id = 1; id <= last; ++id) {
        text += eventText(id);
    }
    return text;
}

} // namespace

TEST_CASE("request_relay forwards request and answer unchanged except for the fields that it sets")
{
    relay_fixture fixture(request_kind::Idempotent);
    scripted_upstream upstream(fixture.context, "u1", answers(200, "answer"));
    fixture.setUpstreams({&upstream});
    const http_response answer = fixture.call("id-1");
    CHECK(answer.status == 200);
    CHECK(answer.body == "answer");
    CHECK(answer.field("Response-Stamp") == "stamp");
    REQUIRE(upstream.requests.size() == 1);
    const http_request &seen = upstream.requests.front();
    CHECK(seen.method == "POST");
    CHECK(seen.target == "/x/1?q=2");
    CHECK(seen.body == "question");
    CHECK(valueOf(seen, "Request-Id") == "id-1");
    CHECK(valueOf(seen, "Host") == "h");
    CHECK(valueOf(seen, "Custom") == "kept");
    CHECK(valueOf(seen, "Expect-Instance") == "u1");
    CHECK(std::stoi(valueOf(seen, "Deadline-Ms")) <= 5000);
}

TEST_CASE("request_relay retries an idempotent request whose answer was lost at another upstream")
{
    relay_fixture fixture(request_kind::Idempotent);
    scripted_upstream broken(fixture.context, "u1", closesWithoutAnswer);
    scripted_upstream good(fixture.context, "u2", answers(200, "answer"));
    fixture.setUpstreams({&broken, &good});
    // The answer comes from the good upstream, whichever is tried first.
    for (int call = 0; call < 6; ++call) {
        CHECK(fixture.call("id-" + std::to_string(call)).body == "answer");
    }
}

TEST_CASE("request_relay never repeats an at-most-once request that may have run, and does not report it as not run")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scripted_upstream broken(fixture.context, "u1", closesWithoutAnswer);
    scripted_upstream other(fixture.context, "u2", closesWithoutAnswer);
    fixture.setUpstreams({&broken, &other});
    const http_response answer = fixture.call("id-1");
    CHECK(answer.status == 502);
    CHECK(answer.field("Response-Stamp").empty());
    CHECK(broken.requests.size() + other.requests.size() == 1);
}

TEST_CASE("request_relay retries when an upstream reports that it did not run the request")
{
    relay_fixture fixture(request_kind::AtMostOnce, false, 1);
    scripted_upstream full(fixture.context, "u1", rejects());
    scripted_upstream good(fixture.context, "u2", answers(200, "answer"));
    fixture.setUpstreams({&full, &good});
    for (int call = 0; call < 4; ++call) {
        CHECK(fixture.call("id-" + std::to_string(call)).status == 200);
    }
}

TEST_CASE("request_relay answers 503 with Retry-After if all upstreams reject the request")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scripted_upstream full(fixture.context, "u1", rejects());
    fixture.setUpstreams({&full});
    const http_response answer = fixture.call("id-1");
    CHECK(answer.status == 503);
    CHECK(std::stod(answer.field("Retry-After")) > 0);
}

TEST_CASE("request_relay does not forward a status that means not run unless the upstream marks it so")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scripted_upstream upstream(fixture.context, "u1", answers(503, "busy"));
    fixture.setUpstreams({&upstream});
    CHECK(fixture.call("id-1").status == 502);
}

TEST_CASE("request_relay does not accept the answer to another request")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    const auto answer = [](http_exchange &exchange) -> task<> {
        http_response another = upstreamAnswer(200, "another's");
        another.fields.push_back({"Request-Id", "id-2"});
        co_await exchange.respond(std::move(another));
    };
    scripted_upstream upstream(fixture.context, "u1", answer, "X-Unused");
    fixture.setUpstreams({&upstream});
    CHECK(fixture.call("id-1").status == 502);
    CHECK(fixture.call("id-2").status == 200);
    CHECK(fixture.call("id-3", 300ms).status == 504); // The answer is one of its connection, so that the own one may follow.
}

TEST_CASE("request_relay does not accept an answer with a content encoding, which is not the upstream's original body")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scripted_upstream upstream(fixture.context, "u1", [](http_exchange &exchange) -> task<> {
        http_response answer = upstreamAnswer(200, "encoded");
        answer.fields.push_back({"Content-Encoding", "gzip"});
        co_await exchange.respond(std::move(answer));
    });
    fixture.setUpstreams({&upstream});
    CHECK(fixture.call("id-1").status == 502);
}

TEST_CASE("request_relay forwards a failure that an upstream reports")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scripted_upstream upstream(fixture.context, "u1", answers(500, "failed"));
    fixture.setUpstreams({&upstream});
    const http_response answer = fixture.call("id-1");
    CHECK(answer.status == 500);
    CHECK(answer.field("Response-Stamp") == "stamp");
}

TEST_CASE("request_relay continues a resumable stream at another upstream without missing or repeated events")
{
    relay_fixture fixture(request_kind::Stream, true, 2);
    scripted_upstream broken(fixture.context, "u1", streams(3, false));
    scripted_upstream good(fixture.context, "u2", streams(6, true));
    fixture.setUpstreams({&broken, &good});
    for (int call = 0; call < 6; ++call) {
        const http_response answer = fixture.call("id-" + std::to_string(call));
        CHECK(answer.status == 200);
        CHECK(answer.body == eventsUpTo(6));
    }
    REQUIRE_FALSE(broken.requests.empty());
}

TEST_CASE("request_relay closes the connection when a stream that cannot be resumed breaks off")
{
    relay_fixture fixture(request_kind::Stream, false, 2);
    scripted_upstream broken(fixture.context, "u1", streams(3, false));
    scripted_upstream other(fixture.context, "u2", streams(3, false));
    fixture.setUpstreams({&broken, &other});
    CHECK_THROWS_AS(fixture.call("id-1"), http_error);
    CHECK(broken.requests.size() + other.requests.size() == 1);
}

TEST_CASE("request_relay continues a stalled stream at another upstream")
{
    relay_fixture fixture(request_kind::Stream, true, 2);
    scripted_upstream unresponsive(fixture.context, "u1", [&fixture](http_exchange &exchange) -> task<> {
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}};
        co_await exchange.begin(200, std::move(fields));
        co_await exchange.write(eventText(1));
        co_await fixture.sleep(generousTime);
    });
    scripted_upstream good(fixture.context, "u2", streams(4, true));
    fixture.setUpstreams({&unresponsive, &good});
    for (int call = 0; call < 4; ++call) {
        CHECK(fixture.call("id-" + std::to_string(call)).body == eventsUpTo(4));
    }
}

TEST_CASE("request_relay ends a request at its route's timeout, with 504 if it was sent")
{
    relay_fixture fixture(request_kind::AtMostOnce, false, 1, 100ms);
    scripted_upstream unresponsive(fixture.context, "u1", [&fixture](http_exchange &) -> task<> {
        co_await fixture.sleep(generousTime);
    });
    fixture.setUpstreams({&unresponsive});
    CHECK(fixture.call("id-1").status == 504);
}

TEST_CASE("request_relay answers 503 at once if there is no upstream")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    const http_response answer = fixture.call("id-1");
    CHECK(answer.status == 503);
    CHECK(std::stod(answer.field("Retry-After")) > 0);
}

TEST_CASE("request_relay reports an upstream whose address belongs to another one now")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    std::vector<upstream_id> reused;
    fixture.nodes.front()->scheduler.onAddressReused([&](const upstream_id &upstream) {
        reused.push_back(upstream);
    });
    scripted_upstream other(fixture.context, "u1", [](http_exchange &exchange) -> task<> {
        http_response answer{.status = 421, .fields = {{"Instance-Id", "u9"}}};
        co_await exchange.respond(std::move(answer));
    });
    fixture.setUpstreams({&other});
    CHECK(fixture.call("id-1").status == 503);
    REQUIRE_FALSE(reused.empty());
    CHECK(reused.front() == upstream_id("u1"));
}

TEST_CASE("request_relay counts upstreams that a content crashes on reused idle connections")
{
    relay_fixture fixture(request_kind::Idempotent, false, 1);
    const std::vector<std::unique_ptr<scripted_upstream>> upstreams = crashingUpstreams(fixture.context, 8);
    std::vector<const scripted_upstream *> pointers;
    for (const auto &upstream : upstreams) {
        pointers.push_back(upstream.get());
        fixture.setUpstreams({upstream.get()}); // Opens a connection to each upstream that is then idle.
        REQUIRE(fixture.call("warm-" + upstream->id).status == 200);
    }
    fixture.setUpstreams(pointers);
    for (int call = 0; call < 12; ++call) {
        (void)fixture.call("id-" + std::to_string(call), 5s, crashingBody);
    }
    CHECK(countCrashes(upstreams) == 3);
    CHECK(fixture.call("last", 5s, crashingBody).status == 503);
    CHECK(fixture.call("other", 5s, "question").status == 200);
}

TEST_CASE("request_relay sends a content that was lost once only on new connections")
{
    relay_fixture fixture(request_kind::Idempotent, false, 2);
    const std::vector<std::unique_ptr<scripted_upstream>> upstreams = crashingUpstreams(fixture.context, 2);
    for (const auto &upstream : upstreams) {
        fixture.setUpstreams({upstream.get()});
        REQUIRE(fixture.call("warm-" + upstream->id).status == 200);
    }
    fixture.setUpstreams({upstreams[0].get(), upstreams[1].get()});
    const http_client &client = fixture.nodes.front()->client;
    const std::uint64_t before = client.connectionsOpened();
    (void)fixture.call("id-1", 5s, crashingBody); // Two attempts, the first on an idle connection.
    CHECK(countCrashes(upstreams) == 2);
    CHECK(client.connectionsOpened() == before + 1);
}

TEST_CASE("request_relay counts upstreams that end without answering a content")
{
    relay_fixture fixture(request_kind::Idempotent, false, 1, 60ms);
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    std::vector<const scripted_upstream *> pointers;
    for (int number = 0; number < 8; ++number) {
        auto unresponsive = [&fixture](http_exchange &) -> task<> {
            co_await fixture.sleep(200ms);
        };
        upstreams.push_back(std::make_unique<scripted_upstream>(fixture.context, "u" + std::to_string(number), std::move(unresponsive)));
        pointers.push_back(upstreams.back().get());
    }
    for (int call = 0; call < 6; ++call) {
        fixture.setUpstreams(pointers);
        (void)fixture.call("id-" + std::to_string(call), 5s, crashingBody);
        const auto hit = std::find_if(pointers.begin(), pointers.end(), [](const scripted_upstream *upstream) {
            return !upstream->requests.empty();
        });
        if (hit != pointers.end()) {
            fixture.nodes.front()->relay.upstreamEnded(keyOfStart((*hit)->info("s")), currentTime());
            pointers.erase(hit);
        }
    }
    CHECK(countCrashes(upstreams) == 3);
    CHECK(fixture.call("last", 5s, crashingBody).status == 503);
}

TEST_CASE("request_relay keeps serving a content that was answered before when later runs are lost with their upstreams")
{
    relay_fixture fixture(request_kind::Idempotent, false, 1);
    bool dropsAnswers = false;
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    std::vector<const scripted_upstream *> pointers;
    for (int number = 0; number < 8; ++number) {
        auto script = [&dropsAnswers, answer = answers(200, "answer")](http_exchange &exchange) -> task<> {
            if (!dropsAnswers) {
                co_await answer(exchange);
            }
        };
        upstreams.push_back(std::make_unique<scripted_upstream>(fixture.context, "u" + std::to_string(number), std::move(script)));
        pointers.push_back(upstreams.back().get());
    }
    fixture.setUpstreams(pointers);
    REQUIRE(fixture.call("before").status == 200);
    dropsAnswers = true;
    for (int call = 0; call < 6; ++call) {
        CHECK(fixture.call("lost-" + std::to_string(call)).status == 502);
    }
    dropsAnswers = false;
    CHECK(fixture.call("after").status == 200);
}

TEST_CASE("request_relay does not retry a content that has been quarantined meanwhile because of losses at other nodes")
{
    relay_fixture fixture(request_kind::Idempotent, false, 5);
    const auto quarantineElsewhere = [&](http_exchange &) -> task<> {
        for (upstream_key lost = 1; lost <= 3; ++lost) {
            fixture.nodes.front()->relay.recordRemoteLoss(
                {.fingerprint = fixture.nodes.front()->relay.fingerprint("/x/1?q=2", crashingBody), .upstream = lost},
                node_id("other"),
                currentTime());
        }
        co_return;
    };
    scripted_upstream first(fixture.context, "u1", quarantineElsewhere);
    scripted_upstream second(fixture.context, "u2", quarantineElsewhere);
    fixture.setUpstreams({&first, &second});
    CHECK(fixture.call("id-1", 5s, crashingBody).status == 502); // It has run once.
    CHECK(first.requests.size() + second.requests.size() == 1);
}

TEST_CASE("request_relay counts each crash of an upstream that restarts under the same id")
{
    relay_fixture fixture(request_kind::Idempotent, false, 1);
    const std::vector<std::unique_ptr<scripted_upstream>> upstreams = crashingUpstreams(fixture.context, 1);
    for (std::uint64_t start = 1; start <= 6; ++start) {
        replica registered = upstreams.front()->info("s");
        registered.startedAt = start;
        fixture.nodes.front()->scheduler.setUpstreams(std::vector<replica>{registered});
        (void)fixture.call("id-" + std::to_string(start), 5s, crashingBody);
    }
    CHECK(countCrashes(upstreams) == 3);
}

TEST_CASE("request_relay rejects a content that has crashed three upstreams")
{
    relay_fixture fixture(request_kind::Idempotent, false, 1);
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    std::vector<const scripted_upstream *> pointers;
    for (int number = 0; number < 8; ++number) {
        upstreams.push_back(std::make_unique<scripted_upstream>(fixture.context, "u" + std::to_string(number), closesWithoutAnswer));
        pointers.push_back(upstreams.back().get());
    }
    fixture.setUpstreams(pointers);
    for (int call = 0; call < 3; ++call) {
        CHECK(fixture.call("id-" + std::to_string(call)).status == 502);
    }
    CHECK(fixture.call("id-4").status == 503);
    std::size_t reached = 0;
    for (const auto &upstream : upstreams) {
        reached += upstream->requests.size();
    }
    CHECK(reached == 3);
    CHECK(fixture.nodes.front()->relay.recentlyLost(currentTime()).size() == 3);
}

TEST_CASE("request_relay uses a new slot id for each attempt, since a release may arrive after the next claim")
{
    relay_fixture fixture(request_kind::Idempotent, false, 3);
    scripted_upstream upstream(fixture.context, "u1", closesWithoutAnswer);
    fixture.setUpstreams({&upstream});
    std::set<std::string> ids;
    std::size_t claims = 0;
    // Simulates a scheduling node that grants every claim.
    serving_node &node = *fixture.nodes.front();
    node.onSend = [&](const gateway_message &message) {
        if (const auto *const claim = std::get_if<slot_claim>(&message)) {
            ids.insert(claim->request.id.text());
            ++claims;
            const slot_verdict verdict{.request = claim->request.id, .state = claim_state::Granted, .upstream = upstream_id("u1")};
            asio::post(fixture.context, [&node, verdict] {
                node.slots.received(verdict);
            });
        }
    };
    fixture.recordOtherNodes(node);
    CHECK(fixture.call("id-1").status == 502);
    CHECK(claims == 3);
    CHECK(ids.size() == 3);
}

TEST_CASE("request_relay claims another upstream when it is granted one that it does not know")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scripted_upstream good(fixture.context, "u1", answers(200, "answer"));
    fixture.setUpstreams({&good});
    serving_node &node = *fixture.nodes.front();
    node.onSend = [&](const gateway_message &message) {
        if (const auto *const claim = std::get_if<slot_claim>(&message)) {
            const bool excludesUnknown = claim->request.excluded == std::vector<upstream_id>{upstream_id("unheard-of")};
            const slot_verdict verdict{.request = claim->request.id,
                                       .state = claim_state::Granted,
                                       .upstream = upstream_id(excludesUnknown ? "u1" : "unheard-of")};
            asio::post(fixture.context, [&node, verdict] {
                node.slots.received(verdict);
            });
        }
    };
    fixture.recordOtherNodes(node);
    CHECK(fixture.call("id-1").body == "answer");
}

TEST_CASE("request_relay sends nothing to an upstream that it knows is draining, although the scheduling node grants it")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scripted_upstream draining(fixture.context, "u1", answers(200, "from the draining one"));
    scripted_upstream good(fixture.context, "u2", answers(200, "answer"));
    fixture.setUpstreams({&draining, &good});
    serving_node &node = *fixture.nodes.front();
    fixture.upstreams.front().draining = true;
    node.scheduler.setUpstreams(fixture.upstreams);
    node.onSend = [&](const gateway_message &message) {
        if (const auto *const claim = std::get_if<slot_claim>(&message)) {
            const upstream_id granted(claim->request.excluded.empty() ? "u1" : "u2");
            const slot_verdict verdict{.request = claim->request.id, .state = claim_state::Granted, .upstream = granted};
            asio::post(fixture.context, [&node, verdict] {
                node.slots.received(verdict);
            });
        }
    };
    fixture.recordOtherNodes(node);
    CHECK(fixture.call("id-1").body == "answer");
    CHECK(draining.requests.empty());
}

TEST_CASE("request_relay abandons an upstream that sends an endless event and continues the stream at another one")
{
    relay_fixture fixture(request_kind::Stream, true, 2);
    std::size_t sent = 0;
    scripted_upstream endless(fixture.context, "u1", [&sent](http_exchange &exchange) -> task<> {
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}};
        co_await exchange.begin(200, std::move(fields));
        co_await exchange.write(eventText(1) + "id: 2\ndata: ");
        const std::string piece(std::size_t(64) << 10, 'x');
        for (;;) { // Until the client closes the connection.
            co_await exchange.write(piece);
            sent += piece.size();
        }
    });
    scripted_upstream good(fixture.context, "u2", streams(4, true));
    fixture.setUpstreams({&endless, &good});
    for (int call = 0; call < 4; ++call) {
        CHECK(fixture.call("id-" + std::to_string(call)).body == eventsUpTo(4));
    }
    REQUIRE_FALSE(endless.requests.empty());
    constexpr std::size_t bufferAllowance = std::size_t(16) << 20; // Socket buffers on both sides of the connection.
    CHECK(sent / endless.requests.size() <= event_splitter::maximumEventSize + bufferAllowance);
}

TEST_CASE("request_relay does not accept an answer with an oversized head and retries at another upstream")
{
    relay_fixture fixture(request_kind::Idempotent, false, 2);
    scripted_upstream endless(fixture.context, "u1", [](http_exchange &exchange) -> task<> {
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}, {"X", std::string(std::size_t(1) << 20, 'x')}};
        co_await exchange.begin(200, std::move(fields));
        co_await exchange.finish();
    });
    scripted_upstream good(fixture.context, "u2", answers(200, "good"));
    fixture.setUpstreams({&endless, &good});
    for (int call = 0; call < 4; ++call) {
        CHECK(fixture.call("id-" + std::to_string(call)).body == "good");
    }
    CHECK_FALSE(endless.requests.empty());
}

TEST_CASE("request_relay does not collect an endless answer and retries at another upstream")
{
    relay_fixture fixture(request_kind::Idempotent, false, 2);
    scripted_upstream endless(fixture.context, "u1", [](http_exchange &exchange) -> task<> {
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}};
        co_await exchange.begin(200, std::move(fields));
        for (;;) {
            co_await exchange.write(std::string(std::size_t(64) << 10, 'x'));
        }
    });
    scripted_upstream good(fixture.context, "u2", answers(200, "good"));
    fixture.setUpstreams({&endless, &good});
    for (int call = 0; call < 4; ++call) {
        CHECK(fixture.call("id-" + std::to_string(call)).body == "good");
    }
    CHECK_FALSE(endless.requests.empty());
}

TEST_CASE("an upstream is told whose request it runs")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scripted_upstream upstream(fixture.context, "u1", answers(200, "answer"));
    fixture.setUpstreams({&upstream});
    fixture.identify = [](client_request &request) {
        request.organisation = caller_id("own");
        request.key = key_digest{1};
    };
    CHECK(fixture.call("r1", 5s, "question", {{"Authorization", "Bearer k"}, {"Tenant", "another"}}).status == 200);
    REQUIRE(upstream.requests.size() == 1);
    CHECK(valueOf(upstream.requests.front(), "Tenant") == "own");
    CHECK(valueOf(upstream.requests.front(), "Authorization").empty());
}

TEST_CASE("a request whose key was taken away while it waited is refused and does not run")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scripted_upstream upstream(fixture.context, "u1", answers(200, "answer"));
    fixture.setUpstreams({&upstream});
    fixture.nodes.front()->keysAreValid = false;
    fixture.identify = [](client_request &request) {
        request.key = key_digest{1};
    };
    CHECK(fixture.call("r1").status == 503);
    CHECK(upstream.requests.empty());
    fixture.identify = nullptr;
    CHECK(fixture.call("r2").status == 200); // Without a key there is nothing to prove, and the slot is free again.
}
