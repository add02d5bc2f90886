#include "banyan/io/peer_rpc.h"

#include "banyan/io/async_event.h"
#include "banyan/io/clock.h"
#include "banyan/io/peer_error.h"
#include "banyan/io/peer_handlers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace banyan;

namespace {

constexpr std::size_t pieceCount = 200;
const cell_id testCell{.pool = pool_name("advisory"), .domain = failure_domain("sierra-a"), .shard = 3};

run_request makeRequest()
{
    run_request request;
    request.dispatch.id = request_id("r-1");
    request.dispatch.caller = caller_id("niebla");
    request.dispatch.service = service_name("orders");
    request.dispatch.workClass = work_class::Batch;
    request.dispatch.repeatable = false;
    request.dispatch.resumable = true;
    request.dispatch.streamed = false;
    request.dispatch.fingerprint = 3;
    request.dispatch.prefixHash = 4;
    request.dispatch.expectedTokens = 5;
    request.dispatch.deadline = currentTime() + std::chrono::hours(1);
    request.message = {.method = "POST", .target = "/orders", .fields = {{"A", "b"}}, .body = std::string("x\0y", 3)};
    request.recordKey = "record/1";
    request.startRecorded = true;
    request.fencingNumber = 7;
    return request;
}

/// Two nodes in one thread; the second one runs what it is sent with a handler that the test sets.
struct peer_fixture
{
    asio::io_context context;
    peer_rpc caller{context, {.listen = endpoint::parse("127.0.0.1:0"), .secret = "the fleet's secret"}};
    peer_rpc callee{context, {.listen = endpoint::parse("127.0.0.1:0"), .secret = "the fleet's secret"}};
    peer_handlers handlers;
    int refused = 0;
    std::string received;
    unsigned receivedStatus = 0;

    peer_fixture()
    {
        handlers.onRefused = [this] {
            ++refused;
        };
    }

    answer_sink sink()
    {
        answer_sink result;
        result.head = [this](unsigned status, std::vector<http_field>) -> task<> {
            receivedStatus = status;
            co_return;
        };
        result.piece = [this](std::string piece) -> task<> {
            received += piece;
            co_return;
        };
        return result;
    }

    template<typename Work>
    void run(Work work)
    {
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(work), [&](std::exception_ptr error) {
            failure = std::move(error);
            context.stop();
        });
        const auto guard = asio::make_work_guard(context);
        context.restart();
        context.run();
        if (failure) {
            std::rethrow_exception(failure);
        }
    }
};

} // namespace

TEST_CASE("peer_rpc carries a request whole and its answer in order")
{
    peer_fixture fixture;
    const run_request sent = makeRequest();
    run_request arrived;
    cell_id arrivedCell;
    fixture.handlers.run =
        [&](cell_id cell, run_request request, answer_sink sink, std::shared_ptr<run_cancellation>) -> task<run_outcome> {
        arrived = request;
        arrivedCell = cell;
        std::vector<http_field> noFields;
        co_await sink.head(201, noFields);
        for (std::size_t index = 0; index < pieceCount; ++index) {
            co_await sink.piece(std::to_string(index) + ",");
        }
        run_outcome outcome;
        outcome.trace = "done";
        outcome.startRecorded = true;
        co_return outcome;
    };
    fixture.callee.start(fixture.handlers);
    run_outcome outcome;
    fixture.run([&]() -> task<> {
        outcome = co_await fixture.caller.run(fixture.callee.address(), testCell, sent, fixture.sink(), nullptr);
    });
    std::string expected;
    for (std::size_t index = 0; index < pieceCount; ++index) {
        expected += std::to_string(index) + ",";
    }
    CHECK(fixture.received == expected);
    CHECK(fixture.receivedStatus == 201);
    CHECK(outcome.trace == "done");
    CHECK(outcome.startRecorded);
    CHECK(arrivedCell == testCell);
    CHECK(arrived.dispatch.deadline > currentTime() + std::chrono::minutes(50));
    arrived.dispatch.deadline = sent.dispatch.deadline;
    arrived.pool = sent.pool;
    CHECK(arrived == sent);
}

TEST_CASE("peer_rpc reports a node that cannot be reached as not arrived")
{
    peer_fixture fixture;
    fixture.callee.start(fixture.handlers);
    const endpoint closed{.address = "127.0.0.1", .port = 1};
    try {
        fixture.run([&]() -> task<> {
            co_await fixture.caller.run(closed, testCell, makeRequest(), fixture.sink(), nullptr);
        });
        FAIL("expected peer_error, found an outcome");
    } catch (const peer_error &error) {
        CHECK_FALSE(error.mayHaveArrived());
    }
}

