#include "serving/work_estimator.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr int manyRuns = 200;
const expected_work prior{.firstByteSeconds = 0.08, .runSeconds = 0.8};

slot_request requestOf(std::uint32_t promptTokens, std::uint32_t outputTokens, caller_key caller = 0)
{
    return {.caller = caller, .size = {.promptTokens = promptTokens, .maximumOutputTokens = outputTokens}};
}

void recordRuns(work_estimator &work, const slot_request &request, double seconds)
{
    for (int run = 0; run < manyRuns; ++run) {
        work.recordRun(request, seconds);
    }
}

} // namespace

TEST_CASE("work_estimator expects its prior before it has measured a run")
{
    const work_estimator work(prior);
    CHECK(work.expected(requestOf(500, 100), false) == prior);
}

TEST_CASE("work_estimator learns the work of each size class")
{
    work_estimator work(prior);
    recordRuns(work, requestOf(500, 100), 0.4);
    recordRuns(work, requestOf(500, 1000), 4);
    CHECK(work.expected(requestOf(500, 100), false).runSeconds == Approx(0.4).epsilon(0.1));
    CHECK(work.expected(requestOf(500, 1000), false).runSeconds == Approx(4).epsilon(0.1));
}

TEST_CASE("work_estimator bounds the influence of a stated size that it has not seen")
{
    work_estimator work(prior);
    recordRuns(work, requestOf(500, 100), 0.4);
    CHECK(work.expected(requestOf(1'000'000, 1'000'000), false).runSeconds <= 4 * 0.41);
    CHECK(work.expected(requestOf(1, 1), false).runSeconds >= 0.39 / 4);
}

TEST_CASE("work_estimator corrects the sizes of a caller whose runs are shorter than stated")
{
    work_estimator work(prior);
    const slot_request honest = requestOf(500, 1000, 1);
    const slot_request overstated = requestOf(500, 1000, 2);
    for (int run = 0; run < manyRuns; ++run) {
        work.recordRun(honest, 4);
        work.recordRun(honest, 4);
        work.recordRun(honest, 4);
        work.recordRun(overstated, 1);
    }
    CHECK(work.expected(overstated, false).runSeconds < work.expected(honest, false).runSeconds / 2);
}

TEST_CASE("work_estimator forgets what no longer holds")
{
    work_estimator work(prior);
    recordRuns(work, requestOf(500, 100), 4);
    recordRuns(work, requestOf(500, 100), 0.4);
    CHECK(work.expected(requestOf(500, 100), false).runSeconds == Approx(0.4).epsilon(0.25));
}

TEST_CASE("work_estimator expects the rest of an item that continues, but always some of it")
{
    work_estimator work(prior);
    slot_request item = requestOf(500, 1000);
    recordRuns(work, item, 4);
    item.earlierRunTime = 3s;
    CHECK(work.expected(item, false).runSeconds == Approx(1).epsilon(0.2));
    item.earlierRunTime = 60s;
    CHECK(work.expected(item, false).runSeconds > 0.3);
}

TEST_CASE("work_estimator learns what a kept prefix saves")
{
    work_estimator work(prior);
    const slot_request request = requestOf(4000, 100);
    for (int run = 0; run < manyRuns; ++run) {
        work.recordFirstByte(request, false, 0.2);
        work.recordFirstByte(request, true, 0.05);
    }
    CHECK(work.expected(request, false).firstByteSeconds == Approx(0.2).epsilon(0.05));
    CHECK(work.expected(request, true).firstByteSeconds == Approx(0.05).epsilon(0.2));
}
