#include "forwarding_fixture.h"
#include "relay_fixture.h"
#include "store_client.h"
#include "unit/early_upstream.h"

#include "banyan/io/http_client.h"
#include "banyan/io/http_error.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/serving/table_store.h"

#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <string>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

const std::string upload(1000000, 'u');
const std::string events = eventText(1) + eventText(2);

/// A 200 to the request with this head: @p sent bytes of @p body, in a frame for the whole of it.
std::string answerTo(const std::string &head, answer_framing framing, const std::string &body, std::size_t sent)
{
    std::string bytes = "HTTP/1.1 200 OK\r\nResponse-Stamp: stamp\r\nRequest-Id: " + valueIn(head, "Request-Id") + "\r\n";
    bytes += body.starts_with("id: ") ? "Content-Type: text/event-stream\r\n" : "";
    if (framing == answer_framing::ConnectionEnd) {
        return bytes + "\r\n" + body.substr(0, sent);
    }
    if (framing == answer_framing::Length) {
        return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, sent);
    }
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    return bytes + "Transfer-Encoding: chunked\r\n\r\n" + size + body.substr(0, sent) + (sent == body.size() ? "\r\n0\r\n\r\n" : "");
}

std::string describe(answer_framing framing, std::size_t sent, early_end end)
{
    static constexpr std::array ends = {"reset", "ends and reads on", "ends and ignores", "ends and resets", "kept", "ignored"};
    return std::string(toString(framing)) + ", " + std::to_string(sent) + " bytes, " + ends.at(static_cast<std::size_t>(end));
}

/// Without it the whole upload would be out of the client's hands before its answer ends.
void requireThatUploadsWait(early_upstream &upstream)
{
    REQUIRE(upstream.bytesHeldUnread() < upload.size() / 2);
}

/// How a client ends one exchange with an early_upstream.
struct ended_exchange
{
    std::string body;
    std::optional<std::string> error;
};

/// @p pause is how long each piece of the answer keeps its reader busy.
ended_exchange exchangeWith(const endpoint &address, bool isStreamed, duration pause = duration(0))
{
    asio::io_context context;
    http_client client(context, {});
    ended_exchange ended;
    bool done = false;
    const auto work = [&]() -> task<> {
        http_request request{.method = "POST", .body = upload};
        http_client::stream_handler handler;
        handler.onHead = [](const http_response_head &) -> task<> {
            co_return;
        };
        handler.onPiece = [&](std::string_view piece) -> task<> {
            ended.body += piece;
            asio::steady_timer timer(context, pause);
            co_await timer.async_wait(asio::use_awaitable);
        };
        const http_client::stream_options options{.timeouts = {.firstByte = generousTime, .silence = generousTime}};
        try {
            if (isStreamed) {
                co_await client.stream(address, std::move(request), std::move(handler), options);
            } else {
                const http_response answer = co_await client.exchange(address, std::move(request), generousTime);
                ended.body = answer.body;
            }
        } catch (const http_error &error) {
            ended.error = error.what();
        }
        done = true;
    };
    asio::co_spawn(context, work(), asio::detached);
    while (!done) {
        context.run_one();
    }
    return ended;
}

/// What a caller of a relay got: the body, or nothing if the answer broke off.
std::optional<http_response> callRelay(relay_fixture &fixture, const std::string &id)
{
    try {
        return fixture.call(id, 5s, upload, {{"Model", "m"}});
    } catch (const http_error &) {
        return std::nullopt;
    }
}

} // namespace

TEST_CASE("http_client takes an early answer for whole only if its frame or an orderly end proves it, while the request is being written")
{
    const std::string body = "whole answer";
    early_upstream upstream(nullptr);
    requireThatUploadsWait(upstream);
    for (const answer_framing framing : {answer_framing::Length, answer_framing::Chunks, answer_framing::ConnectionEnd}) {
        for (const std::size_t sent : {std::size_t(0), std::size_t(5), body.size()}) {
            for (const early_end end : {early_end::Reset, early_end::EndsAndReads, early_end::EndsAndIgnores, early_end::EndsAndResets}) {
                for (const bool isStreamed : {true, false}) {
                    INFO(describe(framing, sent, end) << (isStreamed ? ", streamed" : ""));
                    upstream.setScript([&](const std::string &head) {
                        return early_answer{.bytes = answerTo(head, framing, body, sent), .end = end};
                    });
                    const ended_exchange ended = exchangeWith(upstream.address(), isStreamed);
                    const bool isWhole = provesEnd(framing) ? sent == body.size() : end != early_end::Reset;
                    CHECK(ended.error.has_value() == !isWhole);
                    CHECK((!isWhole || ended.body == body.substr(0, sent)));
                }
            }
        }
    }
}

TEST_CASE("http_client tells an orderly end from a reset also if its reader is busy until the connection has gone")
{
    early_upstream upstream(nullptr);
    requireThatUploadsWait(upstream);
    for (const early_end end : {early_end::Reset, early_end::EndsAndResets}) {
        INFO(describe(answer_framing::ConnectionEnd, 5, end));
        upstream.setScript([&](const std::string &head) {
            return early_answer{.bytes = answerTo(head, answer_framing::ConnectionEnd, "whole", 5), .end = end};
        });
        const ended_exchange ended = exchangeWith(upstream.address(), true, 100ms);
        CHECK(ended.error.has_value() == (end == early_end::Reset));
        CHECK(ended.body == "whole");
    }
}

