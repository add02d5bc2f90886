#include "eventually.h"
#include "gateway_fleet.h"
#include "raw_upstream_thread.h"
#include "test_connection.h"
#include "unit/early_upstream.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace banyan;
using namespace banyan::process_tests;
using banyan::tests::connection_end;
using banyan::tests::early_answer;
using banyan::tests::early_end;
using banyan::tests::early_upstream;
using banyan::tests::raw_answer;
using banyan::tests::valueIn;

namespace {

const std::string streamBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A route of a gateway_fleet.
struct route_form
{
    std::string path;
    bool isStream = false;
    bool isRepeatable = true;
};

const std::vector<route_form> routeForms = {{.path = "/safe/1"},
                                            {.path = "/once/1", .isRepeatable = false},
                                            {.path = "/stream/1", .isStream = true}};

http_request requestTo(const route_form &route, const std::string &id, const std::string &body = "question")
{
    http_request request{.method = "POST", .target = route.path, .fields = {{"Request-Id", id}, {"Deadline-Ms", "5000"}}, .body = body};
    if (route.isStream) {
        request.fields.push_back({"Model", "m"});
    }
    return request;
}

/// The status line and fields of an answer to the request with that id, without the empty line at their end.
std::string headOf(const std::string &id, const std::string &status, bool isStream)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\nResponse-Stamp: s\r\n"
           + (isStream ? "Content-Type: text/event-stream\r\n" : "");
}

/// A whole answer with a length.
std::string answerOf(const std::string &id, const std::string &status, bool isStream)
{
    const std::string body = isStream ? streamBody : "whole";
    return headOf(id, status, isStream) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A registration of an upstream at that address.
std::string registrationOf(const endpoint &address)
{
    return R"({"service":"s","address":")" + address.toString() + R"(","zone":"d","version":"v1","slots":8,"state":"ready","seq":1})";
}

/// A gateway whose only replica is a raw_upstream_thread.
class broken_replica_fixture
{
public:
    broken_replica_fixture()
    {
        m_fleet.registerText("broken", registrationOf(m_upstream.address()));
        REQUIRE(eventually([&] {
            return m_fleet.send(0, "/safe/1", "warm").status == 200;
        }));
    }

    /// Sends a request that the replica answers with what @p answer makes of its id, on a new connection to the replica or on a reused one.
    http_response send(const route_form &route, bool isReused, const std::function<raw_answer(const std::string &id)> &answer)
    {
        m_upstream.setScript([](const std::string &id, int) {
            return raw_answer{.bytes = answerOf(id, "200 OK", false)};
        });
        if (isReused) {
            REQUIRE(m_fleet.send(0, "/safe/1", "before-" + std::to_string(m_number)).status == 200);
        }
        m_upstream.setScript([answer](const std::string &id, int) {
            return answer(id);
        });
        m_lastId = "id-" + std::to_string(m_number++);
        return call(m_fleet.callers(0), requestTo(route, m_lastId));
    }

    /// Lets the replica answer all requests so.
    void answerWith(const std::function<std::string(const std::string &id)> &bytes)
    {
        m_upstream.setScript([bytes](const std::string &id, int) {
            return raw_answer{.bytes = bytes(id)};
        });
    }

    /// A caller's connection of its own.
    [[nodiscard]] test_connection connect() const
    {
        return test_connection(m_fleet.callers(0));
    }

    /// How often the replica got the last request.
    [[nodiscard]] int runs()
    {
        return m_upstream.runsOf(m_lastId);
    }

    /// Checks that no route takes an answer for one, and that requests which may not be repeated run once.
    void checkRefused(const std::function<std::string(const std::string &id, bool isStream)> &bytes,
                      connection_end end = connection_end::Kept)
    {
        for (const route_form &route : routeForms) {
            for (const bool isReused : {false, true}) {
                INFO(route.path << (isReused ? ", reused connection" : ""));
                const http_response answer = send(route, isReused, [&](const std::string &id) {
                    return raw_answer{.bytes = bytes(id, route.isStream), .end = end};
                });
                CHECK(answer.status == 502);
                CHECK((route.isRepeatable || runs() == 1));
            }
        }
    }

private:
    raw_upstream_thread m_upstream{[](const std::string &id, int) {
        return raw_answer{.bytes = answerOf(id, "200 OK", false)};
    }};
    gateway_fleet m_fleet{{.gateways = 1, .replicas = 0}};
    std::string m_lastId;
    int m_number = 0;
};

/// A gateway whose only replica is an early_upstream, at which uploads wait.
class early_replica_fixture
{
public:
    early_replica_fixture()
    {
        REQUIRE(m_upstream.bytesHeldUnread() < upload.size() / 2); // Else the upload ends before the answer does.
        m_fleet.registerText("early", registrationOf(m_upstream.address()));
        play(early_end::Kept, [](const std::string &id) {
            return answerOf(id, "200 OK", false);
        });
        REQUIRE(eventually([&] {
            return m_fleet.send(0, "/safe/1", "warm").status == 200;
        }));
    }

    /// What the replica answers to the following requests, before it reads their bodies.
    void play(early_end end, const std::function<std::string(const std::string &id)> &bytes)
    {
        m_upstream.setScript([=](const std::string &head) {
            return early_answer{.bytes = bytes(valueIn(head, "Request-Id")), .end = end};
        });
    }

    /// The answer to a long upload; nothing if it is broken off.
    std::optional<http_response> send(const route_form &route)
    {
        try {
            return call(m_fleet.callers(0), requestTo(route, "id-" + std::to_string(m_number++), upload));
        } catch (const call_failure &) {
            return std::nullopt;
        }
    }

    /// Requests that the replica got so far.
    [[nodiscard]] int requests() const
    {
        return m_upstream.requests();
    }

private:
    static inline const std::string upload = std::string(1000000, 'u');

    early_upstream m_upstream{nullptr};
    gateway_fleet m_fleet{{.gateways = 1, .replicas = 0, .maximumBody = 2 * upload.size()}};
    int m_number = 0;
};

} // namespace

