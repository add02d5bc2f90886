#include "eventually.h"
#include "gateway_fleet.h"
#include "raw_upstream_thread.h"
#include "test_connection.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace banyan;
using namespace banyan::process_tests;
using banyan::tests::connection_end;
using banyan::tests::raw_answer;

namespace {

std::string headFor(const std::string &id, bool chunked)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: s\r\n"
           + (chunked ? "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" : "Content-Length: 5\r\n\r\n");
}

/// Answers to requests with ids "cut…" end after so many bytes of their heads; the others are whole.
raw_upstream_thread::script cutAt(std::size_t bytes, connection_end end, bool chunked)
{
    return [=](const std::string &id, int) -> raw_answer {
        if (id.starts_with("cut")) {
            return {.bytes = headFor(id, chunked).substr(0, bytes), .end = end};
        }
        return {.bytes = headFor(id, false) + "whole", .end = connection_end::Kept};
    };
}

struct request_form
{
    std::string path;
    std::vector<http_field> fields = {};
    bool repeatable = true;
};

} // namespace

TEST_CASE("an answer that ends within its head reaches no caller as an answer, wherever it is cut")
{
    raw_upstream_thread upstream(cutAt(0, connection_end::Closed, false));
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
                    upstream.setScript(cutAt(bytes, end, !form.fields.empty()));
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
