#include "job_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace banyan;
using namespace banyan::test;

namespace {

job_coordinator_options smallOptions()
{
    return {.itemsInFlight = 5,
            .itemsWaiting = 4,
            .nonRepeatableItems = 3,
            .resultsPerCommit = 4,
            .bytesPerCommit = 60,
            .bufferedBytes = 200,
            .bufferedResults = 10,
            .commitInterval = std::chrono::seconds(2),
            .triesBeforeRequeue = 2,
            .lostRunReserve = 1000};
}

item_script randomScript(bool plain)
{
    item_script script;
    script.error = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
    if (plain) {
        return script;
    }
    script.notRun = *rc::gen::weightedElement<std::uint32_t>({{6, 0}, {1, 1}, {1, 5}});
    script.lost = *rc::gen::weightedElement<std::uint32_t>({{6, 0}, {1, 1}, {1, 2}});
    script.repeatable = *rc::gen::weightedElement<bool>({{4, true}, {1, false}});
    return script;
}

job_simulation::options randomJob()
{
    job_simulation::options job;
    job.itemsPerPart = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 9));
    std::uint32_t total = 0;
    for (const std::uint32_t items : job.itemsPerPart) {
        total += items;
    }
    for (std::uint32_t item = 0; item < total; ++item) {
        job.scripts.push_back(randomScript(false));
    }
    constexpr std::size_t maximumChoices = 1500;
    const auto count = *rc::gen::inRange<std::size_t>(0, maximumChoices);
    job.choices = *rc::gen::container<std::vector<std::uint32_t>>(count, rc::gen::inRange<std::uint32_t>(0, 5040));
    job.coordinator = smallOptions();
    return job;
}

void runOrFail(job_simulation &simulation)
{
    try {
        simulation.run();
    } catch (const property_violation &problem) {
        RC_FAIL(problem.what());
    }
}

} // namespace

TEST_CASE("job_coordinator gives each item exactly its expected result despite lost commits, pauses, crashes and takeovers")
{
    rc::prop("each item has its expected result", [] {
        job_simulation simulation(randomJob());
        runOrFail(simulation);
        if (simulation.row().status != job_state::Completed) {
            RC_FAIL("expected the job to be completed, found " + simulation.row().toJson());
        }
        RC_ASSERT(simulation.row().started.size() == 0U);
        RC_TAG(simulation.takeovers());
    });
}

TEST_CASE("job_coordinator ends a cancelled job, starts no item after it observed the cancel, and keeps committed results")
{
    rc::prop("a cancelled job ends", [] {
        job_simulation::options job = randomJob();
        job.cancels = true;
        job_simulation simulation(job);
        runOrFail(simulation);
        RC_ASSERT(simulation.startsAfterCancel() == 0U);
        RC_CLASSIFY(simulation.row().status == job_state::Cancelled);
    });
}

TEST_CASE("job_coordinator ends a job at its deadline with an error for each item without an answer")
{
    rc::prop("the job ends at its deadline", [] {
        job_simulation::options job = randomJob();
        job.window = std::chrono::milliseconds(*rc::gen::inRange(1, 5000));
        for (item_script &script : job.scripts) {
            script.endsOnlyOnCancel = *rc::gen::weightedElement<bool>({{9, false}, {1, true}});
        }
        job_simulation simulation(job);
        runOrFail(simulation);
        const job_record &row = simulation.row();
        RC_ASSERT(row.completed + row.failed == row.total());
        RC_CLASSIFY(row.status == job_state::Expired);
    });
}
