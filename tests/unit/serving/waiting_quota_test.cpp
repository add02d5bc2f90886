#include "banyan/core/serving/waiting_quota.h"

#include "banyan/core/serving/job_directory.h"
#include "banyan/core/serving/job_entry.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

quota_reservation reservationOf(const std::string &job, std::uint64_t tokens)
{
    return {.job = job_id(job), .tokens = tokens, .reservedAt = 1h, .claim = 1};
}

job_entry entryOf(const std::string &job, std::uint64_t tokensLeft, row_version version = 1)
{
    return {.id = job_id(job), .route = "r", .total = 2, .tokensLeft = tokensLeft, .version = version};
}

/// A quota of 100 tokens with its stored reservations and recorded jobs.
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

TEST_CASE("waiting_quota accepts jobs up to the limit, and smaller ones after a job that does not fit")
{
    quota_fixture fixture;
    const auto decision = fixture.decide({reservationOf("a", 60), reservationOf("b", 50), reservationOf("c", 40)});
    CHECK(decision.fits == std::vector<bool>{true, false, true});
    CHECK(decision.waiting == 100);
    CHECK(decision.reservations.size() == 2);
}

TEST_CASE("waiting_quota counts a job from its reservation on, before its row is observed")
{
    quota_fixture fixture;
    fixture.stored = {reservationOf("a", 60)};
    CHECK(fixture.decide({reservationOf("b", 50)}).fits == std::vector<bool>{false});
}

TEST_CASE("waiting_quota counts recorded jobs without a reservation, as when the quota is new")
{
    quota_fixture fixture;
    fixture.jobs.update(entryOf("a", 60));
    CHECK(fixture.decide({reservationOf("b", 50)}).fits == std::vector<bool>{false});
    CHECK(fixture.decide({reservationOf("b", 40)}).fits == std::vector<bool>{true});
}

TEST_CASE("waiting_quota releases the tokens of finished items and ended jobs")
{
    quota_fixture fixture;
    fixture.stored = {reservationOf("a", 60), reservationOf("b", 40)};
    fixture.jobs.update(entryOf("a", 60));
    fixture.jobs.update(entryOf("b", 40));
    REQUIRE(fixture.decide({reservationOf("c", 30)}).fits == std::vector<bool>{false});

    fixture.jobs.update(entryOf("a", 30, 2));
    CHECK(fixture.decide({reservationOf("c", 30)}).fits == std::vector<bool>{true});

    job_entry ended = entryOf("b", 40, 3);
    ended.ended = true;
    fixture.jobs.update(ended);
    const auto decision = fixture.decide({reservationOf("c", 70)});
    CHECK(decision.fits == std::vector<bool>{true});
    CHECK(decision.reservations.size() == 2);
}

TEST_CASE("waiting_quota counts a job that is submitted again once, and assigns its reservation to the latest submission")
{
    quota_fixture fixture;
    fixture.stored = {reservationOf("a", 60)};
    quota_reservation again = reservationOf("a", 60);
    again.claim = 2;
    const auto decision = fixture.decide({again});
    CHECK(decision.fits == std::vector<bool>{true});
    CHECK(decision.waiting == 60);
    CHECK(decision.reservations == std::vector<quota_reservation>{again});
}

TEST_CASE("waiting_quota accepts nothing while a lowered limit is exceeded")
{
    quota_fixture fixture;
    fixture.stored = {reservationOf("a", 60)};
    fixture.limit = 20;
    CHECK(fixture.decide({reservationOf("b", 1)}).fits == std::vector<bool>{false});
}

TEST_CASE("waiting_quota drops a reservation whose job is never recorded, but not while the list of jobs is not current")
{
    quota_fixture fixture;
    fixture.stored = {reservationOf("a", 60)};
    CHECK(fixture.decide({reservationOf("b", 50)}, 1h + 9s).fits == std::vector<bool>{false});
    CHECK(fixture.decide({reservationOf("b", 50)}, 1h + 10s).fits == std::vector<bool>{true});
    fixture.jobsCurrent = false;
    CHECK(fixture.decide({reservationOf("b", 50)}, 1h + 10s).fits == std::vector<bool>{false});
}

TEST_CASE("waiting_quota limits the reservations to one row and counts the jobs without one by their own rows")
{
    quota_fixture fixture;
    fixture.quota = waiting_quota({.route = "r", .maximumReservations = 2});
    fixture.stored = {reservationOf("a", 40), reservationOf("b", 30)};
    fixture.jobs.update(entryOf("a", 40));
    const auto decision = fixture.decide({reservationOf("c", 30)});
    CHECK(decision.fits == std::vector<bool>{true});
    REQUIRE(decision.reservations.size() == 2);
    CHECK(decision.reservations.front().job == job_id("b"));
    CHECK(decision.waiting == 100);
}

TEST_CASE("waiting_quota lets rejected clients retry when enough tokens have finished at the current rate")
{
    waiting_quota quota{{.route = "r", .rateWindow = 5s}};
    std::mt19937_64 generator(1);
    quota.recordFinished(50, start);
    const duration after = quota.retryAfter(100, 100, 20, start + 1s, generator); // The rate is 10 tokens a second.
    CHECK(after >= 2s);
    CHECK(after <= 2500ms);
}
