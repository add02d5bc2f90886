#include "crowd.h"
#include "eventually.h"
#include "gateway_fleet.h"
#include "process_usage.h"
#include "test_connection.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

using namespace banyan;
using namespace banyan::process_tests;
using namespace std::chrono_literals;

namespace {

// The machine: what the settings say of it is the bound of the checks.
constexpr std::size_t memoryMegabytes = 40;
constexpr std::size_t maximumDescriptors = 150;

constexpr std::size_t maximumBody = std::size_t(1) << 20; // Bytes, in the configuration.
constexpr std::size_t answerBytes = std::size_t(6) << 20; // Of the long answers.
constexpr std::size_t largeChunk = std::size_t(16) << 10;
constexpr std::size_t smallChunk = 16;

#if defined(__SANITIZE_ADDRESS__)
constexpr bool memoryIsComparable = false; // Shadow memory and freed memory that is kept are resident as well.
#else
constexpr bool memoryIsComparable = true;
#endif

std::string chunkOf(std::size_t length)
{
    char size[20];
    (void)std::snprintf(size, sizeof(size), "%zx", length);
    return std::string(size) + "\r\n" + std::string(length, 'x') + "\r\n";
}

std::string headOf(const std::string &method, const std::string &path, const std::string &fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: test\r\nDeadline-Ms: 5000\r\n" + fields + "\r\n";
}

/// A chunked body that never ends.
crowd_behaviour chunkedBody(std::size_t length, std::size_t chunk)
{
    return {.opening = headOf("POST", "/safe/crowd", "Transfer-Encoding: chunked\r\n"), .piece = chunkOf(chunk), .pieces = length / chunk};
}

crowd_behaviour announcedBody(std::size_t length)
{
    return {.opening = headOf("POST", "/safe/crowd", "Content-Length: " + std::to_string(length) + "\r\n"),
            .piece = std::string(largeChunk, 'x'),
            .pieces = length / largeChunk};
}

crowd_behaviour reader(reading reads)
{
    return {.opening = headOf("GET", "/safe/long", ""), .reads = reads};
}

/// A head that goes on and on, a byte at a time.
crowd_behaviour tricklingHead()
{
    return {.opening = "POST /safe/crowd HTTP/1.1\r\nHost: test\r\nX: ", .piece = "x", .pieces = 2000, .pause = 50ms};
}

/// A job with one long item.
crowd_behaviour longJob()
{
    const std::string body(maximumBody * 7 / 8 / 4 * 4, 'A'); // Of an item, in base64.
    const std::string job =
        R"({"items":[{"id":"item-{client}","path":"/jobs/run","headers":{"Model":"m"},"body":")" + body + R"(","tokens":1}]})";
    const std::size_t length = job.size() - std::string("{client}").size() + std::string("0000").size();
    const std::string fields = "Request-Id: job-{client}\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(length);
    return {.opening = headOf("POST", "/jobs/crowd", fields + "\r\n") + job, .stagger = 100ms};
}

crowd_behaviour idleConnection()
{
    return {};
}

/// A gateway on a small machine, and crowds at its door.
class small_machine
{
public:
    small_machine()
        : m_fleet({.gateways = 1,
                   .replicaArguments = {"--long-bytes", std::to_string(answerBytes), "--events", "1000"},
                   .settings = "memory_megabytes: " + std::to_string(memoryMegabytes)
                               + "\nmaximum_descriptors: " + std::to_string(maximumDescriptors) + "\n",
                   .maximumBody = maximumBody,
                   .slots = 64})
    {
    }

    void add(std::size_t clients, const crowd_behaviour &behaviour)
    {
        m_crowds.push_back(std::make_unique<crowd>(m_fleet.callers(0), clients, behaviour));
    }

    /// Waits until nothing moves between the crowds and the process for a while, or for a bounded time, and checks what must hold meanwhile and afterwards.
    void check()
    {
        settle();
        INFO("peak resident KiB " << peakResidentOf(process().pid()) << ", most descriptors " << m_mostDescriptors);
        CHECK(process().running());
        CHECK(ordinaryRequestIsAnswered()); // Beside the crowds.
        m_crowds.clear();
        CHECK(process().running());
        CHECK(ordinaryRequestIsAnswered());
        CHECK(m_mostDescriptors <= maximumDescriptors);
        if (memoryIsComparable) {
            CHECK(peakResidentOf(process().pid()) < memoryMegabytes * 1024);
        }
    }

private:
    static constexpr int quietLooks = 20; ///< So many in a row without a byte sent or read, and the crowds have settled.
    static constexpr int mostLooks = 150;

