#include "forwarding_fixture.h"
#include "unit/raw_upstream.h"

#include "banyan/io/http_error.h"

#include <catch2/catch.hpp>

#include <array>
#include <optional>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

/// What a caller can know of its answer.
enum class seen_by_caller {
    Whole, ///< 200, and the frame says that it is complete.
    Unproven, ///< 200 that ends with its connection, without an error.
    NotRun, ///< 503.
    Unknown, ///< 502 or 504.
    Broken, ///< A connection that breaks within the answer.
    Other,
};

struct route_kind
{
    request_kind kind;
    bool resumable = false;

    [[nodiscard]] bool mayRunAgain() const
    {
        return kind == request_kind::Idempotent || resumable;
    }
};

constexpr std::array routeKinds = {route_kind{request_kind::Idempotent},
                                   route_kind{request_kind::AtMostOnce},
                                   route_kind{request_kind::Stream, true},
                                   route_kind{request_kind::Stream, false}};

const std::vector<http_field> streamFields = {{"Response-Stamp", "stamp"}, {"Content-Type", "text/event-stream"}};
const std::string answered = "Banyan-Forward-Outcome: answered\r\n";

bool isStream(const std::string &request)
{
    return !valueIn(request, "Model").empty();
}

/// The whole body, or the rest of a stream that the request asks for.
std::string bodyFor(const std::string &request)
{
    if (!isStream(request)) {
        return "answer to " + valueIn(request, "Request-Id");
    }
    const std::string last = valueIn(request, "Last-Event-Id");
    std::string text;
    for (std::uint64_t id = last.empty() ? 1 : std::stoull(last) + 1; id <= 4; ++id) {
        text += eventText(id);
    }
    return text;
}

/// A 200 with the first @p length bytes of its body; whole without a length.
std::string answerTo(const std::string &request,
                     const std::string &fields,
                     answer_framing framing = answer_framing::Chunks,
                     std::optional<std::size_t> length = std::nullopt)
{
    const std::string body = bodyFor(request);
    const std::string part = body.substr(0, length ? std::min(*length, body.size() - 1) : body.size());
    std::string bytes = "HTTP/1.1 200 OK\r\nResponse-Stamp: stamp\r\nRequest-Id: " + valueIn(request, "Request-Id") + "\r\n" + fields;
    bytes += isStream(request) ? "Content-Type: text/event-stream\r\n" : "";
    if (framing == answer_framing::Length) {
        return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + part;
    }
    if (framing == answer_framing::ConnectionEnd) {
        return bytes + "\r\n" + part;
    }
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    return bytes + "Transfer-Encoding: chunked\r\n\r\n" + size + part + "\r\n" + (length ? "" : "0\r\n\r\n");
}

