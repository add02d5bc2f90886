#include "eventually.h"
#include "fleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace banyan;
using namespace banyan::process_tests;
namespace json = boost::json;

namespace {

constexpr int manyRequests = 30;

/// Sends chats one after the other, and counts those that get their own answer.
int answered(const fleet &running, std::size_t entry, const std::string &prefix)
{
    int count = 0;
    for (int number = 0; number < manyRequests; ++number) {
        const std::string message = prefix + " " + std::to_string(number);
        const http_response answer = running.chat(entry, message);
        UNSCOPED_INFO(message << ": " << answer.status << " " << answer.body);
        count += answer.status == 200 && contentOf(answer) == "echo:" + message ? 1 : 0;
    }
    return count;
}

std::size_t enginesAlive(fleet &running, std::size_t count)
{
    std::size_t alive = 0;
    for (std::size_t engine = 0; engine < count; ++engine) {
        alive += running.engineProcess(engine).running() ? 1 : 0;
    }
    return alive;
}

http_request orderUnderKey(const std::string &key)
{
    return {.method = "POST", .target = "/orders", .fields = {{"Idempotency-Key", key}}, .body = "one drum"};
}

bool knowsOneStoppedContent(fleet &running, std::size_t entry)
{
    const std::string metrics = running.operate(entry, {.target = "/metrics"}).body;
    return metrics.find("banyan_state{name=\"stopped_contents\"} 1") != std::string::npos;
}

} // namespace

TEST_CASE("requests go on when the VM that dispatches is killed")
{
    fleet running({.entries = 3});
    running.entryProcess(2).signal(SIGKILL);
    CHECK(answered(running, 0, "after the kill of e3") == manyRequests);
    running.entryProcess(1).signal(SIGKILL);
    CHECK(answered(running, 0, "after the kill of e2") == manyRequests);
}

TEST_CASE("requests go on while a VM that dispatches is frozen, and after it goes on")
{
    fleet running({.entries = 3});
    for (const std::size_t frozen : {1U, 2U}) {
        running.entryProcess(frozen).signal(SIGSTOP);
        CHECK(answered(running, 0, "while a VM is frozen " + std::to_string(frozen)) == manyRequests);
        running.entryProcess(frozen).signal(SIGCONT);
        CHECK(answered(running, 0, "after it goes on " + std::to_string(frozen)) == manyRequests);
    }
}

TEST_CASE("requests go on when an engine dies, is frozen or slow")
{
    fleet running({.engines = 3});
    SECTION("killed")
    {
        running.engineProcess(0).signal(SIGKILL);
        CHECK(answered(running, 0, "killed") == manyRequests);
    }
    SECTION("frozen")
    {
        for (int round = 0; round < 4; ++round) {
            REQUIRE(answered(running, 0, "before " + std::to_string(round)) == manyRequests);
        }
        running.engineProcess(0).signal(SIGSTOP);
        CHECK(answered(running, 0, "frozen") == manyRequests);
        running.engineProcess(0).signal(SIGCONT);
    }
    SECTION("slow")
    {
        fleet::setFaults(running.engine(0), {{"slow_factor", 20}});
        CHECK(answered(running, 0, "slow") == manyRequests);
    }
    SECTION("answering 503")
    {
        fleet::setFaults(running.engine(0), {{"refuse", true}});
        CHECK(answered(running, 0, "refusing") == manyRequests);
    }
}

TEST_CASE("a request that crashes engines is stopped after the second, also when it is sent again")
{
    constexpr std::size_t engines = 4;
    const std::string marker = "the prompt that crashes";
    fleet running({.entries = 2, .engines = engines});
    for (std::size_t engine = 0; engine < engines; ++engine) {
        fleet::setFaults(running.engine(engine), {{"crash_on", marker}});
    }
    const http_response first = running.chat(0, marker);
    CHECK(first.status >= 400);
    CHECK(first.field("X-Banyan-Run") != "not-run");
    // The connection of an engine that aborts closes a moment before its process has ended.
    CHECK(eventually([&] {
        return enginesAlive(running, engines) <= engines - 2;
    }));
    const std::size_t aliveAfterFirst = enginesAlive(running, engines);
    CHECK(aliveAfterFirst == engines - 2);
    CHECK(running.chat(0, marker).status >= 400);
    CHECK(enginesAlive(running, engines) == aliveAfterFirst);
    CHECK(answered(running, 0, "harmless") == manyRequests);
}