    [[nodiscard]] child_process &process()
    {
        return m_fleet.gatewayProcess(0);
    }

    void settle()
    {
        std::pair<std::size_t, std::size_t> before;
        for (int look = 0, quiet = 0; look < mostLooks && quiet < quietLooks; ++look) {
            std::this_thread::sleep_for(100ms);
            std::size_t moved = 0;
            for (const std::unique_ptr<crowd> &each : m_crowds) {
                moved += each->bytesMoved();
            }
            const std::pair now(moved, queuedBytesAt(m_fleet.callers(0).port));
            quiet = now == before ? quiet + 1 : 0;
            before = now;
            m_mostDescriptors = std::max(m_mostDescriptors, descriptorsOf(process().pid()));
        }
    }

    /// As a client within the limits, which comes again after a refusal.
    bool ordinaryRequestIsAnswered()
    {
        return eventually([&] {
            m_mostDescriptors = std::max(m_mostDescriptors, descriptorsOf(process().pid()));
            const std::string id = "ordinary-" + std::to_string(++m_requests);
            try {
                const http_response answer = m_fleet.send(0, "/safe/ordinary", id);
                return answer.status == 200 && answer.body == "answer to " + id;
            } catch (const call_failure &) {
                return false;
            }
        });
    }

    gateway_fleet m_fleet;
    std::vector<std::unique_ptr<crowd>> m_crowds;
    std::size_t m_mostDescriptors = 0;
    int m_requests = 0;
};

} // namespace

TEST_CASE("a request with the longest body that the pages allow is served in calm on the smallest machine")
{
    constexpr std::size_t longestBody = std::size_t(4) << 20;
    const gateway_fleet fleet({.gateways = 1, .settings = "memory_megabytes: 32\nmaximum_descriptors: 150\n", .maximumBody = longestBody});
    const http_request request{.method = "POST",
                               .target = "/once/whole",
                               .fields = {{"Request-Id", "whole"}, {"Deadline-Ms", "5000"}},
                               .body = std::string(longestBody, 'x')};
    CHECK(call(fleet.callers(0), request).status == 200);
}

TEST_CASE("a crowd whose chunked bodies stop just short of their end, in large chunks, leaves the process within its memory")
{
    small_machine machine;
    machine.add(100, chunkedBody(maximumBody - largeChunk, largeChunk));
    machine.check();
}

TEST_CASE("a crowd whose chunked bodies stop just short of their end, in chunks of 16 bytes, leaves the process within its memory")
{
    small_machine machine;
    machine.add(100, chunkedBody(maximumBody - largeChunk, smallChunk));
    machine.check();
}

TEST_CASE("a crowd that announces bodies far over the limit leaves the process within its memory")
{
    small_machine machine;
    machine.add(100, announcedBody(20 * maximumBody));
    machine.check();
}

TEST_CASE("a crowd that just sends bodies far over the limit leaves the process within its memory")
{
    small_machine machine;
    machine.add(100, chunkedBody(20 * maximumBody, largeChunk));
    machine.check();
}

TEST_CASE("a crowd that reads long answers slowly or never leaves the process within its memory")
{
    small_machine machine;
    machine.add(12, reader(reading::Slowly));
    machine.add(12, reader(reading::Nothing));
    machine.check();
}

TEST_CASE("a crowd of trickling heads and idle connections leaves descriptors for the others")
{
    small_machine machine;
    machine.add(100, tricklingHead());
    machine.add(100, idleConnection());
    machine.check();
}

TEST_CASE("a crowd that submits long jobs leaves the process within its memory")
{
    small_machine machine;
    machine.add(60, longJob());
    machine.check();
}

TEST_CASE("all crowds at once leave the process within its memory and descriptors")
{
    small_machine machine;
    machine.add(40, chunkedBody(maximumBody - largeChunk, largeChunk));
    machine.add(20, chunkedBody(maximumBody - largeChunk, smallChunk));
    machine.add(20, announcedBody(20 * maximumBody));
    machine.add(20, chunkedBody(20 * maximumBody, largeChunk));
    machine.add(6, reader(reading::Slowly));
    machine.add(6, reader(reading::Nothing));
    machine.add(30, tricklingHead());
    machine.add(30, idleConnection());
    machine.check();
}
