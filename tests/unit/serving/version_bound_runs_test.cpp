#include "banyan/core/serving/request_scheduler.h"

#include "banyan/core/serving/load_board.h"

#include <catch2/catch.hpp>

#include <set>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

/// A scheduler with one upstream of one slot for each version.
struct version_fixture
{
    load_board board{1500ms};
    request_scheduler scheduler{{.self = node_id("n1")}, board};
    std::vector<replica> upstreams;
    int lastId = 0;

    explicit version_fixture(const std::vector<std::string> &versions)
    {
        for (const std::string &version : versions) {
            upstreams.push_back({.id = upstream_id("of-" + version), .service = service_name("s"), .softwareVersion = version});
        }
        (void)scheduler.setUpstreams(upstreams, start);
    }

    slot_request run(const std::string &version, work_class workClass = work_class::Online)
    {
        return {.id = request_id("r" + std::to_string(++lastId)),
                .service = service_name("s"),
                .workClass = workClass,
                .arrivedAt = start,
                .target = start + 300ms,
                .deadline = start + 5s,
                .continues = !version.empty(),
                .version = version};
    }

    /// The upstream at which a run starts, or the reason for which it is rejected; empty if it waits.
    std::string submit(const slot_request &request)
    {
        for (const slot_action &action : scheduler.submit(request, start)) {
            if (const auto *const granted = std::get_if<slot_granted>(&action); granted != nullptr && granted->request == request.id) {
                CHECK(granted->upstream.text() == "of-" + granted->version);
                return granted->upstream.text();
            }
            if (const auto *const rejected = std::get_if<slot_rejected>(&action); rejected != nullptr && rejected->request == request.id) {
                CHECK(rejected->retryAfter == duration(0));
                return std::string(toString(rejected->reason));
            }
        }
        return "";
    }
};

} // namespace

TEST_CASE("request_scheduler starts a run that is bound to a version only there, and lets it wait if that is full")
{
    version_fixture fixture({"v1", "v2", "v3"});
    CHECK(fixture.submit(fixture.run("v2")) == "of-v2");
    slot_request second = fixture.run("v2");
    second.sentBefore = true;
    CHECK(fixture.submit(second).empty());
    // Runs without a version find the other upstreams, although a run waits before them.
    CHECK_FALSE(fixture.submit(fixture.run("")).empty());
    CHECK_FALSE(fixture.submit(fixture.run("")).empty());
}

TEST_CASE("request_scheduler rejects a run at once if no upstream of its version is left")
{
    version_fixture fixture({"v1", "v2"});
    CHECK(fixture.submit(fixture.run("v3")) == "version_gone");
    CHECK(fixture.submit(fixture.run("v3", work_class::Batch)) == "version_gone");
}

TEST_CASE("request_scheduler starts other batch runs while the first one waits for an upstream of its version")
{
    version_fixture fixture({"v1", "v2", "v3"});
    slot_request bound = fixture.run("v1", work_class::Batch);
    CHECK(fixture.submit(bound) == "of-v1");
    slot_request waiting = fixture.run("v1", work_class::Batch);
    waiting.target = start + 1ms; // Before all others.
    CHECK(fixture.submit(waiting).empty());
    CHECK_FALSE(fixture.submit(fixture.run("", work_class::Batch)).empty());
}

TEST_CASE("request_scheduler does not keep unbound runs waiting behind a bound one")
{
    version_fixture fixture({"v1", "v2"});
    CHECK(fixture.submit(fixture.run("v1")) == "of-v1");
    slot_request waiting = fixture.run("v1");
    waiting.sentBefore = true;
    waiting.target = start + 100ms;
    CHECK(fixture.submit(waiting).empty());
    CHECK(fixture.submit(fixture.run("")) == "of-v2");
}
