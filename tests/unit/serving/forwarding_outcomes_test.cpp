#include "forwarding_fixture.h"
#include "unit/raw_upstream.h"

#include "banyan/io/http_error.h"

#include <catch2/catch.hpp>

#include <algorithm>
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

const std::string answered = "Banyan-Forward-Outcome: answered\r\n";

std::string valueIn(const std::string &request, const std::string &name)
{
    const std::size_t at = request.find("\r\n" + name + ": ");
    const std::size_t value = at + name.size() + 4;
    return at == std::string::npos ? "" : request.substr(value, request.find('\r', value) - value);
}

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
    std::function<raw_answer(const std::string &request)> play;
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

    outcomes_fixture(route_kind kind, raw_upstream::script script, const std::vector<std::string> &ids = {"a", "b"})
        : forwarding_fixture(kind.kind, kind.resumable)
        , upstream(context, std::move(script))
    {
        registerUpstreams(upstream.registeredAs(ids), [closed = closedPort()](const replica &) {
            return closed;
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

    seen_by_caller callAs(route_kind kind,
                          const std::string &id,
                          std::string &body,
                          std::optional<duration> deadline = std::nullopt,
                          std::string method = "POST")
    {
        const duration time = deadline.value_or(kind.mayRunAgain() ? duration(4s) : duration(300ms));
        http_request request{.method = std::move(method),
                             .target = "/x/1",
                             .fields = {{"Host", "h"}, {"Request-Id", id}, {"Deadline-Ms", std::to_string(time / 1ms)}},
                             .body = "question"};
        if (kind.kind == request_kind::Stream) {
            request.fields.push_back({"Model", "m"});
        }
        unsigned status = 0;
        bool isBroken = false;
        bool isFramed = false;
        run([&]() -> task<> {
            http_client::stream_handler handler;
            handler.onHead = [&](const http_response_head &head) -> task<> {
                status = head.status;
                isFramed = provesEnd(head.framing);
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
                isBroken = true;
            }
        });
        settle();
        if (isBroken) {
            return seen_by_caller::Broken;
        }
        if (status == 200) {
            return isFramed ? seen_by_caller::Whole : seen_by_caller::Unproven;
        }
        const bool isUnknown = status == 502 || status == 504;
        return isUnknown ? seen_by_caller::Unknown : status == 503 ? seen_by_caller::NotRun : seen_by_caller::Other;
    }

    void check(const fault &played, route_kind kind, bool isAnotherThere, const std::size_t &runs)
    {
        std::string body;
        const seen_by_caller seen = callAs(kind, "id-1", body);
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
                fixture.askFirst(faulty.address(), isAnotherThere);
                fixture.check(played, kind, isAnotherThere, runs);
                CHECK_FALSE(faulty.requests.empty());
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

TEST_CASE("request_relay asks another forwarder if one takes no connection, and refuses if none does")
{
    for (const route_kind kind : routeKinds) {
        for (const bool isAnotherThere : {true, false}) {
            std::size_t runs = 0;
            outcomes_fixture fixture(kind, [&](const std::string &request, std::size_t) -> raw_answer {
                ++runs;
                return {.bytes = answerTo(request, "")};
            });
            fixture.askFirst(closedPort(), isAnotherThere);
            fixture.check(saying("no connection", moment::NotSent, false, ""), kind, isAnotherThere, runs);
        }
    }
}

TEST_CASE("request_relay does not read a forwarder's late word that nothing was sent")
{
    for (const route_kind kind : routeKinds) {
        std::size_t runs = 0;
        std::size_t late = 0;
        outcomes_fixture fixture(kind, [&](const std::string &request, std::size_t) -> raw_answer {
            ++runs;
            return {.bytes = answerTo(request, "")};
        });
        scripted_upstream slow(
            fixture.context,
            "faulty",
            [&](http_exchange &exchange) -> task<> {
                if (late++ == 0) {
                    co_await fixture.sleep(600ms);
                }
                http_response declined{.status = 503};
                declined.fields.push_back({.name = "Banyan-Forward-Outcome", .value = "declined"});
                co_await exchange.respond(std::move(declined));
            },
            "Banyan-Forward-Exchange");
        fixture.askFirst(slow.server.address());
        std::string body;
        fixture.check(saying("late", moment::Sent, false, ""), kind, true, runs);
        fixture.run([&] {
            return fixture.sleep(700ms);
        });
        CHECK(fixture.callAs(kind, "id-2", body) == seen_by_caller::Whole);
        CHECK(runs == (kind.mayRunAgain() ? 2 : 1));
    }
}

TEST_CASE("request_relay gives a caller's or an upstream's fields of a forwarder's name no effect")
{
    forwarding_fixture fixture(request_kind::AtMostOnce);
    raw_upstream upstream(fixture.context, [](const std::string &request, std::size_t) -> raw_answer {
        return {.bytes = answerTo(request, "Banyan-Forward-Outcome: declined\r\nbanyan-forward-reused: 1\r\n")};
    });
    fixture.registerUpstreams(upstream.registeredAs({"a"}), [closed = closedPort()](const replica &) {
        return closed;
    });
    const std::vector<http_field> fields = {{"Banyan-Forward-Run", "other"},
                                            {"banyan-forward-upstream", "other"},
                                            {"Banyan-Forward-Upstream-Start", "9"},
                                            {"Banyan-Forward-First-Byte-Us", "1"},
                                            {"Banyan-Forward-New-Connection", "1"},
                                            {"Banyan-Forward-Outcome", "declined"}};
    for (const std::string id : {"id-1", "id-2"}) {
        const http_response answer = fixture.call(id, 5s, "question", fields);
        CHECK(answer.status == 200);
        CHECK(answer.body == "answer to " + id);
        CHECK(answer.field("Banyan-Forward-Outcome").empty());
        CHECK(upstream.requests.back().find("anyan-") == std::string::npos);
    }
    CHECK(upstream.connections == std::vector<std::size_t>{0, 0});
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
        std::string body;
        CHECK(fixture.callAs(kind, "id-1", body) == seen_by_caller::Whole);
        CHECK(fixture.callAs(kind, "id-2", body) == seen_by_caller::Unknown);
        CHECK(fixture.upstream.connections == std::vector<std::size_t>{0, 0});
    }
}

TEST_CASE("request_relay passes answers without a body on through a forwarder as it does its own")
{
    for (const std::string status : {"200 OK", "204 No", "304 No", "404 No"}) {
        for (const std::string method : {"HEAD", "POST"}) {
            if (method == "POST" && status == "200 OK") {
                continue;
            }
            INFO(method << " " << status);
            const route_kind kind{request_kind::Idempotent};
            const auto script = [&](const std::string &request, std::size_t) -> raw_answer {
                const std::string head =
                    "HTTP/1.1 " + status + "\r\nResponse-Stamp: stamp\r\nRequest-Id: " + valueIn(request, "Request-Id");
                const bool hasLength = status == "200 OK" || status == "404 No";
                return {.bytes = head + "\r\n"
                                 + (hasLength ? std::string("Content-Length: ") + (method == "HEAD" ? "5" : "0") + "\r\n" : "") + "\r\n"};
            };
            std::vector<std::vector<std::string>> seen;
            for (const bool isDirect : {true, false}) {
                outcomes_fixture fixture(kind, script, {"a"});
                if (isDirect) {
                    fixture.registerUpstreams(fixture.upstream.registeredAs({"a"}), [](const replica &upstream) {
                        return upstream.address;
                    });
                }
                std::vector<std::string> &answers = seen.emplace_back();
                for (const std::string id : {"id-1", "id-2"}) {
                    fixture.run([&]() -> task<> {
                        http_client::stream_handler handler;
                        handler.onHead = [&](const http_response_head &head) -> task<> {
                            answers.push_back(std::to_string(head.status) + " " + std::string(toString(head.framing)) + " "
                                              + head.field("Request-Id"));
                            co_return;
                        };
                        handler.onPiece = [&](std::string_view piece) -> task<> {
                            answers.emplace_back(piece);
                            co_return;
                        };
                        http_request request{.method = method, .target = "/x/1", .fields = {{"Host", "h"}, {"Request-Id", id}}};
                        const http_client::stream_options options{.timeouts = {.firstByte = 3s, .silence = 3s}};
                        co_await fixture.caller.stream(fixture.front.address(), std::move(request), std::move(handler), options);
                    });
                }
                for (const std::size_t connection : fixture.upstream.connections) {
                    answers.push_back("upstream's connection " + std::to_string(connection));
                }
            }
            CHECK(seen[0] == seen[1]);
            CHECK(seen[1].size() >= 4);
        }
    }
}

TEST_CASE("forward_service passes large bodies on unchanged")
{
    forwarding_fixture fixture(request_kind::AtMostOnce);
    std::string large(5U << 20U, '\0');
    std::generate(large.begin(), large.end(), [value = 0U]() mutable {
        return static_cast<char>(value = value * 1664525U + 1013904223U);
    });
    scripted_upstream upstream(fixture.context, "a", [&](http_exchange &exchange) -> task<> {
        co_await exchange.respond(upstreamAnswer(200, large));
    });
    fixture.registerUpstreams({upstream.info("s")}, [closed = closedPort()](const replica &) {
        return closed;
    });
    const std::string question = large.substr(0, 1U << 20U); // As much as the upstream takes.
    const http_response answer = fixture.call("id-1", 5s, question);
    CHECK(answer.status == 200);
    CHECK((answer.body == large)); // In brackets, since a failure would print them.
    CHECK((upstream.requests.back().body == question));
}

namespace {

/// Calls the front with a handler for the pieces of the answer. Returns whether the answer was whole.
bool streamFrom(forwarding_fixture &fixture,
                std::function<task<>(std::string_view piece)> onPiece,
                std::shared_ptr<http_cancellation> cancellation = nullptr)
{
    bool isWhole = true;
    fixture.run([&]() -> task<> {
        http_client::stream_handler handler{.onHead = [](const http_response_head &) -> task<> {
                                                co_return;
                                            },
                                            .onPiece = std::move(onPiece)};
        http_request request{.method = "POST", .target = "/x/1", .fields = {{"Host", "h"}, {"Request-Id", "id-1"}, {"Model", "m"}}};
        const http_client::stream_options options{.timeouts = {.firstByte = generousTime, .silence = generousTime},
                                                  .cancellation = std::move(cancellation)};
        try {
            co_await fixture.caller.stream(fixture.front.address(), std::move(request), std::move(handler), options);
        } catch (const http_error &) {
            isWhole = false;
        }
    });
    return isWhole;
}

const std::vector<http_field> streamFields = {{"Response-Stamp", "stamp"}, {"Content-Type", "text/event-stream"}};

} // namespace

TEST_CASE("forward_service slows an upstream down for a slow reader")
{
    forwarding_fixture fixture(request_kind::Stream);
    const std::string event = "data: " + std::string(65000, 'x') + "\n\n";
    constexpr std::size_t count = 600; // More than the sockets between them hold.
    std::size_t written = 0;
    scripted_upstream upstream(fixture.context, "a", [&](http_exchange &exchange) -> task<> {
        co_await exchange.begin(200, streamFields);
        for (; written < count; ++written) {
            co_await exchange.write(event);
        }
        co_await exchange.finish();
    });
    fixture.registerUpstreams({upstream.info("s")}, [closed = closedPort()](const replica &) {
        return closed;
    });
    std::size_t received = 0;
    bool isRight = true;
    const bool isWhole = streamFrom(fixture, [&](std::string_view piece) -> task<> {
        if (received == 0) {
            co_await fixture.sleep(150ms); // Within the gap target of the route.
            CHECK(written < count);
        }
        for (const char byte : piece) {
            isRight = isRight && byte == event[received++ % event.size()];
        }
    });
    CHECK(isWhole);
    CHECK(isRight);
    CHECK(received == count * event.size());
}

TEST_CASE("forward_service passes the first event on at once, and ends the run of a client that leaves")
{
    for (const bool leavesEarly : {false, true}) {
        forwarding_fixture fixture(request_kind::Stream);
        const auto cancellation = std::make_shared<http_cancellation>();
        time_point leftAt;
        std::optional<time_point> endedAt;
        const auto leave = [&] {
            leftAt = currentTime();
            cancellation->cancel();
        };
        scripted_upstream upstream(fixture.context, "a", [&](http_exchange &exchange) -> task<> {
            exchange.onDisconnect([&] {
                endedAt = currentTime();
            });
            if (leavesEarly) {
                leave();
            } else {
                co_await exchange.begin(200, streamFields);
                co_await exchange.write(eventText(1));
            }
            for (int turn = 0; turn < 200 && !endedAt; ++turn) {
                co_await fixture.sleep(10ms);
            }
        });
        fixture.registerUpstreams({upstream.info("s")}, [closed = closedPort()](const replica &) {
            return closed;
        });
        std::string body;
        const auto take = [&](std::string_view piece) -> task<> {
            body += piece;
            leave(); // The upstream sends nothing more before this.
            co_return;
        };
        CHECK_FALSE(streamFrom(fixture, take, cancellation));
        for (int turn = 0; turn < 100 && !endedAt; ++turn) {
            fixture.run([&] {
                return fixture.sleep(10ms);
            });
        }
        fixture.settle();
        REQUIRE(endedAt);
        CHECK(*endedAt - leftAt < 500ms);
        CHECK(body == (leavesEarly ? "" : eventText(1)));
        CHECK(upstream.requests.size() == 1);
    }
}
