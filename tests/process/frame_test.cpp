#include "eventually.h"
#include "fleet.h"

#include <catch2/catch.hpp>

#include <future>

using namespace banyan;
using namespace banyan::process_tests;
namespace json = boost::json;

namespace {

http_request streamedChat(const std::string &message)
{
    json::object body = chatBody(message);
    body["stream"] = true;
    return postJson("/v1/chat/completions", callerKey, body);
}

/// The text of a streamed chat completion.
std::string streamedContent(const std::string &events)
{
    constexpr std::string_view prefix = "data: ";
    std::istringstream lines(events);
    std::string text;
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(std::string(prefix) + "{")) {
            continue;
        }
        const json::value event = json::parse(line.substr(prefix.size()));
        for (const json::value &choice : event.at("choices").as_array()) {
            if (const json::value *content = choice.at("delta").as_object().if_contains("content")) {
                text += json::value_to<std::string>(*content);
            }
        }
    }
    return text;
}

/// Sends @p count chats of different content, every other one streamed, and returns how many got another one's answer.
std::size_t crossedAnswers(const fleet &running, std::size_t sender, std::size_t count)
{
    std::size_t crossed = 0;
    for (std::size_t number = 0; number < count; ++number) {
        const std::string message = "sender " + std::to_string(sender) + " number " + std::to_string(number);
        const std::size_t entry = (sender + number) % 3;
        const std::string content = number % 2 == 0 ? contentOf(running.chat(entry, message))
                                                    : streamedContent(call(running.callers(entry), streamedChat(message)).body);
        crossed += content == "echo:" + message ? 0 : 1;
    }
    return crossed;
}

} // namespace

TEST_CASE("a chat completion comes back whole, with its request id and what it used")
{
    fleet running({});
    http_request request = postJson("/v1/chat/completions", callerKey, chatBody("how many drums"));
    request.fields.push_back({.name = "X-Request-Id", .value = "check-1"});
    const http_response answer = call(running.callers(0), request);
    REQUIRE(answer.status == 200);
    CHECK(contentOf(answer) == "echo:how many drums");
    CHECK(answer.field("X-Request-Id") == "check-1");
    CHECK(json::parse(answer.body).at("usage").at("completion_tokens") == 3);
}

TEST_CASE("a streamed chat completion comes back whole and ends with [DONE]")
{
    fleet running({});
    const http_response answer = call(running.callers(0), streamedChat("how many drums"));
    REQUIRE(answer.status == 200);
    CHECK(answer.field("Content-Type").starts_with("text/event-stream"));
    CHECK(streamedContent(answer.body) == "echo:how many drums");
    CHECK(answer.body.ends_with("data: [DONE]\n\n"));
}

TEST_CASE("a caller sees the models that it may reach")
{
    fleet running({});
    running.patch(json::parse(R"({"services":{"hidden":{"kind":"model","pool":"advisory","models":["hidden-model"],"access":[]}}})"));
    const json::value list = json::parse(call(running.callers(0), getRequest("/v1/models", callerKey)).body);
    REQUIRE(list.at("data").as_array().size() == 1);
    CHECK(list.at("data").at(0).at("id") == "advisor");
}

TEST_CASE("a plain service's answer is passed on with its path and body")
{
    fleet running({});
    const http_response answer = running.order(0, {.method = "POST", .target = "/orders/quito", .body = "two drums"});
    REQUIRE(answer.status == 200);
    const json::value body = json::parse(answer.body);
    CHECK(body.at("path") == "/orders/quito");
    CHECK(body.at("body") == "two drums");
}

TEST_CASE("callers that send at the same time through several entry VMs each get their own answer")
{
    constexpr std::size_t senders = 8;
    constexpr std::size_t requests = 20;
    fleet running({.entries = 3});
    std::vector<std::future<std::size_t>> results;
    for (std::size_t sender = 0; sender < senders; ++sender) {
        results.push_back(std::async(std::launch::async, [&running, sender] {
            return crossedAnswers(running, sender, requests);
        }));
    }
    for (std::future<std::size_t> &result : results) {
        CHECK(result.get() == 0);
    }
}

TEST_CASE("a caller that goes away cancels its stream at the engine")
{
    fleet running({.engines = 1});
    {
        json::object body = chatBody("a long story");
        body["stream"] = true;
        body["min_tokens"] = 100000;
        body["max_tokens"] = 100000;
        test_connection connection(running.callers(0));
        connection.send(postJson("/v1/chat/completions", callerKey, body));
        REQUIRE(connection.receiveHead().status == 200);
        REQUIRE_FALSE(connection.receivePiece().empty());
    }
    CHECK(eventually([&] {
        return fleet::log(running.engine(0)).at("cancelled") == 1;
    }));
    CHECK(fleet::log(running.engine(0)).at("started") == 1);
}

TEST_CASE("exactly one of two patches against the same version wins, whichever entry VMs they came through")
{
    constexpr int rounds = 5;
    fleet running({.entries = 2});
    for (int round = 0; round < rounds; ++round) {
        const auto versionAt = [&](std::size_t entry) {
            return json::parse(running.operate(entry, {.target = "/operator/v1/configuration"}).body).at("version");
        };
        // The loser of the last round may learn of the winner's version a moment later.
        REQUIRE(eventually([&] {
            return versionAt(0) == versionAt(1);
        }));
        const json::value base = versionAt(0);
        const auto submit = [&](std::size_t entry) {
            const json::object patch = {{"callers", {{"niebla", {{"requests_per_second", 1000 + round * 10 + static_cast<int>(entry)}}}}}};
            const json::object submission = {{"base_version", base}, {"patch", patch}, {"reason", "race"}};
            return running.operate(entry, postJson("/operator/v1/configuration/patches", operatorKey, submission)).status;
        };
        auto first = std::async(std::launch::async, submit, 0);
        auto second = std::async(std::launch::async, submit, 1);
        const std::vector<unsigned> statuses = {first.get(), second.get()};
        CHECK(std::count(statuses.begin(), statuses.end(), 200U) == 1);
        CHECK(std::count(statuses.begin(), statuses.end(), 409U) == 1);
    }
}
