#include "banyan/io/serving/request_relay.h"

#include "serving_fixture.h"
#include "unit/raw_upstream.h"

#include "banyan/io/http_error.h"

#include <catch2/catch.hpp>

#include <array>
#include <optional>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

/// Where an answer ends.
enum class cut_position {
    Head, ///< Within the head.
    BeforeBody,
    Chunk, ///< Within a chunk; with other framings the same bytes as Event.
    Event, ///< Within an event, or within a body that is no stream.
    BetweenEvents,
    End, ///< After the last byte of the body, but before the last chunk if there are chunks.
};

constexpr std::array framings = {answer_framing::Length, answer_framing::Chunks, answer_framing::ConnectionEnd};
constexpr std::array cutPositions = {cut_position::Head,
                                     cut_position::BeforeBody,
                                     cut_position::Chunk,
                                     cut_position::Event,
                                     cut_position::BetweenEvents,
                                     cut_position::End};
constexpr std::array ends = {connection_end::Closed, connection_end::Reset, connection_end::Silent};
constexpr std::uint64_t eventCount = 4;
constexpr duration timeoutWithRetry = 4s; // Leaves time for another attempt after a silent one, also on a busy machine.
constexpr duration timeoutWithoutRetry = 300ms; // Only silence lasts as long.

/// What a caller can know of its answer.
enum class seen_by_caller {
    Whole, ///< The frame says that the answer is complete.
    Unproven, ///< A 200 that ends with its connection, without an error.
    Broken, ///< A connection that breaks within the answer.
    Lost, ///< 502.
    Late, ///< 504.
    NotRun, ///< 503.
};

std::ostream &operator<<(std::ostream &out, seen_by_caller value)
{
    static constexpr std::array names = {"whole", "unproven", "broken", "lost", "late", "not run"};
    return out << names.at(static_cast<std::size_t>(value));
}

std::string describe(answer_framing framing, cut_position cut, connection_end end)
{
    static constexpr std::array cuts = {"in the head", "before the body", "in a chunk", "in an event", "between events", "at the end"};
    static constexpr std::array endings = {"kept", "closed", "reset", "silent"};
    return std::string(toString(framing)) + ", " + endings.at(static_cast<std::size_t>(end)) + " " + cuts.at(static_cast<std::size_t>(cut));
}

