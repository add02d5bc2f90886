#include "banyan/core/serving/retry_policy.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};
const time_point deadline = start + 5s;

route routeOf(request_kind kind, bool resumable, std::uint32_t attempts)
{
    return {.kind = kind, .resumable = resumable, .target = 300ms, .gapTarget = 400ms, .maximumAttempts = attempts};
}

} // namespace

TEST_CASE("retry_policy never repeats a request that is not repeatable and may have run")
{
    for (const request_kind kind : {request_kind::AtMostOnce, request_kind::Stream}) {
        for (const attempt_outcome outcome :
             {attempt_outcome::Failed, attempt_outcome::Lost, attempt_outcome::TimedOut, attempt_outcome::Cancelled}) {
            retry_policy policy(routeOf(kind, false, 5), deadline);
            CHECK(policy.recordAttemptEnd(outcome, start) == next_step::Unknown);
        }
    }
}

TEST_CASE("retry_policy retries attempts that certainly did not run, and ends a request as not run only if no attempt may have run")
{
    retry_policy policy(routeOf(request_kind::AtMostOnce, false, 1), deadline);
    CHECK(policy.recordAttemptEnd(attempt_outcome::NotSent, start) == next_step::TryAgain);
    CHECK(policy.recordAttemptEnd(attempt_outcome::Refused, start) == next_step::TryAgain);
    CHECK(policy.recordAttemptEnd(attempt_outcome::Refused, start) == next_step::TryAgain);
    CHECK(policy.recordAttemptEnd(attempt_outcome::Refused, start) == next_step::NotRun);
    CHECK_FALSE(policy.mayHaveRun());
}

TEST_CASE("retry_policy observes the route's limit of upstreams that may run a request")
{
    retry_policy policy(routeOf(request_kind::Idempotent, false, 2), deadline);
    CHECK(policy.recordAttemptEnd(attempt_outcome::Lost, start) == next_step::TryAgain);
    CHECK(policy.recordAttemptEnd(attempt_outcome::Lost, start) == next_step::Unknown);
}

TEST_CASE("retry_policy begins no attempt shortly before the deadline")
{
    retry_policy policy(routeOf(request_kind::Idempotent, false, 3), deadline);
    CHECK(policy.recordAttemptEnd(attempt_outcome::NotSent, deadline - 10ms) == next_step::NotRun);
}

TEST_CASE("retry_policy limits the wait for a slow upstream only if another attempt could follow")
{
    retry_policy twice(routeOf(request_kind::Stream, true, 2), deadline);
    CHECK(twice.firstByteTimeout(200ms, start) == 200ms);
    CHECK(twice.nextByteTimeout(start) == 300ms);
    CHECK(twice.recordAttemptEnd(attempt_outcome::TimedOut, start + 200ms) == next_step::TryAgain);
    CHECK(twice.firstByteTimeout(200ms, start + 200ms) == deadline - start - 200ms);
    const retry_policy once(routeOf(request_kind::Stream, false, 2), deadline);
    CHECK(once.firstByteTimeout(200ms, start) == deadline - start);
}