std::string bodiless(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

std::string forwarderSays(const std::string &outcome)
{
    return bodiless("503 No", "Banyan-Forward-Outcome: " + outcome + "\r\n");
}

/// What is known of a request at the time of a fault.
enum class moment {
    NotSent,
    Sent, ///< The upstream may run it.
    WithinAnswer,
};

struct fault
{
    std::string name;
    moment when;
    bool runs; ///< Whether the upstream runs the request before.
    std::function<raw_answer(const std::string &request)> play; ///< If null, no connection is accepted.
    answer_framing framing = answer_framing::Length; ///< Of the answer that is cut.
};

fault saying(const std::string &name, moment when, bool runs, const std::string &bytes, connection_end end = connection_end::Kept)
{
    return {.name = name, .when = when, .runs = runs, .play = [=](const std::string &) {
                return raw_answer{.bytes = bytes, .end = end};
            }};
}

fault answering(const std::string &name, moment when, const std::string &fields, answer_framing framing, std::optional<std::size_t> length)
{
    const auto play = [=](const std::string &request) -> raw_answer {
        return {.bytes = answerTo(request, fields, framing, length),
                .end = framing == answer_framing::ConnectionEnd ? connection_end::Reset : connection_end::Closed};
    };
    return {.name = name, .when = when, .runs = true, .play = play, .framing = framing};
}

/// An answer that is whole but for the status line that it begins with.
fault beginning(const std::string &statusLine, const std::string &fields)
{
    const auto play = [=](const std::string &request) -> raw_answer {
        const std::string whole = answerTo(request, fields);
        return {.bytes = statusLine + whole.substr(whole.find("\r\n"))};
    };
    return {.name = statusLine, .when = moment::Sent, .runs = true, .play = play};
}

/// Faults that a peer with these fields in its answers can play, be it a forwarder or an upstream.
std::vector<fault> faultsOfConnection(const std::string &fields)
{
    std::vector<fault> faults;
    for (const bool runs : {false, true}) {
        const std::string suffix = runs ? " after the run" : " before the run";
        faults.push_back(saying("closed" + suffix, moment::Sent, runs, "", connection_end::Closed));
        faults.push_back(saying("reset" + suffix, moment::Sent, runs, "", connection_end::Reset));
        faults.push_back(saying("silent" + suffix, moment::Sent, runs, "", connection_end::Silent));
    }
    faults.push_back(saying("cut within the head", moment::Sent, true, "HTTP/1.1 200 OK\r\n" + fields, connection_end::Closed));
    for (const std::string status : {"000", "099", "600", "999"}) {
        faults.push_back(beginning("HTTP/1.1 " + status + " No", fields));
    }
    faults.push_back(beginning("HTTP/1.1 101 Other", fields));
    faults.push_back(saying("only an interim answer", moment::Sent, true, "HTTP/1.1 100 Continue\r\n\r\n", connection_end::Closed));
    for (const answer_framing framing : {answer_framing::Length, answer_framing::Chunks, answer_framing::ConnectionEnd}) {
        for (const std::size_t length : {std::size_t(3), eventText(1).size()}) {
            faults.push_back(answering("cut after " + std::to_string(length) + ", " + std::string(toString(framing)),
                                       moment::WithinAnswer,
                                       fields,
                                       framing,
                                       length));
        }
    }
    return faults;
}

std::vector<fault> faultsOfForwarder()
{
    std::vector<fault> faults = faultsOfConnection(answered);
    faults.push_back({.name = "no connection", .when = moment::NotSent, .runs = false, .play = nullptr});
    faults.push_back(saying("declined", moment::NotSent, false, forwarderSays("declined")));
    faults.push_back(saying("not reached", moment::NotSent, false, forwarderSays("not_reached")));
    for (const std::string outcome : {"lost", "stale", "timed_out", "unheard-of", "Declined"}) {
        faults.push_back(saying("says " + outcome, moment::Sent, true, forwarderSays(outcome)));
    }
    faults.push_back(answering("no outcome", moment::Sent, "", answer_framing::Chunks, std::nullopt));
    faults.push_back(saying("refusal without outcome", moment::Sent, true, bodiless("503 No", "Not-Executed: 1\r\n")));
    faults.push_back(saying("no HTTP", moment::Sent, true, "no answer\r\n\r\n"));
    return faults;
}

seen_by_caller expectedFor(const fault &played, route_kind kind, bool isAnotherThere)
{
    if (played.when == moment::NotSent && !isAnotherThere) {
        return seen_by_caller::NotRun;
    }
    if (played.when == moment::NotSent || kind.mayRunAgain()) {
        // The head of a stream that goes on is the first one that came.
        return kind.resumable && !provesEnd(played.framing) ? seen_by_caller::Unproven : seen_by_caller::Whole;
    }
    return played.when == moment::WithinAnswer && kind.kind == request_kind::Stream ? seen_by_caller::Broken : seen_by_caller::Unknown;
}

/// A node whose ways to all upstreams are lost. It asks a forwarder that plays bytes first, if there is one, and then a real one.
struct outcomes_fixture : forwarding_fixture
{
    raw_upstream upstream;
    http_response_head head; ///< Of the last answer.
    std::string body; ///< Of the last answer.

    explicit outcomes_fixture(route_kind kind, raw_upstream::script script = nullptr)
        : forwarding_fixture(kind.kind, kind.resumable)
        , upstream(context, std::move(script))
    {
        lose(upstream.registeredAs({"a", "b"}));
    }

    /// Registers upstreams that only the forwarder reaches.
    void lose(const std::vector<replica> &registered)
    {
        registerUpstreams(registered, [](const replica &) {
            return closedPort();
        });
    }

    void askFirst(const endpoint &forwarderAddress, bool isAnotherThere = true)
    {
        nodes.front()->board.record({.sender = node_id("faulty"), .sequence = 1}, currentTime());
        std::vector<forwarder> forwarders{{.node = node_id("faulty"), .address = forwarderAddress, .processorShare = 1e9}};
        if (isAnotherThere) {
            forwarders.push_back({.node = node_id("helper"), .address = helper->address()});
        }
        paths.setNodes(std::move(forwarders));
    }

    /// What a caller gets; @p onPiece is called for each piece of the body.
    seen_by_caller call(route_kind kind,
                        http_request request,
                        const std::function<task<>(std::string_view piece)> &onPiece,
                        std::shared_ptr<http_cancellation> cancellation = nullptr)
    {
        const duration time = kind.mayRunAgain() ? duration(4s) : duration(300ms);
        const std::vector<http_field> more = {{"Host", "h"}, {"Deadline-Ms", std::to_string(time / 1ms)}}; // The first of a name counts.
        request.target = "/x/1";
        request.fields.insert(request.fields.end(), more.begin(), more.end());
        if (kind.kind == request_kind::Stream) {
            request.fields.push_back({"Model", "m"});
        }
        bool isBroken = false;
        head = {};
        run([&]() -> task<> {
            http_client::stream_handler handler;
            handler.onHead = [&](const http_response_head &received) -> task<> {
                head = received;
                co_return;
            };
            handler.onPiece = onPiece;
            const http_client::stream_options options{.timeouts = {.firstByte = generousTime, .silence = generousTime},
                                                      .cancellation = cancellation};
            try {
                co_await caller.stream(front.address(), std::move(request), std::move(handler), options);
            } catch (const http_error &) {
                isBroken = true;
            }
        });
        settle();
        if (isBroken) {
            return seen_by_caller::Broken;
        }
        if (head.status == 200) {
            return provesEnd(head.framing) ? seen_by_caller::Whole : seen_by_caller::Unproven;
        }
        const bool isUnknown = head.status == 502 || head.status == 504;
        return isUnknown ? seen_by_caller::Unknown : head.status == 503 ? seen_by_caller::NotRun : seen_by_caller::Other;
    }

    seen_by_caller call(route_kind kind, const std::string &id, const std::string &method = "POST")
    {
        body.clear();
        return call(kind, {.method = method, .fields = {{"Request-Id", id}}, .body = "question"}, [this](std::string_view piece) -> task<> {
            body += piece;
            co_return;
        });
    }

    void check(const fault &played, route_kind kind, bool isAnotherThere, const std::size_t &runs)
    {
        const seen_by_caller seen = call(kind, "id-1");
        INFO(played.name << ", kind " << static_cast<int>(kind.kind) << (kind.resumable ? ", resumable" : ""));
        CHECK(static_cast<int>(seen) == static_cast<int>(expectedFor(played, kind, isAnotherThere)));
        if (seen == seen_by_caller::Whole || seen == seen_by_caller::Unproven) {
            const std::string asked = "\r\nRequest-Id: id-1\r\n";
            CHECK(body == bodyFor(kind.kind == request_kind::Stream ? asked + "Model: m\r\n" : asked));
        }
        CHECK(runs <= (kind.mayRunAgain() ? 2 : 1));
        CHECK((seen != seen_by_caller::NotRun || runs == 0));
    }
};

} // namespace