std::string eventsFrom(std::uint64_t first, std::uint64_t last = eventCount)
{
    std::string text;
    for (std::uint64_t id = first; id <= last; ++id) {
        text += eventText(id);
    }
    return text;
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::string headOf(const std::string &request, answer_framing framing, std::size_t length)
{
    static const std::string mark = "Request-Id: ";
    const std::size_t at = request.find(mark) + mark.size();
    std::string head = "HTTP/1.1 200 OK\r\nResponse-Stamp: stamp\r\n" + mark + request.substr(at, request.find('\r', at) - at) + "\r\n";
    head += request.find("Model: ") == std::string::npos ? "" : "Content-Type: text/event-stream\r\n";
    head += framing == answer_framing::Length ? "Content-Length: " + std::to_string(length) + "\r\n" : "";
    head += framing == answer_framing::Chunks ? "Transfer-Encoding: chunked\r\n" : "";
    return head + "\r\n";
}

std::string wholeAnswer(const std::string &request, answer_framing framing, const std::string &body)
{
    const std::string head = headOf(request, framing, body.size());
    return framing == answer_framing::Chunks ? head + (body.empty() ? "" : chunk(body)) + "0\r\n\r\n" : head + body;
}

/// The answer with @p body up to the position, as it is on the wire.
std::string cutAnswer(const std::string &request, answer_framing framing, const std::string &body, cut_position cut)
{
    std::string head = headOf(request, framing, body.size());
    const bool isStream = body.starts_with("id: ");
    const std::string whole = isStream ? eventsFrom(1, 2) : "";
    const std::string partial = whole + body.substr(whole.size(), 3);
    switch (cut) {
    case cut_position::Head:
        return head.substr(0, head.size() / 2);
    case cut_position::BeforeBody:
        return head;
    case cut_position::Chunk:
        return head + (framing == answer_framing::Chunks ? "ff\r\n" : "") + partial;
    case cut_position::Event:
        return head + (framing == answer_framing::Chunks ? chunk(partial) : partial);
    case cut_position::BetweenEvents:
        return head + (framing == answer_framing::Chunks && isStream ? chunk(whole) : whole);
    case cut_position::End:
        return head + (framing == answer_framing::Chunks ? chunk(body) : body);
    }
    return head;
}

/// The rest of a stream that a request asks for, or the whole body.
std::string restOf(const std::string &body, const std::string &request)
{
    static const std::string mark = "Last-Event-Id: ";
    const std::size_t found = request.find(mark);
    return found == std::string::npos ? body : eventsFrom(std::stoull(request.substr(found + mark.size())) + 1);
}

bool mayRunAgain(request_kind kind, bool resumable)
{
    return kind == request_kind::Idempotent || resumable;
}

/// What a caller got.
struct received_answer
{
    seen_by_caller seen;
    std::string body;
};

/// A relay with one route, and an upstream under two ids that plays one answer per request.
struct framing_fixture : serving_fixture
{
    std::shared_ptr<const route_table> table;
    http_server front{context, {.listen = endpoint::parse("127.0.0.1:0"), .requestIdField = "Request-Id"}};
    http_client caller{context, {}};
    raw_upstream upstream;

    framing_fixture(request_kind kind, bool resumable, raw_upstream::script script)
        : upstream(context, std::move(script))
    {
        table = std::make_shared<const route_table>(
            serving_configuration{.version = 1,
                                  .routes = {{.name = "r",
                                              .host = "h",
                                              .pathPrefix = "/x/",
                                              .kind = kind,
                                              .resumable = resumable,
                                              .services = {{.service = service_name("s")}},
                                              .timeout = mayRunAgain(kind, resumable) ? timeoutWithRetry : timeoutWithoutRetry,
                                              .target = 100ms,
                                              .gapTarget = 100ms,
                                              .maximumAttempts = 2}}});
        nodes.front()->scheduler.setUpstreams(upstream.registeredAs({"u1", "u2"}));
        front.routeOthers([this](http_exchange &exchange) -> task<> {
            std::string body = co_await exchange.body(1U << 20U);
            client_request request = platform::decodeRequest(exchange, std::move(body), currentTime());
            co_await nodes.front()->relay.serve(exchange, std::move(request), table, *table->find("h", "/x/"));
        });
        front.start();
    }

    received_answer call(bool asStream, const std::string &method = "POST", const std::string &id = "id-1")
    {
        received_answer result{.seen = seen_by_caller::Whole, .body = {}};
        std::string body;
        unsigned status = 0;
        answer_framing framing{};
        run([&]() -> task<> {
            http_request request{
                .method = method, .target = "/x/1", .fields = {{"Host", "h"}, {"Request-Id", id}, {"Deadline-Ms", "5000"}}, .body = "q"};
            if (asStream) {
                request.fields.push_back({"Model", "m"});
            }
            http_client::stream_handler handler;
            handler.onHead = [&](const http_response_head &head) -> task<> {
                status = head.status;
                framing = head.framing;
                co_return;
            };
            handler.onPiece = [&](std::string_view piece) -> task<> {
                body += piece;
                co_return;
            };
            const http_client::stream_options options{.timeouts = {.firstByte = generousTime, .silence = generousTime}};
            try {
                co_await caller.stream(front.address(), std::move(request), std::move(handler), options);
            } catch (const http_error &) {
                result.seen = seen_by_caller::Broken;
            }
        });
        result.body = body;
        if (result.seen == seen_by_caller::Broken) {
            return result;
        }
        if (status == 502 || status == 504) {
            result.seen = status == 502 ? seen_by_caller::Lost : seen_by_caller::Late;
        } else if (status == 503) {
            result.seen = seen_by_caller::NotRun;
        } else {
            CHECK(status == 200);
            result.seen = provesEnd(framing) ? seen_by_caller::Whole : seen_by_caller::Unproven;
        }
        return result;
    }
};

/// The first answer is cut, each further one is whole and framed.
raw_upstream::script cutOnce(answer_framing framing, const std::string &body, cut_position cut, connection_end end)
{
    return [=](const std::string &request, std::size_t number) -> raw_answer {
        if (number == 0) {
            return {.bytes = cutAnswer(request, framing, body, cut), .end = end};
        }
        return {.bytes = wholeAnswer(request, answer_framing::Chunks, restOf(body, request))};
    };
}

/// Whether the cut leaves an answer that HTTP takes for a whole one.
bool isWholeByHttp(answer_framing framing, cut_position cut, connection_end end)
{
    if (framing == answer_framing::Length) {
        return cut == cut_position::End;
    }
    return framing == answer_framing::ConnectionEnd && end == connection_end::Closed && cut != cut_position::Head;
}

using expectation = std::function<seen_by_caller(answer_framing framing, cut_position cut, connection_end end)>;

/// Plays each framing with each cut, and compares what the caller gets.
void checkAll(request_kind kind, bool resumable, const std::string &body, const expectation &expected)
{
    for (const answer_framing framing : framings) {
        for (const cut_position cut : cutPositions) {
            for (const connection_end end : ends) {
                INFO(describe(framing, cut, end));
                framing_fixture fixture(kind, resumable, cutOnce(framing, body, cut, end));
                const received_answer answer = fixture.call(kind == request_kind::Stream);
                CHECK(answer.seen == expected(framing, cut, end));
                if (answer.seen == seen_by_caller::Whole) {
                    CHECK(answer.body == body);
                } else if (answer.seen != seen_by_caller::Lost && answer.seen != seen_by_caller::Late) {
                    CHECK(body.starts_with(answer.body));
                }
                CHECK(fixture.upstream.requests.size() <= (mayRunAgain(kind, resumable) ? 2 : 1));
            }
        }
    }
}

} // namespace