TEST_CASE("a request that crashed two engines is refused by the dispatchers of all cells when it is sent again")
{
    constexpr std::size_t engines = 18; // Too many for one cell.
    constexpr std::size_t repeats = 8; // Over both entry VMs and, by the router's choice, all cells.
    const std::string marker = "the prompt that crashes";
    fleet running({.entries = 2, .engines = engines});
    for (std::size_t engine = 0; engine < engines; ++engine) {
        fleet::setFaults(running.engine(engine), {{"crash_on", marker}});
    }
    CHECK(running.chat(0, marker).status >= 400);
    CHECK(eventually([&] {
        return knowsOneStoppedContent(running, 0) && knowsOneStoppedContent(running, 1);
    }));
    for (std::size_t repeat = 0; repeat < repeats; ++repeat) {
        CHECK(running.chat(repeat % 2, marker).status >= 400);
    }
    CHECK(enginesAlive(running, engines) >= engines - 2);
}

TEST_CASE("an order whose answer is lost ends as unknown and is not sent again")
{
    fleet running({.entries = 2, .services = 2});
    for (std::size_t service = 0; service < 2; ++service) {
        fleet::setFaults(running.service(service), {{"cut_after_effect", 1}});
    }
    const auto runs = [&] {
        return fleet::log(running.service(0)).at("started").to_number<int>()
               + fleet::log(running.service(1)).at("started").to_number<int>();
    };
    const http_response first = running.order(0, orderUnderKey("order-1"));
    CHECK(first.status >= 500);
    CHECK(first.field("X-Banyan-Run") == "unknown");
    CHECK(runs() == 1);
    const http_response again = running.order(1, orderUnderKey("order-1"));
    CHECK(again.field("X-Banyan-Run") == "unknown");
    CHECK(runs() == 1);
}

TEST_CASE("an order that is sent again under its key gets the same answer from any entry VM, and runs once")
{
    fleet running({.entries = 2, .services = 2});
    const http_response first = running.order(0, orderUnderKey("order-1"));
    REQUIRE(first.status == 200);
    CHECK(running.order(1, orderUnderKey("order-1")).body == first.body);
    CHECK(fleet::log(running.service(0)).at("started").to_number<int>() + fleet::log(running.service(1)).at("started").to_number<int>()
          == 1);
}

TEST_CASE("a key that is used again with other content is refused")
{
    fleet running({});
    REQUIRE(running.order(0, orderUnderKey("order-1")).status == 200);
    http_request other = orderUnderKey("order-1");
    other.body = "another drum";
    const http_response answer = running.order(0, other);
    CHECK(answer.status == 422);
    CHECK(answer.field("X-Banyan-Run") == "not-run");
}

TEST_CASE("when all engines refuse, the caller learns that its request was not run, and when to come back")
{
    fleet running({});
    fleet::setFaults(running.engine(0), {{"refuse", true}});
    fleet::setFaults(running.engine(1), {{"refuse", true}});
    const http_response answer = running.chat(0, "nobody takes this");
    CHECK(answer.status == 503);
    CHECK(answer.field("X-Banyan-Run") == "not-run");
    CHECK_FALSE(answer.field("Retry-After").empty());
    CHECK(running.runsOf("nobody takes this") == 0);
}

TEST_CASE("while the platform is down, chats are served and orders are refused as not run")
{
    fleet running({});
    fleet::setFaults(running.platform(), {{"down", true}});
    CHECK(running.chat(0, "no record needed").status == 200);
    const http_response refused = running.order(0, orderUnderKey("order-1"));
    CHECK(refused.status == 503);
    CHECK(refused.field("X-Banyan-Run") == "not-run");
    CHECK_FALSE(refused.field("Retry-After").empty());
    CHECK(fleet::log(running.service(0)).at("started") == 0);
    const json::object job = {{"input_file_id", "file-1"}, {"endpoint", "/v1/chat/completions"}, {"completion_window", "24h"}};
    const http_response refusedJob = call(running.callers(0), postJson("/v1/batches", callerKey, job));
    CHECK(refusedJob.status == 503);
    CHECK(refusedJob.field("X-Banyan-Run") == "not-run");
    fleet::setFaults(running.platform(), {{"down", false}});
    CHECK(eventually([&] {
        return running.order(0, orderUnderKey("order-1")).status == 200;
    }));
    CHECK(fleet::log(running.service(0)).at("started") == 1);
}