// Guards against telling a caller that a request was not run, or running it twice, whatever a forwarder does at whatever moment.
TEST_CASE("request_relay tells its caller the true outcome, and runs a request once, whatever a forwarder does")
{
    for (const fault &played : faultsOfForwarder()) {
        for (const route_kind kind : routeKinds) {
            for (const bool isAnotherThere : {true, false}) {
                if (!isAnotherThere && played.when != moment::NotSent) {
                    continue;
                }
                std::size_t runs = 0;
                outcomes_fixture fixture(kind, [&](const std::string &request, std::size_t) -> raw_answer {
                    ++runs;
                    return {.bytes = answerTo(request, "")};
                });
                raw_upstream faulty(fixture.context, [&](const std::string &request, std::size_t number) -> raw_answer {
                    if (number > 0 && isAnotherThere) {
                        return {.bytes = forwarderSays("declined")};
                    }
                    runs += played.runs ? 1 : 0;
                    return played.play(request);
                });
                fixture.askFirst(played.play ? faulty.address() : closedPort(), isAnotherThere);
                fixture.check(played, kind, isAnotherThere, runs);
                CHECK(faulty.requests.empty() == !played.play);
            }
        }
    }
}

TEST_CASE("request_relay tells its caller the true outcome, and runs a request once, whatever an upstream does behind a forwarder")
{
    for (const fault &played : faultsOfConnection("")) {
        for (const route_kind kind : routeKinds) {
            std::size_t runs = 0;
            outcomes_fixture fixture(kind, [&](const std::string &request, std::size_t number) -> raw_answer {
                runs += number > 0 || played.runs ? 1 : 0;
                return number == 0 ? played.play(request) : raw_answer{.bytes = answerTo(request, "")};
            });
            fixture.check(played, kind, true, runs);
        }
    }
}

