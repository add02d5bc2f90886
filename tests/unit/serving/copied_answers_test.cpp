#include "relay_fixture.h"
#include "unit/raw_upstream.h"

#include <catch2/catch.hpp>

#include <array>

using namespace banyan;
using namespace banyan::tests;

namespace {

std::string idOf(const std::string &request)
{
    static const std::string mark = "Request-Id: ";
    const std::size_t at = request.find(mark) + mark.size();
    return request.substr(at, request.find('\r', at) - at);
}

/// An answer of a kind that an upstream may send more than once.
enum class answer_type {
    Success,
    Failure,
    Refusal,
    Misdirected,
};

constexpr std::array answerTypes = {answer_type::Success, answer_type::Failure, answer_type::Refusal, answer_type::Misdirected};

/// When a repeated answer comes.
enum class repeat_time {
    AtOnce,
    Late, ///< Where the answer to the next request is due.
    Twice, ///< Late, and once more.
};

constexpr std::array repeatTimes = {repeat_time::AtOnce, repeat_time::Late, repeat_time::Twice};

/// What the 421 of an instance that did not expect the request looks like.
std::string misdirected(const std::string &id)
{
    return "HTTP/1.1 421 No\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

std::string success(const std::string &id)
{
    const std::string body = "answer to " + id;
    return "HTTP/1.1 200 OK\r\nResponse-Stamp: stamp\r\nRequest-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

std::string answerOf(answer_type type, const std::string &id)
{
    switch (type) {
    case answer_type::Success:
        return success(id);
    case answer_type::Failure:
        return "HTTP/1.1 500 No\r\nRequest-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n";
    case answer_type::Refusal:
        return "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nRequest-Id: " + id + "\r\nContent-Length: 4\r\n\r\nfull";
    case answer_type::Misdirected:
        return misdirected(id);
    }
    return {};
}

replica registration(const raw_upstream &upstream, const std::string &id)
{
    return upstream.registeredAs({id}).front();
}

} // namespace

// Guards against running a request twice where an address is taken over by another instance.
TEST_CASE("request_relay runs a request once if its 421 is copied on a kept connection to an address that was taken over")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    scheduler_host &scheduler = fixture.nodes.front()->scheduler;
    std::vector<std::string> runs;
    raw_upstream other(fixture.context, [&](const std::string &request, std::size_t) -> raw_answer {
        runs.push_back("other");
        return {.bytes = success(idOf(request))};
    });
    raw_upstream *takenOver = nullptr;
    raw_upstream upstream(fixture.context, [&](const std::string &request, std::size_t number) -> raw_answer {
        const std::string refusal = misdirected(idOf(request));
        if (number == 0) {
            // The instance that has the address now is listed at once.
            scheduler.setUpstreams(takenOver->registeredAs({"before", "after"}));
            return {.bytes = refusal};
        }
        runs.push_back("after");
        scheduler.setUpstreams(std::vector<replica>{registration(*takenOver, "after"), registration(other, "other")});
        const bool isCopied = takenOver->connections[number] == takenOver->connections[0];
        return {.bytes = (isCopied ? refusal : std::string()) + success(idOf(request))};
    });
    takenOver = &upstream;
    scheduler.setUpstreams(upstream.registeredAs({"before"}));
    const http_response answer = fixture.call("id-1");
    CHECK(answer.status == 200);
    CHECK(answer.body == "answer to id-1");
    CHECK(runs == std::vector<std::string>{"after"});
}

// Guards against answering a caller with 502 because of a repeated answer to another request.
TEST_CASE("request_relay reads past repeated answers to earlier requests of a connection")
{
    for (const answer_type type : answerTypes) {
        for (const repeat_time time : repeatTimes) {
            INFO("answer " << static_cast<int>(type) << ", repeated " << static_cast<int>(time));
            relay_fixture fixture(request_kind::AtMostOnce);
            raw_upstream *self = nullptr;
            std::vector<std::string> runs;
            raw_upstream upstream(fixture.context, [&](const std::string &request, std::size_t number) -> raw_answer {
                const std::string repeated = answerOf(type, "first");
                if (idOf(request) == "first") {
                    return {.bytes = repeated + (time == repeat_time::AtOnce ? repeated : "")};
                }
                runs.push_back(idOf(request));
                const bool isReused = self->connections[number] == self->connections[0];
                std::string bytes = isReused && time != repeat_time::AtOnce ? repeated : "";
                bytes += isReused && time == repeat_time::Twice ? repeated : "";
                return {.bytes = bytes + success(idOf(request))};
            });
            self = &upstream;
            fixture.nodes.front()->scheduler.setUpstreams(upstream.registeredAs({"u1"}));
            (void)fixture.call("first");
            const http_response answer = fixture.call("second");
            CHECK(answer.status == 200);
            CHECK(answer.body == "answer to second");
            CHECK(runs == std::vector<std::string>{"second"});
        }
    }
}

TEST_CASE("request_relay gives up a connection on which a repeated answer has no end")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    raw_upstream upstream(fixture.context, [&](const std::string &request, std::size_t) -> raw_answer {
        if (idOf(request) == "first") {
            return {.bytes = success("first")};
        }
        const std::string head = "HTTP/1.1 200 OK\r\nResponse-Stamp: stamp\r\nRequest-Id: first\r\nContent-Length: 9999999\r\n\r\n";
        return {.bytes = head + std::string(500000, 'x')};
    });
    fixture.nodes.front()->scheduler.setUpstreams(upstream.registeredAs({"u1"}));
    CHECK(fixture.call("first").status == 200);
    CHECK(fixture.call("second").status == 502);
    CHECK(upstream.requests.size() == 2);
}

// Guards against taking the copy of a refusal for the answer to the next request, where answers name no request.
TEST_CASE("http_client uses a connection no longer on which a refusal has named no request")
{
    relay_fixture fixture(request_kind::AtMostOnce);
    raw_upstream upstream(fixture.context, [](const std::string &, std::size_t number) -> raw_answer {
        return {.bytes = number == 0 ? "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    });
    for (const unsigned expected : {503U, 200U, 200U}) {
        unsigned status = 0;
        fixture.run([&]() -> task<> {
            http_client::stream_handler handler;
            handler.onHead = [&](const http_response_head &head) -> task<> {
                status = head.status;
                co_return;
            };
            handler.onPiece = [](std::string_view) -> task<> {
                co_return;
            };
            http_request request{.method = "POST"};
            const http_client::stream_options options{.timeouts = {.firstByte = generousTime, .silence = generousTime}};
            co_await fixture.caller.stream(upstream.address(), std::move(request), std::move(handler), options);
        });
        CHECK(status == expected);
    }
    CHECK(upstream.connections == std::vector<std::size_t>{0, 1, 1});
}
