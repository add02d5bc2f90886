#include "banyan/core/serving/waiting_quota.h"

#include "banyan/core/serving/job_directory.h"
#include "banyan/core/serving/job_entry.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

quota_reservation holding(const std::string &job, std::uint64_t tokens)
{
    return {.job = job_id(job), .tokens = tokens, .reservedAt = 1h, .claim = 1};
}

job_entry entryOf(const std::string &job, std::uint64_t tokensLeft, row_version version = 1)
{
    return {.id = job_id(job), .route = "r", .total = 2, .tokensLeft = tokensLeft, .version = version};
}

/// A quota of 100 tokens and what is recorded of its jobs.
struct quota_fixture
{
    waiting_quota quota{{.route = "r"}};
    job_directory jobs{{.self = node_id("n")}};
    std::vector<quota_reservation> stored;
    std::uint64_t limit = 100;
    bool jobsCurrent = true;

    waiting_quota::decision decide(const std::vector<quota_reservation> &wanted, duration storeTime = 1h)
    {
        return quota.decide({.limit = limit, .reservations = stored, .storeTime = storeTime, .jobs = jobs, .jobsCurrent = jobsCurrent},
                            wanted);
    }
};

} // namespace

TEST_CASE("waiting_quota takes jobs up to the limit and leaves room for smaller ones behind a job that does not fit")
{
    quota_fixture fixture;
    const auto decision = fixture.decide({holding("a", 60), holding("b", 50), holding("c", 40)});
    CHECK(decision.fits == std::vector<bool>{true, false, true});
    CHECK(decision.waiting == 100);
    CHECK(decision.reservations.size() == 2);
}

TEST_CASE("waiting_quota counts a job from its holding on, before its row is known")
{
    quota_fixture fixture;
    fixture.stored = {holding("a", 60)};
    CHECK(fixture.decide({holding("b", 50)}).fits == std::vector<bool>{false});
}

TEST_CASE("waiting_quota counts recorded jobs without a holding, as when the quota is new")
{
    quota_fixture fixture;
    fixture.jobs.update(entryOf("a", 60));
    CHECK(fixture.decide({holding("b", 50)}).fits == std::vector<bool>{false});
    CHECK(fixture.decide({holding("b", 40)}).fits == std::vector<bool>{true});
}

TEST_CASE("waiting_quota gives the tokens of finished items and ended jobs back")
{
    quota_fixture fixture;
    fixture.stored = {holding("a", 60), holding("b", 40)};
    fixture.jobs.update(entryOf("a", 60));
    fixture.jobs.update(entryOf("b", 40));
    REQUIRE(fixture.decide({holding("c", 30)}).fits == std::vector<bool>{false});

    fixture.jobs.update(entryOf("a", 30, 2));
    CHECK(fixture.decide({holding("c", 30)}).fits == std::vector<bool>{true});

    job_entry ended = entryOf("b", 40, 3);
    ended.ended = true;
    fixture.jobs.update(ended);
    const auto decision = fixture.decide({holding("c", 70)});
    CHECK(decision.fits == std::vector<bool>{true});
    CHECK(decision.reservations.size() == 2);
}

TEST_CASE("waiting_quota counts a job once that is sent again, and its latest submission holds the tokens")
{
    quota_fixture fixture;
    fixture.stored = {holding("a", 60)};
    quota_reservation again = holding("a", 60);
    again.claim = 2;
    const auto decision = fixture.decide({again});
    CHECK(decision.fits == std::vector<bool>{true});
    CHECK(decision.waiting == 60);
    CHECK(decision.reservations == std::vector<quota_reservation>{again});
}

TEST_CASE("waiting_quota takes nothing while a lowered limit is exceeded")
{
    quota_fixture fixture;
    fixture.stored = {holding("a", 60)};
    fixture.limit = 20;
    CHECK(fixture.decide({holding("b", 1)}).fits == std::vector<bool>{false});
}

TEST_CASE("waiting_quota drops a holding whose job is never recorded, but not while the list of jobs is behind")
{
    quota_fixture fixture;
    fixture.stored = {holding("a", 60)};
    CHECK(fixture.decide({holding("b", 50)}, 1h + 9s).fits == std::vector<bool>{false});
    CHECK(fixture.decide({holding("b", 50)}, 1h + 10s).fits == std::vector<bool>{true});
    fixture.jobsCurrent = false;
    CHECK(fixture.decide({holding("b", 50)}, 1h + 10s).fits == std::vector<bool>{false});
}

TEST_CASE("waiting_quota keeps its holdings within a row and counts the jobs of the others by their rows")
{
    quota_fixture fixture;
    fixture.quota = waiting_quota({.route = "r", .maximumReservations = 2});
    fixture.stored = {holding("a", 40), holding("b", 30)};
    fixture.jobs.update(entryOf("a", 40));
    const auto decision = fixture.decide({holding("c", 30)});
    CHECK(decision.fits == std::vector<bool>{true});
    REQUIRE(decision.reservations.size() == 2);
    CHECK(decision.reservations.front().job == job_id("b"));
    CHECK(decision.waiting == 100);
}

TEST_CASE("waiting_quota asks refused clients to come back when enough has finished at the present rate")
{
    waiting_quota quota{{.route = "r", .rateWindow = 5s}};
    std::mt19937_64 generator(1);
    quota.recordFinished(50, start);
    const duration after = quota.retryAfter(100, 100, 20, start + 1s, generator); // 10 tokens a second.
    CHECK(after >= 2s);
    CHECK(after <= 2500ms);
}
