#include "serving/running_job.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point now = time_point(100s);

running_job jobWithTwoItems(asio::io_context &context)
{
    return {context,
            {.id = job_id("j")},
            {{.id = "a", .path = "/", .fields = {}, .body = {}}, {.id = "b", .path = "/", .fields = {}, .body = {}}},
            1};
}

/// Sets the progress of an item to event @p last.
void setProgress(item_state &state, std::uint64_t last)
{
    state.progress.emplace(item_progress_options{});
    REQUIRE(state.progress->addEvent({.id = last, .data = "text"}));
}

} // namespace

TEST_CASE("running_job counts the run that is at an upstream towards the run time of its item")
{
    asio::io_context context;
    running_job job = jobWithTwoItems(context);
    item_state &state = *job.find("a");
    setProgress(state, 3);
    state.earlierRunTime = 2s;
    state.sentAt = now - 4s;
    const std::vector<item_checkpoint> checkpoints = job.newCheckpoints(now);
    REQUIRE(checkpoints.size() == 1);
    CHECK(checkpoints.front() == item_checkpoint{.item = "a", .lastEvent = 3, .output = "text", .ranBefore = 6s});
}

TEST_CASE("running_job returns a new checkpoint until it is stored, and none for an item with a result")
{
    asio::io_context context;
    running_job job = jobWithTwoItems(context);
    setProgress(*job.find("a"), 3);
    setProgress(*job.find("b"), 2);
    job.find("b")->hasResult = true;
    CHECK(job.newCheckpoints(now).size() == 1);
    CHECK(job.newCheckpoints(now).size() == 1);
    job.recordCheckpoints(job.newCheckpoints(now));
    CHECK(job.newCheckpoints(now).empty());
    CHECK(job.find("c") == nullptr);
}