TEST_CASE("http_client takes a framed early answer whose upstream keeps the connection, and does not use that one again")
{
    early_upstream upstream(nullptr);
    requireThatUploadsWait(upstream);
    for (const answer_framing framing : {answer_framing::Length, answer_framing::Chunks}) {
        for (const early_end end : {early_end::Kept, early_end::Ignored}) {
            INFO(describe(framing, 5, end));
            upstream.setScript([&](const std::string &head) {
                return early_answer{.bytes = answerTo(head, framing, "whole", 5), .end = end};
            });
            const ended_exchange ended = exchangeWith(upstream.address(), true);
            CHECK_FALSE(ended.error.has_value());
            CHECK(ended.body == "whole");
        }
    }
}

TEST_CASE("request_relay does not complete an unframed answer that was reset while the request was written")
{
    for (const request_kind kind : {request_kind::Idempotent, request_kind::AtMostOnce}) {
        for (const std::size_t sent : {std::size_t(0), std::size_t(5)}) {
            INFO("kind " << static_cast<int>(kind) << ", " << sent << " bytes");
            relay_fixture fixture(kind);
            early_upstream upstream([&](const std::string &head) {
                return early_answer{.bytes = answerTo(head, answer_framing::ConnectionEnd, "whole", sent), .end = early_end::Reset};
            });
            requireThatUploadsWait(upstream);
            const int before = upstream.requests();
            upstream.setScript([&](const std::string &head) {
                return early_answer{.bytes = answerTo(head, answer_framing::ConnectionEnd, "whole", sent), .end = early_end::Reset};
            });
            fixture.nodes.front()->scheduler.setUpstreams(upstream.registeredAs({"u1", "u2"}));
            const std::optional<http_response> answer = callRelay(fixture, "id-1");
            REQUIRE(answer.has_value());
            CHECK(answer->status == 502);
            CHECK(upstream.requests() - before == (kind == request_kind::AtMostOnce ? 1 : 2));
        }
    }
}

TEST_CASE("request_relay breaks a stream off, or continues it, that was reset between events while the request was written")
{
    for (const bool isResumable : {false, true}) {
        INFO((isResumable ? "resumable" : "not resumable"));
        relay_fixture fixture(request_kind::Stream, isResumable);
        early_upstream upstream(nullptr);
        requireThatUploadsWait(upstream);
        upstream.setScript([&](const std::string &head) {
            if (!valueIn(head, "Last-Event-Id").empty()) {
                return early_answer{.bytes = answerTo(head, answer_framing::ConnectionEnd, eventText(2), eventText(2).size()),
                                    .end = early_end::EndsAndReads};
            }
            return early_answer{.bytes = answerTo(head, answer_framing::ConnectionEnd, events, eventText(1).size()),
                                .end = early_end::Reset};
        });
        fixture.nodes.front()->scheduler.setUpstreams(upstream.registeredAs({"u1", "u2"}));
        const std::optional<http_response> answer = callRelay(fixture, "id-1");
        CHECK(answer.has_value() == isResumable);
        CHECK((!isResumable || answer->body == events));
    }
}

TEST_CASE("request_relay passes a whole early answer on, whose upstream ends in order while the request is written")
{
    for (const request_kind kind : {request_kind::Idempotent, request_kind::AtMostOnce, request_kind::Stream}) {
        for (const early_end end : {early_end::EndsAndReads, early_end::EndsAndIgnores, early_end::EndsAndResets}) {
            INFO("kind " << static_cast<int>(kind) << ", " << describe(answer_framing::ConnectionEnd, events.size(), end));
            relay_fixture fixture(kind);
            early_upstream upstream(nullptr);
            requireThatUploadsWait(upstream);
            upstream.setScript([&](const std::string &head) {
                return early_answer{.bytes = answerTo(head, answer_framing::ConnectionEnd, events, events.size()), .end = end};
            });
            fixture.nodes.front()->scheduler.setUpstreams(upstream.registeredAs({"u1"}));
            const std::optional<http_response> answer = callRelay(fixture, "id-1");
            REQUIRE(answer.has_value());
            CHECK(answer->status == 200);
            CHECK(answer->body == events);
            CHECK(answer->framing == answer_framing::ConnectionEnd);
        }
    }
}

TEST_CASE("forward_service does not complete an unframed answer that was reset while it wrote the request")
{
    for (const request_kind kind : {request_kind::AtMostOnce, request_kind::Stream}) {
        INFO("kind " << static_cast<int>(kind));
        forwarding_fixture fixture(kind);
        early_upstream upstream(nullptr);
        requireThatUploadsWait(upstream);
        upstream.setScript([&](const std::string &head) {
            return early_answer{.bytes = answerTo(head, answer_framing::ConnectionEnd, events, eventText(1).size()),
                                .end = early_end::Reset};
        });
        fixture.registerUpstreams(upstream.registeredAs({"u1"}), [](const replica &) {
            return closedPort();
        });
        const std::optional<http_response> answer = callRelay(fixture, "id-1");
        fixture.settle();
        CHECK((!answer.has_value() || answer->status == 502));
        CHECK((kind == request_kind::Stream || answer.has_value()));
    }
}

TEST_CASE("the store's client does not know the outcome of a change whose answer was reset while the change was written")
{
    early_upstream store(nullptr);
    requireThatUploadsWait(store);
    store.setScript([](const std::string &) {
        return early_answer{.bytes = "HTTP/1.1 200 OK\r\n\r\n", .end = early_end::Reset};
    });
    serving_fixture fixture;
    http_client client(fixture.context, {});
    const table_store port = platform::makeStore(client, store.address());
    const auto put = [&] {
        fixture.run([&]() -> task<> {
            co_await port.putObject("o", upload);
        });
    };
    CHECK_THROWS_AS(put(), platform_outcome_unknown);
}
