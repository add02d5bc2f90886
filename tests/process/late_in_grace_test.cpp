#include "gateway_fleet.h"
#include "test_connection.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace banyan;
using namespace banyan::process_tests;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds never = 1h;

/// When a request's head and the last byte of its body are sent, after the signal. The fleet's gateways have eight seconds from
/// then on, and take no new connections after two and a half; its routes allow five seconds from the head on.
struct arrival
{
    std::chrono::milliseconds head{};
    std::chrono::milliseconds lastByte{};
};

const std::vector<arrival> arrivals = {{-200ms, 0ms},
                                       {-200ms, 1000ms},
                                       {-200ms, 3500ms},
                                       {-200ms, 6000ms},
                                       {-200ms, never},
                                       {1000ms, 1000ms},
                                       {2200ms, 2200ms},
                                       {2200ms, 3500ms},
                                       {2200ms, 5000ms},
                                       {2200ms, 6500ms},
                                       {2200ms, never}};
constexpr std::chrono::seconds patience(15);

std::string idOf(const std::string &kind, const arrival &when)
{
    return kind + "-" + std::to_string(when.head.count()) + "-" + std::to_string(when.lastByte.count());
}

/// Sends a request in two parts. Returns the status of its whole answer; 0 if the connection ended without one.
unsigned sendAt(const gateway_fleet &fleet, const std::string &kind, const arrival &when, std::chrono::steady_clock::time_point signalled)
{
    try {
        std::this_thread::sleep_until(signalled + when.head);
        test_connection connection(fleet.callers(0), patience);
        const std::string model = kind == "stream" ? "Model: m\r\n" : "";
        connection.sendRaw("POST /" + kind + "/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: " + idOf(kind, when) + "\r\n" + model
                           + "Content-Length: 4\r\n\r\nbod");
        if (when.lastByte != never) {
            std::this_thread::sleep_until(signalled + when.lastByte);
            connection.sendRaw("y");
        }
        return connection.receive().status;
    } catch (const call_failure &) {
        return 0;
    }
}

} // namespace

TEST_CASE("a gateway that is stopped answers each request that it has read, whenever in its grace that arrives")
{
    gateway_fleet fleet({.gateways = 1, .replicas = 2, .replicaArguments = {"--event-ms", "300", "--events", "1"}});
    const auto signalled = std::chrono::steady_clock::now() + 400ms;
    const std::vector<std::string> kinds = {"safe", "once", "stream"};
    std::map<std::string, std::future<unsigned>> statuses;
    for (const std::string &kind : kinds) {
        for (const arrival &when : arrivals) {
            statuses[idOf(kind, when)] = std::async(std::launch::async, [&fleet, &kind, &when, signalled] {
                return sendAt(fleet, kind, when, signalled);
            });
        }
    }
    std::this_thread::sleep_until(signalled);
    fleet.gatewayProcess(0).signal(SIGTERM);
    for (auto &[id, pending] : statuses) {
        const unsigned status = pending.get();
        const int runs = fleet.runsOf(id);
        INFO("request " << id);
        CHECK((status == 200 || status == 503));
        CHECK((status == 200) == (runs > 0));
        CHECK((!id.starts_with("once") || runs <= 1));
    }
    for (const std::string &kind : kinds) {
        CHECK(fleet.runsOf(idOf(kind, {-200ms, 1000ms})) > 0);
        CHECK(fleet.runsOf(idOf(kind, {1000ms, 1000ms})) > 0);
    }
    CHECK(fleet.gatewayProcess(0).waitForExit() == 0);
}

TEST_CASE("a gateway that is stopped begins no request that must not be repeated unless it has time to finish it")
{
    // The replica takes six seconds, and the route allows five: without the stop the caller would hear that the outcome is unknown.
    gateway_fleet fleet({.gateways = 1, .replicas = 1, .replicaArguments = {"--event-ms", "6000"}});
    fleet.gatewayProcess(0).signal(SIGTERM);
    const arrival late{2300ms, 2300ms};
    CHECK(sendAt(fleet, "once", late, std::chrono::steady_clock::now()) == 503);
    CHECK(fleet.runsOf(idOf("once", late)) == 0);
}

TEST_CASE("a gateway that is stopped tells the caller of a request that outlasts its grace that the outcome is unknown")
{
    gateway_fleet fleet({.gateways = 1, .replicas = 1, .replicaArguments = {"--event-ms", "60000"}});
    auto answer = std::async(std::launch::async, [&] {
        return call(fleet.callers(0), {.method = "POST", .target = "/once/1", .fields = {{"Request-Id", "long"}}, .body = "b"}, patience);
    });
    std::this_thread::sleep_for(300ms);
    fleet.gatewayProcess(0).signal(SIGTERM);
    const http_response told = answer.get();
    CHECK((told.status == 502 || told.status == 504));
    CHECK(fleet.runsOf("long") == 1);
}
