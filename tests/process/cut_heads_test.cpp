#include "eventually.h"
#include "gateway_fleet.h"
#include "test_connection.h"
#include "unit/raw_upstream.h"

#include <catch2/catch.hpp>

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace banyan;
using namespace banyan::process_tests;
using banyan::tests::connection_end;
using banyan::tests::raw_answer;
using banyan::tests::raw_upstream;

namespace {

std::string fieldOf(const std::string &request, const std::string &name)
{
    const std::string mark = "\r\n" + name + ": ";
    const std::size_t begin = request.find(mark);
    return begin == std::string::npos ? "" : request.substr(begin + mark.size(), request.find("\r\n", begin + 2) - begin - mark.size());
}

std::string headFor(const std::string &id, bool chunked)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: s\r\n"
           + (chunked ? "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" : "Content-Length: 5\r\n\r\n");
}

/// An upstream whose answers to requests with ids "cut…" end within their heads, and whose other answers are whole.
class head_cutter
{
public:
    head_cutter()
        : m_upstream(m_context,
                     [this](const std::string &request, std::size_t) {
                         return answer(request);
                     })
        , m_thread([this] {
            m_context.run();
        })
    {
    }

    ~head_cutter()
    {
        m_context.stop();
        m_thread.join();
    }

    head_cutter(const head_cutter &) = delete;
    head_cutter &operator=(const head_cutter &) = delete;

    [[nodiscard]] endpoint address() const
    {
        return m_upstream.address();
    }

    /// The following answers end after so many bytes.
    void cutAt(std::size_t bytes, connection_end end)
    {
        const std::lock_guard lock(m_mutex);
        m_bytes = bytes;
        m_end = end;
    }

    int runsOf(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[id];
    }

private:
    raw_answer answer(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        const std::string id = fieldOf(request, "Request-Id");
        ++m_runs[id];
        const std::string head = headFor(id, !fieldOf(request, "Model").empty());
        if (id.starts_with("cut")) {
            return {.bytes = head.substr(0, m_bytes), .end = m_end};
        }
        return {.bytes = headFor(id, false) + "whole", .end = connection_end::Kept};
    }

    asio::io_context m_context;
    std::mutex m_mutex;
    std::size_t m_bytes = 0;
    connection_end m_end = connection_end::Closed;
    std::map<std::string, int> m_runs;
    raw_upstream m_upstream;
    std::thread m_thread;
};

struct request_form
{
    std::string path;
    std::vector<http_field> fields = {};
    bool repeatable = true;
};

} // namespace

TEST_CASE("an answer that ends within its head reaches no caller as an answer, wherever it is cut")
{
    head_cutter upstream;
    gateway_fleet fleet({.gateways = 1, .replicas = 0});
    fleet.registerText("cutter",
                       R"({"service":"s","address":")" + upstream.address().toString()
                           + R"(","zone":"d","version":"v1","slots":8,"state":"ready","seq":1})");
    REQUIRE(eventually([&] {
        return fleet.send(0, "/safe/1", "warm").status == 200;
    }));
    const std::vector<request_form> forms = {
        {.path = "/safe/1"}, {.path = "/once/1", .repeatable = false}, {.path = "/stream/1", .fields = {{"Model", "m"}}}};
    int number = 0;
    for (const request_form &form : forms) {
        const std::size_t headBytes = headFor("cut0000", !form.fields.empty()).size();
        for (std::size_t bytes = 0; bytes < headBytes; ++bytes) {
            // Resets take their time; every fourth byte and the ends of all lines are enough.
            const bool endsLine = bytes > 0 && headFor("cut0000", !form.fields.empty())[bytes - 1] == '\n';
            for (const connection_end end : {connection_end::Closed, connection_end::Reset}) {
                for (const bool reused : {false, true}) {
                    if (end == connection_end::Reset && bytes % 4 != 0 && !endsLine) {
                        continue;
                    }
                    const std::string id = "cut" + std::to_string(1000 + number++);
                    upstream.cutAt(bytes, end);
                    if (reused) {
                        REQUIRE(fleet.send(0, "/safe/1", "warm" + id).status == 200);
                    }
                    const http_response answer = fleet.send(0, form.path, id, form.fields);
                    INFO("cut after " << bytes << " bytes, " << (end == connection_end::Reset ? "reset" : "closed")
                                      << (reused ? ", reused connection" : ""));
                    CHECK(answer.status == 502);
                    CHECK((form.repeatable || upstream.runsOf(id) == 1));
                }
            }
        }
    }
}