TEST_CASE("request_relay does not read a forwarder's late word that nothing was sent")
{
    for (const route_kind kind : routeKinds) {
        std::size_t runs = 0;
        std::size_t asked = 0;
        outcomes_fixture fixture(kind, [&](const std::string &request, std::size_t) -> raw_answer {
            ++runs;
            return {.bytes = answerTo(request, "")};
        });
        const auto decline = [&](http_exchange &exchange) -> task<> {
            if (asked++ == 0) {
                co_await fixture.sleep(600ms);
            }
            http_response declined{.status = 503};
            declined.fields.push_back({.name = "Banyan-Forward-Outcome", .value = "declined"});
            co_await exchange.respond(std::move(declined));
        };
        scripted_upstream slow(fixture.context, "faulty", decline, "Banyan-Forward-Exchange");
        fixture.askFirst(slow.server.address());
        fixture.check(saying("late", moment::Sent, false, ""), kind, true, runs);
        fixture.run([&] {
            return fixture.sleep(700ms);
        });
        CHECK(fixture.call(kind, "id-2") == seen_by_caller::Whole);
        CHECK(runs == (kind.mayRunAgain() ? 2 : 1));
    }
}

TEST_CASE("request_relay gives a caller's or an upstream's fields of a forwarder's name no effect")
{
    const route_kind kind{request_kind::AtMostOnce};
    outcomes_fixture fixture(kind, [](const std::string &request, std::size_t) -> raw_answer {
        return {.bytes = answerTo(request, "Banyan-Forward-Outcome: declined\r\nbanyan-forward-reused: 1\r\n")};
    });
    for (const std::string id : {"id-1", "id-2"}) {
        const std::vector<http_field> fields = {{"Request-Id", id},
                                                {"Banyan-Forward-Run", "other"},
                                                {"banyan-forward-upstream", "other"},
                                                {"Banyan-Forward-Upstream-Start", "9"},
                                                {"Banyan-Forward-First-Byte-Us", "1"},
                                                {"Banyan-Forward-New-Connection", "1"},
                                                {"Banyan-Forward-Outcome", "declined"}};
        std::string body;
        const auto take = [&](std::string_view piece) -> task<> {
            body += piece;
            co_return;
        };
        CHECK(fixture.call(kind, {.method = "POST", .fields = fields}, take) == seen_by_caller::Whole);
        CHECK(body == "answer to " + id);
        CHECK(fixture.head.field("Banyan-Forward-Outcome").empty());
        CHECK(fixture.upstream.requests.back().find("anyan-") == std::string::npos);
    }
    CHECK(fixture.upstream.connections == std::vector<std::size_t>{0, 0});
}

TEST_CASE("request_relay does not believe an answer through a forwarder that names no request on a used connection")
{
    for (const std::string nameless : {"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                                       "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
                                       "HTTP/1.1 200 OK\r\nResponse-Stamp: stamp\r\nContent-Length: 0\r\n\r\n"}) {
        const route_kind kind{request_kind::AtMostOnce};
        outcomes_fixture fixture(kind, [&](const std::string &request, std::size_t number) -> raw_answer {
            return {.bytes = number == 0 ? answerTo(request, "") : nameless};
        });
        CHECK(fixture.call(kind, "id-1") == seen_by_caller::Whole);
        CHECK(fixture.call(kind, "id-2") == seen_by_caller::Unknown);
        CHECK(fixture.upstream.connections == std::vector<std::size_t>{0, 0});
    }
}

