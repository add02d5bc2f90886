#include "serving/waiting_runs.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

slot_request run(const std::string &id, duration target, std::uint32_t priority = 0)
{
    return {.id = request_id(id), .priority = priority, .target = start + target};
}

std::string orderOf(const waiting_runs &runs)
{
    std::string result;
    for (const auto &[key, request] : runs.inOrder()) {
        result += request.id.text();
    }
    return result;
}

} // namespace

TEST_CASE("waiting_runs orders by lateness, then by priority, then by target")
{
    waiting_runs runs;
    runs.add(run("d", 100ms), true, start + 1s);
    runs.add(run("c", 50ms, 2), false, start + 1s);
    runs.add(run("b", 300ms), false, start + 1s);
    runs.add(run("a", 200ms), false, start + 1s);
    CHECK(orderOf(runs) == "abcd");
    CHECK(runs.onTimeCount() == 3);
    CHECK(runs.remove(request_id("b")).has_value());
    CHECK_FALSE(runs.remove(request_id("b")).has_value());
    CHECK(orderOf(runs) == "acd");
}

TEST_CASE("waiting_runs returns a run as expired at its expiry time and not before")
{
    waiting_runs runs;
    runs.add(run("a", 200ms), false, start + 150ms);
    runs.add(run("b", 100ms), true, start + 50ms);
    CHECK(runs.nextExpiry() == start + 50ms);
    CHECK_FALSE(runs.takeExpired(start + 49ms).has_value());
    CHECK(runs.takeExpired(start + 50ms)->id == request_id("b"));
    CHECK(runs.onTimeCount() == 1);
    CHECK_FALSE(runs.takeExpired(start + 50ms).has_value());
    CHECK(runs.nextExpiry() == start + 150ms);
}
