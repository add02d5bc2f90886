#include "upstream_attempt.h"

#include "unit/raw_upstream.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

/// How an attempt ended, and what of its answer a caller could get.
struct ended_attempt
{
    attempt_result result;
    bool headSeen = false;
    unsigned status = 0;
    std::string body;
    std::string error;
};

/// Sends an attempt to an upstream that answers with these bytes.
ended_attempt attemptAnsweredWith(const std::string &bytes)
{
    asio::io_context context;
    raw_upstream upstream(context, [&](const std::string &, std::size_t) -> raw_answer {
        return {.bytes = bytes};
    });
    http_client client(context, {});
    upstream_attempt attempt(context, {.timeout = 5s}, upstream.address());
    ended_attempt ended;
    bool done = false;
    const auto send = [&]() -> task<> {
        upstream_attempt::observer watcher{.onFirstByte = [] {}, .onData = [] {}, .onProgress = [](std::uint32_t) {}};
        http_request request{.method = "POST", .body = "question"};
        ended.result = co_await attempt.send(client, std::move(request), 1U << 20U, std::move(watcher));
        done = true;
    };
    asio::co_spawn(context, send(), asio::detached);
    while (!done) {
        context.run_one();
    }
    ended.headSeen = attempt.headSeen();
    ended.status = attempt.status();
    ended.body = attempt.takePieces();
    ended.error = attempt.error();
    return ended;
}

} // namespace

TEST_CASE("upstream_attempt counts an answer whose status is none of HTTP's as lost, and keeps the reason")
{
    for (const std::string status : {"000", "099", "600", "999"}) {
        INFO(status);
        const ended_attempt ended = attemptAnsweredWith("HTTP/1.1 " + status + " No\r\nContent-Length: 5\r\n\r\nwhole");
        CHECK(ended.result.outcome == attempt_outcome::Lost);
        CHECK_FALSE(ended.headSeen);
        CHECK(ended.error == "not an answer: expected a status from 100 to 599, found " + status);
    }
    const ended_attempt sound = attemptAnsweredWith("HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole");
    CHECK(sound.result.outcome == attempt_outcome::Succeeded);
    CHECK(sound.body == "whole");
    CHECK(sound.error.empty());
}

TEST_CASE("upstream_attempt reads past interim answers, and counts a change of protocols as lost")
{
    const ended_attempt ended = attemptAnsweredWith("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    CHECK(ended.result.outcome == attempt_outcome::Succeeded);
    CHECK(ended.status == 200);
    CHECK(ended.body == "whole");
    const ended_attempt changed = attemptAnsweredWith("HTTP/1.1 101 Other\r\n\r\n");
    CHECK(changed.result.outcome == attempt_outcome::Lost);
    CHECK_FALSE(changed.headSeen);
}

TEST_CASE("upstream_attempt counts an answer as lost whose body is coded for its transfer in a way that nobody asked for")
{
    const ended_attempt ended = attemptAnsweredWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\ncoded");
    CHECK(ended.result.outcome == attempt_outcome::Lost);
    CHECK(ended.body.empty());
    CHECK(ended.error == "not an answer: expected a body in chunks or not coded, found codings gzip");
}