TEST_CASE("an answer whose status is none of HTTP's reaches no caller, and its connection is not used again")
{
    broken_replica_fixture fixture;
    for (const std::string status : {"000 No", "001 No", "099 No", "600 No", "999 No"}) {
        INFO(status);
        fixture.checkRefused([&](const std::string &id, bool isStream) {
            // A second answer waits on the connection, which the next request would get there.
            return answerOf(id, status, isStream) + answerOf("other", "200 OK", isStream);
        });
    }
}

TEST_CASE("an answer with a status line that is none of HTTP's reaches no caller")
{
    broken_replica_fixture fixture;
    for (const std::string status : {"20 OK", "2000 OK", "OK", "+20 OK", "-20 OK", "2x0 OK"}) {
        INFO(status);
        fixture.checkRefused([&](const std::string &id, bool isStream) {
            return answerOf(id, status, isStream);
        });
    }
}

TEST_CASE("an answer with a field name that is none of HTTP's reaches no caller")
{
    const std::string control(1, '\x01');
    const std::string nul(1, '\0');
    broken_replica_fixture fixture;
    for (const std::string &name : {std::string("Two Words"),
                                    std::string("Blank "),
                                    std::string("Tab\tbed"),
                                    "Con" + control + "trol",
                                    "N" + nul + "ul",
                                    std::string("Delete\x7f"),
                                    std::string("Colon\xc3\xa9"),
                                    std::string()}) {
        INFO("field name \"" << name << "\"");
        fixture.checkRefused([&](const std::string &id, bool isStream) {
            const std::string whole = answerOf(id, "200 OK", isStream);
            return whole.substr(0, whole.find("\r\n") + 2) + name + ": v\r\n" + whole.substr(whole.find("\r\n") + 2);
        });
    }
}

TEST_CASE("an answer whose first field line begins with a blank reaches no caller")
{
    broken_replica_fixture fixture;
    for (const std::string blank : {" ", "\t"}) {
        fixture.checkRefused([&](const std::string &id, bool isStream) {
            const std::string whole = answerOf(id, "200 OK", isStream);
            return whole.substr(0, whole.find("\r\n") + 2) + blank + "Name: v\r\n" + whole.substr(whole.find("\r\n") + 2);
        });
    }
}