TEST_CASE("request_relay calls an idempotent answer complete only if its frame says so")
{
    checkAll(request_kind::Idempotent, false, "answer", [](answer_framing framing, cut_position cut, connection_end end) {
        const bool taken = isWholeByHttp(framing, cut, end) && !provesEnd(framing);
        return taken ? seen_by_caller::Unproven : seen_by_caller::Whole; // Anything else runs again.
    });
}

TEST_CASE("request_relay calls an at-most-once answer complete only if its frame says so")
{
    checkAll(request_kind::AtMostOnce, false, "answer", [](answer_framing framing, cut_position cut, connection_end end) {
        if (isWholeByHttp(framing, cut, end)) {
            return provesEnd(framing) ? seen_by_caller::Whole : seen_by_caller::Unproven;
        }
        return end == connection_end::Silent ? seen_by_caller::Late : seen_by_caller::Lost;
    });
}

TEST_CASE("request_relay does not complete a stream that cannot be resumed and was cut")
{
    checkAll(request_kind::Stream, false, eventsFrom(1), [](answer_framing framing, cut_position cut, connection_end end) {
        if (cut == cut_position::Head) {
            return end == connection_end::Silent ? seen_by_caller::Late : seen_by_caller::Lost;
        }
        const bool inEvent = cut == cut_position::Chunk || cut == cut_position::Event;
        if (isWholeByHttp(framing, cut, end) && !inEvent) {
            return provesEnd(framing) ? seen_by_caller::Whole : seen_by_caller::Unproven;
        }
        return seen_by_caller::Broken;
    });
}

TEST_CASE("request_relay continues a resumable stream that was cut, however it is framed")
{
    checkAll(request_kind::Stream, true, eventsFrom(1), [](answer_framing framing, cut_position cut, connection_end) {
        // The caller's frame is the one of the first head that was received.
        return cut == cut_position::Head || provesEnd(framing) ? seen_by_caller::Whole : seen_by_caller::Unproven;
    });
}

TEST_CASE("request_relay continues an unframed resumable stream that ended without an event or within one")
{
    for (const cut_position cut : {cut_position::BeforeBody, cut_position::Chunk, cut_position::Event}) {
        for (const connection_end end : {connection_end::Closed, connection_end::Reset}) {
            INFO(describe(answer_framing::ConnectionEnd, cut, end));
            framing_fixture fixture(request_kind::Stream, true, cutOnce(answer_framing::ConnectionEnd, eventsFrom(1), cut, end));
            CHECK(fixture.call(true).body == eventsFrom(1));
        }
    }
}

TEST_CASE("request_relay does not complete a framed stream whose last run has no frame")
{
    framing_fixture fixture(request_kind::Stream, true, [](const std::string &request, std::size_t number) -> raw_answer {
        if (number == 0) {
            return {.bytes = cutAnswer(request, answer_framing::Chunks, eventsFrom(1), cut_position::BetweenEvents),
                    .end = connection_end::Closed};
        }
        return {.bytes = wholeAnswer(request, answer_framing::ConnectionEnd, eventsFrom(3)), .end = connection_end::Closed};
    });
    const received_answer answer = fixture.call(true);
    CHECK(answer.seen == seen_by_caller::Broken);
    CHECK(answer.body == eventsFrom(1));
}

TEST_CASE("request_relay passes a failure without a frame on without one")
{
    framing_fixture fixture(request_kind::AtMostOnce, false, [](const std::string &request, std::size_t) -> raw_answer {
        std::string answer = wholeAnswer(request, answer_framing::ConnectionEnd, "failed");
        return {.bytes = answer.replace(answer.find("200 OK"), 6, "500 No"), .end = connection_end::Closed};
    });
    http_response answer;
    fixture.run([&]() -> task<> {
        http_request request{.method = "POST", .target = "/x/1", .fields = {{"Host", "h"}, {"Request-Id", "id-1"}}};
        answer = co_await fixture.caller.exchange(fixture.front.address(), std::move(request), generousTime);
    });
    CHECK(answer.status == 500);
    CHECK(answer.body == "failed");
    CHECK(answer.framing == answer_framing::ConnectionEnd);
}

