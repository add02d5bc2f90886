#include "banyan/core/serving/stream_continuity.h"

#include "banyan/core/serving/replica.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};
const service_name service("s");
constexpr duration storeStart = 1000s;
constexpr stream_key stream = 42;

replica upstream(const std::string &id, const std::string &version)
{
    return {.id = upstream_id(id), .service = service, .softwareVersion = version};
}

slot_request takeUp(stream_key key = stream)
{
    return {.id = request_id("r"), .service = service, .stream = key, .continues = true};
}

/// A node that has read the record of the service's versions.
struct continuity_fixture
{
    stream_continuity continuity;

    explicit continuity_fixture(const std::vector<std::string> &registered, const std::vector<served_version> &recorded)
    {
        std::vector<replica> upstreams;
        upstreams.reserve(registered.size());
        for (const std::string &version : registered) {
            upstreams.push_back(upstream("u" + std::to_string(upstreams.size()), version));
        }
        continuity.versions().setUpstreams(upstreams, storeStart);
        continuity.versions().applyRecord(service, recorded);
        continuity.versions().setLoaded();
    }

    /// The version to which a take-up is bound by what the node remembers; "unknown" if it must not go on.
    [[nodiscard]] std::string boundTo(stream_key key = stream) const
    {
        slot_request run = takeUp(key);
        return continuity.bind(run) ? run.version : "unknown";
    }

    /// The only version that can have begun a stream; "unknown" if that is not proven.
    [[nodiscard]] std::string onlyVersion(std::optional<duration> storeNow = storeStart) const
    {
        const std::optional<stream_origin> only = continuity.onlyOrigin(service, storeNow);
        return only ? only->version : "unknown";
    }

    /// Records that a stream has begun at a version, as the node that granted the slot hears it.
    void begin(const std::string &version)
    {
        continuity.recordBegun(stream, {.service = service, .version = version}, storeStart, start);
    }
};

} // namespace

TEST_CASE("stream_continuity leaves a run that continues nothing, or whose version is known, as it is")
{
    continuity_fixture fixture({"v1", "v2"}, {{.version = "v1"}, {.version = "v2"}});
    slot_request begins = takeUp();
    begins.continues = false;
    CHECK(fixture.continuity.bind(begins));
    CHECK(begins.version.empty());
    slot_request bound = takeUp();
    bound.version = "v2";
    CHECK(fixture.continuity.bind(bound));
    CHECK(bound.version == "v2");
}

TEST_CASE("stream_continuity binds a stream to the version that has begun it")
{
    continuity_fixture fixture({"v1", "v2"}, {{.version = "v1"}, {.version = "v2"}});
    slot_request begins = takeUp();
    begins.continues = false;
    fixture.continuity.recordGrant(begins, "v1", storeStart, start);
    fixture.begin("v1");
    CHECK(fixture.boundTo() == "v1");
    CHECK(fixture.continuity.takeUnstored().size() == 1);
}

TEST_CASE("stream_continuity does not take a grant whose run may have brought nothing for the origin of a stream")
{
    continuity_fixture fixture({"v1", "v2"}, {{.version = "v1"}, {.version = "v2"}});
    slot_request begins = takeUp();
    begins.continues = false;
    // The run of this grant brought nothing, and another node granted the next one at v2.
    fixture.continuity.recordGrant(begins, "v1", storeStart, start);
    CHECK(fixture.boundTo() == "unknown");
    CHECK_FALSE(fixture.continuity.hasUnstored()); // Else another node would take the stored grant for the origin.
}

// Guards against joining a stream of a version that has come since this node last read the upstreams.
TEST_CASE("stream_continuity binds no stream that it does not remember, whatever versions it knows")
{
    const continuity_fixture fixture({"v1", "v1"}, {{.version = "v1"}});
    CHECK(fixture.boundTo() == "unknown");
    CHECK(fixture.onlyVersion() == "v1"); // For whoever has read the upstreams after the stream began.
}

TEST_CASE("stream_continuity remembers what a run that continues a stream was granted, since that has begun it")
{
    continuity_fixture fixture({"v1", "v2"}, {{.version = "v1"}, {.version = "v2"}});
    slot_request bound = takeUp();
    bound.version = "v2";
    fixture.continuity.recordGrant(bound, "v2", storeStart, start);
    CHECK(fixture.boundTo() == "v2");
    CHECK(fixture.continuity.takeUnstored().size() == 1);
    fixture.continuity.recordGrant(bound, "v2", storeStart, start);
    CHECK_FALSE(fixture.continuity.hasUnstored());
}

