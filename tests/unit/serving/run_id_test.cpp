#include "banyan/core/serving/run_id.h"

#include <catch2/catch.hpp>

using namespace banyan;

TEST_CASE("runId makes ids that differ by run and contain the id of the request")
{
    const request_id first = runId("r#1", 7, 1);
    CHECK(first != runId("r#1", 7, 2));
    CHECK(first != runId("r#1", 8, 1));
    CHECK(requestOf(first) == request_id("r#1"));
    CHECK(requestOf(request_id("no run")) == request_id("no run"));
}

TEST_CASE("originOfRun is the same for all runs of a job at a node, and differs between jobs and between nodes")
{
    const node_id node("n1");
    const std::uint64_t origin = originOfRun(node, runId("job/item.1", 7, 1));
    CHECK(origin != 0);
    CHECK(origin == originOfRun(node, runId("job/item.2", 7, 12)));
    CHECK(origin != originOfRun(node, runId("job/item.1", 8, 1)));
    CHECK(origin != originOfRun(node_id("n2"), runId("job/item.1", 7, 1)));
}