TEST_CASE("request_relay neither completes a stream with another upstream's error nor puts it into the stream")
{
    const std::string error = "the upstream's error\n\n";
    const std::string length = "Content-Length: " + std::to_string(error.size()) + "\r\n";
    const std::string own = "Request-Id: id-1\r\nResponse-Stamp: stamp\r\n";
    for (const std::string &head : {"422 No\r\n" + own,
                                    "400 No\r\n" + own,
                                    "500 No\r\n" + own,
                                    std::string("503 No\r\nNot-Executed: 1\r\n"),
                                    "200 OK\r\n" + own,
                                    "200 OK\r\n" + own + "Content-Type: application/json\r\n"}) {
        INFO(head);
        framing_fixture fixture(request_kind::Stream, true, [&](const std::string &request, std::size_t number) -> raw_answer {
            if (number == 0) {
                return {.bytes = cutAnswer(request, answer_framing::Chunks, eventsFrom(1), cut_position::BetweenEvents),
                        .end = connection_end::Closed};
            }
            return {.bytes = std::string("HTTP/1.1 ").append(head).append(length).append("\r\n").append(error)};
        });
        const received_answer answer = fixture.call(true);
        CHECK(answer.seen == seen_by_caller::Broken);
        CHECK(answer.body == eventsFrom(1, 2));
        CHECK(fixture.upstream.requests.size() >= 2);
    }
}

TEST_CASE("request_relay does not take an earlier refusal for the answer to a request that an upstream runs")
{
    // The first request is refused. The refusal comes once more, as the answer to the second one, while the upstream runs that.
    const std::string refusal = "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
    // One that names the first request is dropped, and the answer to the second one never comes.
    const std::vector<std::pair<std::string, seen_by_caller>> cases = {{"", seen_by_caller::Lost},
                                                                       {"Request-Id: first\r\n", seen_by_caller::Late}};
    for (const auto &[id, expected] : cases) {
        INFO(id);
        framing_fixture fixture(request_kind::AtMostOnce, false, [&, id = id](const std::string &request, std::size_t) -> raw_answer {
            const bool isFirst = request.find("Request-Id: first") != std::string::npos;
            return {.bytes = refusal + (isFirst ? "Request-Id: first\r\n" : id) + "\r\n", .end = connection_end::Kept};
        });
        fixture.nodes.front()->scheduler.setUpstreams(fixture.upstream.registeredAs({"u1"}));
        CHECK(fixture.call(false, "POST", "first").seen == seen_by_caller::NotRun);
        const std::size_t before = fixture.upstream.requests.size();
        CHECK(fixture.call(false, "POST", "second").seen == expected);
        CHECK(fixture.upstream.requests.size() == before + 1);
    }
}

TEST_CASE("request_relay does not take an earlier refusal of the same request for an answer to its next attempt")
{
    framing_fixture fixture(request_kind::AtMostOnce, false, [](const std::string &request, std::size_t number) -> raw_answer {
        const std::string refusal = "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n";
        // On the connection of the refusal its copy comes first.
        return number == 0 ? raw_answer{.bytes = refusal} : raw_answer{.bytes = wholeAnswer(request, answer_framing::Length, "answer")};
    });
    fixture.nodes.front()->scheduler.setUpstreams(fixture.upstream.registeredAs({"u1"}));
    const std::uint64_t before = fixture.nodes.front()->client.connectionsOpened();
    CHECK(fixture.call(false).seen == seen_by_caller::Whole);
    CHECK(fixture.nodes.front()->client.connectionsOpened() == before + 2);
}

TEST_CASE("request_relay does not begin a stream again whose events have no ids to continue after")
{
    const std::string events = "data: a\n\ndata: b\n\n";
    framing_fixture fixture(request_kind::Stream, true, [&](const std::string &request, std::size_t number) -> raw_answer {
        const std::string head = headOf(request, answer_framing::Chunks, 0);
        return number == 0 ? raw_answer{.bytes = head + chunk(events), .end = connection_end::Closed}
                           : raw_answer{.bytes = head + chunk(events) + "0\r\n\r\n"};
    });
    const received_answer answer = fixture.call(true);
    CHECK(answer.seen == seen_by_caller::Broken);
    CHECK(answer.body == events);
    CHECK(fixture.upstream.requests.size() == 1);
}
