#include "row_codec.h"

#include "banyan/core/serving/key_digester.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const key_digester digester({});

table_row rowOf(const std::string &value)
{
    return {.name = {.table = "t", .part = "", .key = "i-1"}, .value = value, .version = 3};
}

const std::string configurationText = R"({"version":7,
 "routes":[{"name":"r1","host":"Ficu.Example","path_prefix":"/p/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,
            "priority":0,"service":"a","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":400},
           {"name":"r2","host":"h","path_prefix":"/q/","kind":"bulk","completion_window_ms":18000,"retention_s":60,
            "traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}]},
           {"name":"r3","host":"h","path_prefix":"/s/","kind":"safe","service":"b"},
           {"name":"r4","host":"h","path_prefix":"/u/","kind":"unsafe","service":"b"},
           {"name":"broken","host":"h","path_prefix":"/x/","kind":"another"}],
 "services":[{"name":"a","health_path":"/health","max_conns":170}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

} // namespace

TEST_CASE("decodeConfiguration takes routes, services and limits over and leaves out what it cannot read")
{
    const std::optional<serving_configuration> configuration = platform::decodeConfiguration(rowOf(configurationText), digester);
    REQUIRE(configuration.has_value());
    CHECK(configuration->version == 7);
    REQUIRE(configuration->routes.size() == 4);
    const route &stream = configuration->routes[0];
    CHECK(stream.host == "ficu.example");
    CHECK(stream.kind == request_kind::Stream);
    CHECK(stream.resumable);
    CHECK(stream.timeout == 5s);
    CHECK(stream.target == 300ms);
    CHECK(stream.gapTarget == 400ms);
    CHECK(stream.maximumAttempts == 2);
    const route &job = configuration->routes[1];
    CHECK(job.kind == request_kind::Job);
    CHECK(job.completionWindow == 18s);
    CHECK(job.retention == 60s);
    CHECK(job.services == std::vector<weighted_service>{{service_name("a"), 90}, {service_name("b"), 10}});
    CHECK(configuration->routes[2].isRepeatable());
    CHECK_FALSE(configuration->routes[3].isRepeatable());
    CHECK(configuration->services.at(service_name("a")).maximumConnections == 170);
    CHECK(configuration->limits.idleTimeout == 15s);
}

TEST_CASE("decodeConfiguration refuses what is no configuration")
{
    for (const std::string text : {"", "null", "[1]", "{\"version\":\"7\"}", "{\"routes\":[]}", "{\"version\":"}) {
        CHECK_FALSE(platform::decodeConfiguration(rowOf(text), digester).has_value());
    }
}

TEST_CASE("decodeConfiguration takes organisations over with the digests of their keys, sorted by name")
{
    const std::optional<serving_configuration> configuration = platform::decodeConfiguration(
        rowOf(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"safe","service":"a","public":true}],
            "tenants":[{"name":"b","api_keys":["k3"],"rate_per_s":2.5,"burst":10},
                       {"name":"a","api_keys":["k1",7,"","k2"],"priority":1,"rate_per_s":-1,"burst":"many"}]})"),
        digester);
    REQUIRE(configuration.has_value());
    CHECK(configuration->requiresKeys);
    CHECK(configuration->routes.front().isPublic);
    const std::vector<organisation> expected = {
        {.name = caller_id("a"), .keys = {digester.digest("k1"), digester.digest("k2")}, .priority = 1},
        {.name = caller_id("b"), .keys = {digester.digest("k3")}, .priority = std::nullopt, .requestsPerSecond = 2.5, .burst = 10}};
    CHECK(configuration->organisations == expected);
}

TEST_CASE("decodeConfiguration requires keys as soon as organisations are listed, even if none of them can be read")
{
    const auto decode = [](const std::string &organisations) {
        return platform::decodeConfiguration(rowOf(R"({"version":7,"tenants":)" + organisations + "}"), digester);
    };
    for (const std::string unreadable :
         {R"([{"api_keys":["k"]}])", R"([{"name":"","api_keys":["k"]}])", R"([{"name":"a\r\nb"}])", "[1]", "7"}) {
        CHECK(decode(unreadable)->requiresKeys);
        CHECK(decode(unreadable)->organisations.empty());
    }
    CHECK_FALSE(decode("[]")->requiresKeys);
    CHECK_FALSE(decode("null")->requiresKeys);
    CHECK_FALSE(platform::decodeConfiguration(rowOf(configurationText), digester)->requiresKeys);
}

TEST_CASE("decodeReplica reads an upstream's registration")
{
    const std::optional<replica> entry = platform::decodeReplica(rowOf(
        R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":8,"state":"draining","cold_left_ms":0,"seq":4,"born":1764800000123})"));
    REQUIRE(entry.has_value());
    CHECK(entry->id == upstream_id("i-1"));
    CHECK(entry->service == service_name("s"));
    CHECK(entry->address == endpoint{"10.1.0.9", 8080});
    CHECK(entry->domain == failure_domain("z"));
    CHECK(entry->slots == 8);
    CHECK(entry->draining);
    CHECK(entry->startedAt == 1764800000123);
}

TEST_CASE("decodeReplica names no upstream for an entry that another writer has left")
{
    for (const std::string text : {"bytes",
                                   R"({"service":"s","address":"10.1.0.9:8080","slots":8,"state":"resting"})",
                                   R"({"service":"s","address":"nowhere","slots":8,"state":"ready"})",
                                   R"({"service":7,"address":"10.1.0.9:8080","slots":8,"state":"ready"})",
                                   R"({"service":"s","address":"10.1.0.9:8080","slots":"8","state":"ready"})",
                                   R"({"service":"s","address":"10.1.0.9:8080","slots":8,"state":"ready","born":"then"})",
                                   R"({"service":"s","address":"10.1.0.9:8080","slots":8})"}) {
        CHECK_FALSE(platform::decodeReplica(rowOf(text)).has_value());
    }
}

TEST_CASE("decodeReplica names no upstream for an entry that is deeply nested or has a number or port out of range")
{
    const auto withSlots = [](const std::string &slots) {
        return R"({"service":"s","address":"10.1.0.9:8080","state":"ready","slots":)" + slots + "}";
    };
    const auto withPort = [](const std::string &port) {
        return R"({"service":"s","address":"10.1.0.9:)" + port + R"(","state":"ready","slots":8})";
    };
    REQUIRE(platform::decodeReplica(rowOf(withSlots("8"))).has_value());
    REQUIRE(platform::decodeReplica(rowOf(withPort("65535"))).has_value());
    constexpr std::size_t depth = 200000;
    std::string objects;
    for (std::size_t level = 0; level < depth; ++level) {
        objects += R"({"a":)";
    }
    for (const std::string &text : {withSlots(std::string(depth, '[')),
                                    withSlots(std::string(depth, '[') + std::string(depth, ']')),
                                    objects,
                                    objects + "1" + std::string(depth, '}'),
                                    withSlots("1e999"),
                                    withSlots("1e30"),
                                    withSlots("-1e999"),
                                    withSlots("18446744073709551616"),
                                    withSlots(std::string(400, '9')),
                                    withSlots("4294967304"),
                                    withPort("0"),
                                    withPort("-1"),
                                    withPort("65536"),
                                    withPort("80800000000000000000000"),
                                    withPort(""),
                                    withSlots(R"(8,"born":1e999)"),
                                    withSlots(R"(8,"born":1e30)"),
                                    withSlots(R"(8,"born":18446744073709551616)")}) {
        INFO(text.substr(0, 100));
        CHECK_FALSE(platform::decodeReplica(rowOf(text)).has_value());
    }
}
