#include "request_queue.h"

#include <catch2/catch.hpp>

#include <map>

using namespace banyan;

namespace {

waiting_request waiting(const std::string &id, const std::string &caller, int orderSeconds = 0, double cost = 1)
{
    return {.id = request_id(id), .caller = caller_id(caller), .cost = cost, .order = time_point() + std::chrono::seconds(orderSeconds)};
}

/// Takes the next @p count requests and counts them by caller.
std::map<std::string, int> serve(request_queue &queue, int count)
{
    std::map<std::string, int> served;
    for (int i = 0; i < count; ++i) {
        const auto next = queue.next({});
        REQUIRE(next.has_value());
        ++served[next->caller.text()];
        queue.take(next->id);
    }
    return served;
}

} // namespace

TEST_CASE("request_queue shares evenly between a caller with many requests and one with few")
{
    request_queue queue(0);
    for (int i = 0; i < 100; ++i) {
        queue.push(waiting("many" + std::to_string(i), "many", i));
    }
    for (int i = 0; i < 10; ++i) {
        queue.push(waiting("few" + std::to_string(i), "few", 100 + i));
    }
    CHECK(serve(queue, 20) == std::map<std::string, int>{{"few", 10}, {"many", 10}});
}

TEST_CASE("request_queue shares by cost and not by count")
{
    request_queue queue(0);
    for (int i = 0; i < 100; ++i) {
        queue.push(waiting("large" + std::to_string(i), "large", i, 30));
        queue.push(waiting("small" + std::to_string(i), "small", i, 10));
    }
    const auto served = serve(queue, 40);
    CHECK(served.at("small") == 30);
}

TEST_CASE("request_queue lets an earlier order override fair sharing by no more than the allowance")
{
    request_queue queue(5);
    for (int i = 0; i < 100; ++i) {
        queue.push(waiting("near" + std::to_string(i), "near", i));
        queue.push(waiting("far" + std::to_string(i), "far", 1000 + i));
    }
    const auto served = serve(queue, 40);
    CHECK(served.at("near") - served.at("far") == 6);
}

TEST_CASE("request_queue skips blocked lanes")
{
    request_queue queue(0);
    waiting_request blocked = waiting("long", "a", 0);
    blocked.lane = work_lane::Long;
    queue.push(blocked);
    queue.push(waiting("short", "a", 1));
    lane_set lanes;
    lanes.insert(work_lane::Long);
    CHECK(queue.next(lanes)->id == request_id("short"));
}

TEST_CASE("request_queue puts promoted requests first")
{
    request_queue queue(0);
    queue.push(waiting("first", "a", 0));
    waiting_request promoted = waiting("promoted", "b", 9);
    promoted.promoted = true;
    queue.push(promoted);
    CHECK(queue.next({})->id == request_id("promoted"));
}