TEST_CASE("request_relay passes answers without a body on through a forwarder as it does its own")
{
    const std::vector<std::vector<std::string>> cases = {{"HEAD", "200 OK", "Content-Length: 5\r\n"},
                                                         {"HEAD", "404 No", "Content-Length: 5\r\n"},
                                                         {"HEAD", "200 OK", "Transfer-Encoding: chunked\r\n"},
                                                         {"HEAD", "204 No", ""},
                                                         {"POST", "204 No", ""},
                                                         {"HEAD", "304 No", ""},
                                                         {"POST", "304 No", ""},
                                                         {"POST", "404 No", "Content-Length: 0\r\n"}};
    for (const std::vector<std::string> &played : cases) {
        INFO(played[0] << " " << played[1] << " " << played[2]);
        const route_kind kind{request_kind::Idempotent};
        std::vector<std::string> seen[2];
        for (const bool isDirect : {true, false}) {
            outcomes_fixture fixture(kind, [&](const std::string &request, std::size_t) -> raw_answer {
                const std::string named = "\r\nResponse-Stamp: stamp\r\nRequest-Id: " + valueIn(request, "Request-Id") + "\r\n";
                return {.bytes = "HTTP/1.1 " + played[1] + named + played[2] + "\r\n"};
            });
            if (isDirect) {
                fixture.registerUpstreams(fixture.upstream.registeredAs({"a", "b"}), [](const replica &upstream) {
                    return upstream.address;
                });
            }
            std::vector<std::string> &facts = seen[isDirect ? 0 : 1];
            for (const std::string id : {"id-1", "id-2"}) {
                CHECK(fixture.call(kind, id, played[0]) != seen_by_caller::Broken);
                CHECK(played[1].starts_with(std::to_string(fixture.head.status)));
                facts.push_back(std::string(toString(fixture.head.framing)) + " " + fixture.head.field("Request-Id") + " " + fixture.body);
            }
            for (const std::size_t connection : fixture.upstream.connections) {
                facts.push_back(std::to_string(connection));
            }
        }
        CHECK(seen[0] == seen[1]);
    }
}

TEST_CASE("forward_service passes large bodies on unchanged, and slows an upstream down for a slow reader")
{
    const route_kind kind{request_kind::Stream};
    outcomes_fixture fixture(kind);
    std::string event = "data: ";
    for (unsigned value = 0; event.size() < 65000; value = value * 1664525U + 1013904223U) {
        event += static_cast<char>('a' + (value >> 16U) % 26);
    }
    event += "\n\n";
    constexpr std::size_t count = 320; // Twice what the sockets between them hold.
    std::size_t written = 0;
    scripted_upstream upstream(fixture.context, "c", [&](http_exchange &exchange) -> task<> {
        co_await exchange.begin(200, streamFields);
        for (; written < count; ++written) {
            co_await exchange.write(event);
        }
        co_await exchange.finish();
    });
    fixture.lose({upstream.info("s")});
    std::string question;
    while (question.size() < 900000) {
        question += event;
    }
    std::size_t received = 0;
    bool isRight = true;
    const auto take = [&](std::string_view piece) -> task<> {
        if (received == 0) {
            co_await fixture.sleep(150ms); // Within the deadline.
            CHECK(written < count);
        }
        for (const char byte : piece) {
            isRight = isRight && byte == event[received++ % event.size()];
        }
    };
    CHECK(fixture.call(kind, {.method = "POST", .fields = {{"Deadline-Ms", "5000"}}, .body = question}, take) == seen_by_caller::Whole);
    CHECK(isRight);
    CHECK(received == count * event.size());
    CHECK((upstream.requests.back().body == question)); // In brackets, since a failure would print them.
}

TEST_CASE("forward_service passes the first event on at once, and ends the run of a client that leaves")
{
    for (const bool leavesEarly : {false, true}) {
        const route_kind kind{request_kind::Stream};
        outcomes_fixture fixture(kind);
        const auto cancellation = std::make_shared<http_cancellation>();
        time_point leftAt;
        std::optional<time_point> endedAt;
        const auto leave = [&] {
            leftAt = currentTime();
            cancellation->cancel();
        };
        scripted_upstream upstream(fixture.context, "c", [&](http_exchange &exchange) -> task<> {
            exchange.onDisconnect([&] {
                endedAt = currentTime();
            });
            if (leavesEarly) {
                leave();
            } else {
                co_await exchange.begin(200, streamFields);
                co_await exchange.write(eventText(1));
            }
            for (int turn = 0; turn < 100 && !endedAt; ++turn) {
                co_await fixture.sleep(10ms);
            }
        });
        fixture.lose({upstream.info("s")});
        std::string body;
        const auto take = [&](std::string_view piece) -> task<> {
            body += piece;
            leave(); // The upstream sends nothing more before this.
            co_return;
        };
        CHECK(fixture.call(kind, {.method = "POST", .fields = {{"Deadline-Ms", "5000"}}}, take, cancellation) == seen_by_caller::Broken);
        for (int turn = 0; turn < 100 && !endedAt; ++turn) {
            fixture.run([&] {
                return fixture.sleep(10ms);
            });
        }
        REQUIRE(endedAt);
        CHECK(*endedAt - leftAt < 500ms);
        CHECK(body == (leavesEarly ? "" : eventText(1)));
        CHECK(upstream.requests.size() == 1);
    }
}