TEST_CASE("an answer whose head contradicts itself, or holds what no head may, reaches no caller")
{
    const std::string nul(1, '\0');
    broken_replica_fixture fixture;
    for (const std::string &fields : {std::string("Content-Length: 5\r\nContent-Length: 6\r\n"),
                                      std::string("Content-Length: +5\r\n"),
                                      std::string("Content-Length: -5\r\n"),
                                      std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
                                      std::string("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
                                      "Content-Length: 5\r\nOwn: n" + nul + "ul\r\n",
                                      std::string("Content-Length: 5\r\nOwn: re\rturn\r\n")}) {
        INFO(fields);
        fixture.checkRefused([&](const std::string &id, bool isStream) {
            return headOf(id, "200 OK", isStream) + fields + "\r\nwhole";
        });
    }
    for (const std::string version : {"HTTP/1.2", "HTTP/2.0", "HTTP/11", "HTTQ/1.1"}) {
        INFO(version);
        fixture.checkRefused([&](const std::string &id, bool isStream) {
            return version + answerOf(id, "200 OK", isStream).substr(version.size());
        });
    }
}

TEST_CASE("sound answers with a rare status, or without a reason, reach the caller whole")
{
    broken_replica_fixture fixture;
    for (const std::string status : {"200 ", "226 IM Used", "299 Own", "404 Not Found", "418 Teapot", "599 Own"}) {
        INFO(status);
        const http_response answer = fixture.send({.path = "/once/1"}, false, [&](const std::string &id) {
            return raw_answer{.bytes = answerOf(id, status, false)};
        });
        CHECK(answer.status == static_cast<unsigned>(std::stoi(status)));
        CHECK(answer.body == "whole");
    }
}

TEST_CASE("interim answers before a sound one are skipped, whatever they say")
{
    const std::string proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string processing = "HTTP/1.1 102 Processing\r\nContent-Length: 5\r\n\r\n";
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nRequest-Id: other\r\nLink: </a>\r\n\r\n";
    std::string all = proceed;
    all.append(processing).append(hints);
    broken_replica_fixture fixture;
    for (const std::string &interim : {proceed, processing, hints, std::string("HTTP/1.1 199 Own\r\n\r\n"), all}) {
        for (const route_form &route : routeForms) {
            for (const bool isReused : {false, true}) {
                INFO(interim << route.path << (isReused ? ", reused connection" : ""));
                const http_response answer = fixture.send(route, isReused, [&](const std::string &id) {
                    return raw_answer{.bytes = interim + answerOf(id, "200 OK", route.isStream)};
                });
                CHECK(answer.status == 200);
                CHECK(answer.body == (route.isStream ? streamBody : "whole"));
                CHECK(answer.field("Link").empty());
                CHECK(fixture.runs() == 1);
            }
        }
    }
}

TEST_CASE("a change of protocols that nobody asked for reaches no caller")
{
    broken_replica_fixture fixture;
    fixture.checkRefused([](const std::string &id, bool isStream) {
        return headOf(id, "101 Switching Protocols", isStream) + "Upgrade: other\r\nConnection: Upgrade\r\n\r\nother bytes";
    });
}

TEST_CASE("interim answers without a final one, or without end, reach no caller, and run no request again that may not be")
{
    const std::string proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string many;
    for (int number = 0; number < 1000; ++number) {
        many += proceed;
    }
    broken_replica_fixture fixture;
    fixture.checkRefused([&](const std::string &id, bool isStream) {
        return many + answerOf(id, "200 OK", isStream);
    });
    fixture.checkRefused([&](const std::string &id, bool isStream) {
        return proceed + answerOf(id, "000 No", isStream);
    });
    for (const connection_end end : {connection_end::Closed, connection_end::Reset}) {
        fixture.checkRefused(
            [&](const std::string &, bool) {
                return std::string(proceed);
            },
            end);
    }
}

TEST_CASE("an unframed answer that is reset while its request is being written reaches no caller as complete")
{
    early_replica_fixture fixture;
    for (const route_form &route : routeForms) {
        const std::string body = route.isStream ? "id: 1\ndata: a\n\n" : "who";
        for (const std::string &sent : {std::string(), body}) {
            INFO(route.path << " after " << sent.size() << " bytes");
            fixture.play(early_end::Reset, [&](const std::string &id) {
                return headOf(id, "200 OK", route.isStream) + "\r\n" + sent;
            });
            const int before = fixture.requests();
            const std::optional<http_response> answer = fixture.send(route);
            CHECK((answer ? answer->status == 502 : route.isStream));
            CHECK((route.isRepeatable || fixture.requests() == before + 1));
        }
    }
}

TEST_CASE("a whole answer that ends in order, or has a frame, reaches the caller while its request is being written")
{
    early_replica_fixture fixture;
    for (const route_form &route : routeForms) {
        const std::string body = route.isStream ? streamBody : "whole";
        const std::string unframed = "\r\n" + body;
        for (const early_end end : {early_end::EndsAndReads, early_end::EndsAndIgnores, early_end::EndsAndResets, early_end::Kept}) {
            INFO(route.path << ", end " << static_cast<int>(end));
            fixture.play(end, [&](const std::string &id) {
                return end == early_end::Kept ? answerOf(id, "200 OK", route.isStream) : headOf(id, "200 OK", route.isStream) + unframed;
            });
            const std::optional<http_response> answer = fixture.send(route);
            REQUIRE(answer.has_value());
            CHECK(answer->status == 200);
            CHECK(answer->body == body);
        }
    }
}

TEST_CASE("an answer whose body is coded for its transfer in a way that nobody asked for reaches no caller")
{
    broken_replica_fixture fixture;
    for (const std::string fields : {"Transfer-Encoding: gzip\r\nContent-Length: 5\r\n",
                                     "Transfer-Encoding: gzip\r\n",
                                     "Transfer-Encoding: gzip, chunked\r\n",
                                     "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                                     "Transfer-Encoding: chunked, gzip\r\n",
                                     "Transfer-Encoding: chunked, identity\r\n",
                                     "Transfer-Encoding: chunked, chunked\r\n",
                                     "Transfer-Encoding: chunked;q=1\r\n"}) {
        INFO(fields);
        fixture.checkRefused(
            [&](const std::string &id, bool isStream) {
                return headOf(id, "200 OK", isStream) + fields + "\r\n5\r\nwhole\r\n0\r\n\r\n";
            },
            connection_end::Closed);
    }
}

TEST_CASE("an answer whose body is in chunks, or explicitly not coded, reaches the caller whole")
{
    broken_replica_fixture fixture;
    for (const std::string rest :
         {"Transfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nwhole"}) {
        INFO(rest);
        const http_response answer = fixture.send({.path = "/once/1"}, false, [&](const std::string &id) {
            return raw_answer{.bytes = headOf(id, "200 OK", false) + rest};
        });
        CHECK(answer.status == 200);
        CHECK(answer.body == "whole");
    }
}

TEST_CASE("an answer that has no body by its status ends with its head, on every route, whatever its replica sends after it")
{
    int number = 0;
    broken_replica_fixture fixture;
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        for (const std::string rest :
             {"\r\n", "Content-Length: 5\r\n\r\nbody!", "Transfer-Encoding: chunked\r\n\r\n5\r\nbody!\r\n0\r\n\r\n"}) {
            for (const route_form &route : routeForms) {
                INFO(status << ", " << rest << ", " << route.path);
                test_connection caller = fixture.connect();
                fixture.answerWith([&](const std::string &id) {
                    return headOf(id, status, route.isStream) + rest;
                });
                caller.send(requestTo(route, "id-" + std::to_string(number++)));
                const http_response answer = caller.receive();
                CHECK(status.starts_with(std::to_string(answer.status)));
                CHECK(answer.field("Content-Length").empty());
                CHECK(answer.body.empty());
                // The next answer on the caller's connection is its own.
                fixture.answerWith([&](const std::string &id) {
                    return answerOf(id, "200 OK", route.isStream);
                });
                caller.send(requestTo(route, "id-" + std::to_string(number++)));
                const http_response next = caller.receive();
                CHECK(next.status == 200);
                CHECK(next.body == (route.isStream ? streamBody : "whole"));
            }
        }
    }
}
