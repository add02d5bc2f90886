#include "eventually.h"
#include "fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>

using namespace banyan;
using namespace banyan::process_tests;
namespace json = boost::json;

namespace {

constexpr int longAnswerTokens = 500;

http_request longStream()
{
    json::object body = chatBody("one two three");
    body["stream"] = true;
    body["min_tokens"] = longAnswerTokens;
    return postJson("/v1/chat/completions", callerKey, body);
}

std::uint64_t startedAt(const endpoint &engine)
{
    return fleet::log(engine).at("started").to_number<std::uint64_t>();
}

constexpr int together = 12; ///< Requests at the same time, so that every engine that may gets some.

/// Sends chats at the same time and counts those that are answered.
int answeredTogether(const fleet &running)
{
    std::vector<std::future<unsigned>> statuses;
    statuses.reserve(together);
    for (int number = 0; number < together; ++number) {
        statuses.push_back(std::async(std::launch::async, [&running] {
            return running.chat(0, "short").status;
        }));
    }
    return static_cast<int>(std::count_if(statuses.begin(), statuses.end(), [](std::future<unsigned> &status) {
        return status.get() == 200;
    }));
}

std::string rest(test_connection &connection)
{
    std::string text;
    for (std::string piece = connection.receivePiece(); !piece.empty(); piece = connection.receivePiece()) {
        text += piece;
    }
    return text;
}

} // namespace

TEST_CASE("a planned stop turns readiness off and cuts no stream in progress")
{
    fleet running({.entries = 2, .engineArguments = {"--token-ms", "4"}});
    test_connection connection(running.callers(0));
    connection.send(longStream());
    REQUIRE(connection.receiveHead().status == 200);
    const http_response readiness = call(running.callers(0), {.target = "/readyz"});
    REQUIRE(readiness.status == 200);
    running.entryProcess(0).signal(SIGTERM);
    const std::string events = rest(connection);
    CHECK(events.ends_with("data: [DONE]\n\n"));
    CHECK(events.find("\"finish_reason\":\"stop\"") != std::string::npos);
    CHECK(running.entryProcess(0).waitForExit() == 0);
}

TEST_CASE("a draining entry VM is not ready and refuses new work as not run")
{
    fleet running({.entries = 2, .engineArguments = {"--token-ms", "10"}});
    test_connection first(running.callers(0));
    first.send(longStream());
    REQUIRE(first.receiveHead().status == 200);
    test_connection second(running.callers(0));
    second.send({.target = "/readyz"});
    REQUIRE(second.receive().status == 200);
    REQUIRE(running.operate(0, postJson("/operator/v1/drain", "", json::object())).status == 202);
    // A draining VM may refuse connections or answer that it is not ready; it must not answer that it is.
    const bool notReady = eventually([&] {
        try {
            return call(running.callers(0), {.target = "/readyz"}).status == 503;
        } catch (const call_failure &) {
            return true;
        }
    });
    CHECK(notReady);
    CHECK(rest(first).ends_with("data: [DONE]\n\n"));
}

TEST_CASE("a planned stop of the entry VM that dispatches for an engine loses no request of the others")
{
    fleet running({.entries = 3, .engines = 1});
    for (const std::size_t leaving : {1U, 2U}) {
        running.entryProcess(leaving).signal(SIGTERM);
        for (int number = 0; number < 30; ++number) {
            CHECK(running.chat(0, "during the stop " + std::to_string(number)).status == 200);
        }
        CHECK(running.entryProcess(leaving).waitForExit() == 0);
    }
}

TEST_CASE("a leaving upstream gets no new work after a few seconds, and finishes what it has")
{
    constexpr std::chrono::seconds fewSeconds(10);
    fleet running({.engineArguments = {"--token-ms", "4"}});
    // Several streams, so that the engine that is to leave has at least one.
    std::vector<std::unique_ptr<test_connection>> streams;
    while (startedAt(running.engine(0)) == 0) {
        REQUIRE(streams.size() < 50);
        streams.push_back(std::make_unique<test_connection>(running.callers(0)));
        streams.back()->send(longStream());
        REQUIRE(streams.back()->receiveHead().status == 200);
    }
    const auto avoided = [&] {
        const std::uint64_t before = startedAt(running.engine(0));
        CHECK(answeredTogether(running) == together);
        return startedAt(running.engine(0)) == before;
    };
    REQUIRE_FALSE(avoided());
    running.publishLeaving(0);
    CHECK(eventually(avoided, fewSeconds));
    for (const auto &stream : streams) {
        CHECK(rest(*stream).ends_with("data: [DONE]\n\n"));
    }
    CHECK(avoided());
}