TEST_CASE("peer_rpc cancels the run of a caller that cancels")
{
    peer_fixture fixture;
    async_event cancelledThere(fixture.context);
    bool wasCancelled = false;
    const auto cancellation = std::make_shared<run_cancellation>();
    fixture.handlers.run = [&](cell_id, run_request, answer_sink, std::shared_ptr<run_cancellation> here) -> task<run_outcome> {
        here->onCancel([&] {
            wasCancelled = true;
            cancelledThere.notify();
        });
        cancellation->cancel();
        while (!wasCancelled) {
            co_await cancelledThere.wait();
        }
        co_return run_outcome();
    };
    fixture.callee.start(fixture.handlers);
    run_outcome outcome;
    fixture.run([&]() -> task<> {
        outcome = co_await fixture.caller.run(fixture.callee.address(), testCell, makeRequest(), fixture.sink(), cancellation);
        while (!wasCancelled) {
            co_await cancelledThere.wait();
        }
    });
    CHECK(outcome.result.what == disposition::Cancelled);
    CHECK(wasCancelled);
}

TEST_CASE("peer_rpc ends the calls to a dropped node with an error that it may have arrived")
{
    peer_fixture fixture;
    fixture.handlers.run = [&](cell_id, run_request, answer_sink, std::shared_ptr<run_cancellation> here) -> task<run_outcome> {
        async_event ended(fixture.context);
        bool over = false;
        here->onCancel([&] {
            over = true;
            ended.notify();
        });
        fixture.caller.drop(fixture.callee.address());
        while (!over) {
            co_await ended.wait();
        }
        co_return run_outcome();
    };
    fixture.callee.start(fixture.handlers);
    try {
        fixture.run([&]() -> task<> {
            co_await fixture.caller.run(fixture.callee.address(), testCell, makeRequest(), fixture.sink(), nullptr);
        });
        FAIL("expected peer_error, found an outcome");
    } catch (const peer_error &error) {
        CHECK(error.mayHaveArrived());
    }
}

TEST_CASE("peer_rpc stops while it serves a run that has not ended")
{
    peer_fixture fixture;
    async_event served(fixture.context);
    bool begun = false;
    fixture.handlers.run = [&](cell_id, run_request, answer_sink, std::shared_ptr<run_cancellation>) -> task<run_outcome> {
        begun = true;
        served.notify();
        async_event never(fixture.context);
        co_await never.wait();
        co_return run_outcome();
    };
    fixture.callee.start(fixture.handlers);
    fixture.run([&]() -> task<> {
        const auto call = [&]() -> task<> {
            co_await fixture.caller.run(fixture.callee.address(), testCell, makeRequest(), fixture.sink(), nullptr);
        };
        asio::co_spawn(fixture.context, call, asio::detached);
        while (!begun) {
            co_await served.wait();
        }
    });
    CHECK(begun);
}

TEST_CASE("peer_rpc refuses a call with another secret")
{
    peer_fixture fixture;
    fixture.handlers.configurationSince = [](configuration_version) {
        return configuration_update();
    };
    fixture.callee.start(fixture.handlers);
    peer_rpc stranger(fixture.context, {.listen = endpoint::parse("127.0.0.1:0"), .secret = "another secret"});
    CHECK_THROWS_AS(fixture.run([&]() -> task<> {
        co_await stranger.configurationSince(fixture.callee.address(), 1);
    }),
                    peer_error);
    CHECK(fixture.refused == 1);
}

TEST_CASE("peer_rpc has another node hold and drop a result, and stop a content")
{
    const std::string key(100, 'k');
    const std::string result = std::string(100, 'r') + std::string("\0x", 2);
    peer_fixture fixture;
    std::vector<std::string> seen;
    fixture.handlers.keepResult = [&](const std::string &recordKey, const std::string &kept) {
        seen.push_back("keep " + recordKey + " " + kept);
    };
    fixture.handlers.forgetResult = [&](const std::string &recordKey) {
        seen.push_back("forget " + recordKey);
    };
    fixture.handlers.stopFingerprint = [&](std::uint64_t fingerprint, duration remaining) {
        seen.push_back("stop " + std::to_string(fingerprint) + " " + std::to_string(remaining.count()));
    };
    fixture.callee.start(fixture.handlers);
    fixture.run([&]() -> task<> {
        co_await fixture.caller.keepResult(fixture.callee.address(), key, result);
        co_await fixture.caller.forgetResult(fixture.callee.address(), key);
        co_await fixture.caller.stopFingerprint(fixture.callee.address(), 7, duration(9));
    });
    CHECK(seen == std::vector<std::string>{"keep " + key + " " + result, "forget " + key, "stop 7 9"});
}

TEST_CASE("peer_rpc carries configuration patches and snapshots")
{
    peer_fixture fixture;
    configuration_update given;
    fixture.handlers.configurationSince = [&](configuration_version) {
        return given;
    };
    fixture.callee.start(fixture.handlers);
    configuration_update taken;
    const auto ask = [&]() -> task<> {
        taken = co_await fixture.caller.configurationSince(fixture.callee.address(), 1);
    };
    given.patches = {{.version = 2, .mergePatch = "{}"}, {.version = 3, .mergePatch = "{\"a\":1}"}};
    fixture.run(ask);
    CHECK(taken == given);
    given.patches.clear();
    given.snapshot = configuration_snapshot{.version = 9, .json = "{}"};
    fixture.run(ask);
    REQUIRE(taken.patches.empty());
    REQUIRE(taken.snapshot);
    CHECK(taken.snapshot->version == 9);
    CHECK(taken.snapshot->json == "{}");
    CHECK(taken.patches.empty());
}