TEST_CASE("stream_continuity knows no only version while several may have begun a stream")
{
    CHECK(continuity_fixture({"v1", "v2"}, {{.version = "v1"}, {.version = "v2"}}).onlyVersion() == "unknown");
    CHECK(continuity_fixture({"v1"}, {{.version = "v1"}, {.version = "v2"}}).onlyVersion() == "unknown");
    CHECK(continuity_fixture({"v1", "v2"}, {{.version = "v1"}}).onlyVersion() == "unknown");
}

TEST_CASE("stream_continuity stores nothing while only one version can have begun the streams of a service")
{
    continuity_fixture fixture({"v1", "v1"}, {{.version = "v1"}});
    CHECK(fixture.onlyVersion() == "v1");
    CHECK(fixture.onlyVersion(std::nullopt) == "unknown"); // Without the store's clock nothing is proven.
    fixture.begin("v1");
    CHECK(fixture.boundTo() == "v1");
    CHECK_FALSE(fixture.continuity.hasUnstored());
}

TEST_CASE("stream_continuity takes a version whose upstreams have left into account for as long as its streams are taken up")
{
    const std::vector<served_version> recorded{{.version = "v1", .endedAt = storeStart - 59s}, {.version = "v2"}};
    CHECK(continuity_fixture({"v2"}, recorded).onlyVersion() == "unknown");
    CHECK(continuity_fixture({"v2"}, recorded).onlyVersion(storeStart + 2s) == "v2");
}

TEST_CASE("stream_continuity proves nothing without a record, and nothing of upstreams that do not say their version")
{
    CHECK(continuity_fixture({"v1"}, {}).onlyVersion() == "unknown");
    CHECK(continuity_fixture({""}, {{.version = ""}}).onlyVersion() == "unknown");
    CHECK(continuity_fixture({"v1", ""}, {{.version = ""}, {.version = "v1"}}).onlyVersion() == "unknown");
}

TEST_CASE("stream_continuity forgets a stream after its retention")
{
    continuity_fixture fixture({"v1", "v2"}, {{.version = "v1"}, {.version = "v2"}});
    fixture.continuity.recordOrigin(stream, {.service = service, .version = "v1"}, start);
    fixture.continuity.expire(start + 60s);
    CHECK(fixture.boundTo() == "v1");
    fixture.continuity.expire(start + 61s);
    CHECK(fixture.boundTo() == "unknown");
    CHECK(fixture.continuity.knownStreams() == 0);
}

TEST_CASE("stream_origins forgets the oldest streams first when there are too many")
{
    stream_origins origins({.maximumStreams = 2});
    for (stream_key key = 1; key <= 3; ++key) {
        origins.recordBegun(key, {.service = service, .version = "v1"}, start + key * 1ms);
    }
    CHECK_FALSE(origins.find(1));
    CHECK(origins.find(2));
    CHECK(origins.find(3));
}

TEST_CASE("version_history neither proves nor records anything before it knows both the upstreams and the records")
{
    version_history withoutUpstreams;
    withoutUpstreams.applyRecord(service, {{.version = "v1"}});
    withoutUpstreams.setLoaded();
    CHECK_FALSE(withoutUpstreams.onlyVersion(service, storeStart));
    CHECK_FALSE(withoutUpstreams.dueRecord(service, storeStart));
    version_history withoutRecords;
    withoutRecords.setUpstreams(std::vector{upstream("a", "v1")}, storeStart);
    withoutRecords.applyRecord(service, {{.version = "v1"}});
    CHECK_FALSE(withoutRecords.onlyVersion(service, storeStart));
    CHECK_FALSE(withoutRecords.dueRecord(service, storeStart));
}

TEST_CASE("version_history has a version recorded when it comes, when it leaves, and when its streams have ended")
{
    version_history history;
    history.setLoaded();
    history.setUpstreams(std::vector{upstream("a", "v1")}, storeStart);
    std::optional<std::vector<served_version>> due = history.dueRecord(service, storeStart);
    REQUIRE(due == std::vector<served_version>{{.version = "v1"}});
    history.applyRecord(service, *due);
    CHECK_FALSE(history.dueRecord(service, storeStart + 1s));
    history.setUpstreams(std::vector{upstream("a", "v1"), upstream("b", "v2")}, storeStart + 2s);
    due = history.dueRecord(service, storeStart + 2s);
    REQUIRE(due == std::vector<served_version>{{.version = "v1"}, {.version = "v2"}});
    history.applyRecord(service, *due);
    history.setUpstreams(std::vector{upstream("b", "v2")}, storeStart + 3s);
    due = history.dueRecord(service, storeStart + 4s);
    REQUIRE(due == std::vector<served_version>{{.version = "v1", .endedAt = storeStart + 4s}, {.version = "v2"}});
    history.applyRecord(service, *due);
    CHECK_FALSE(history.dueRecord(service, storeStart + 5s));
    CHECK(history.dueRecord(service, storeStart + 65s) == std::vector<served_version>{{.version = "v2"}});
}
