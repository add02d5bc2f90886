#include "serving/waiting_runs.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr int callerCount = 5;
constexpr int greatestCost = 8;

struct known_run
{
    slot_request request;
    bool late = false;
    double cost = 1;
};

known_run anyRun(int id, time_point now)
{
    return {.request = {.id = request_id("r" + std::to_string(id)),
                        .priority = *rc::gen::inRange<std::uint32_t>(0, 3),
                        .target = now + *rc::gen::inRange(0, 300) * 1ms,
                        .caller = *rc::gen::inRange<caller_key>(1, callerCount + 1)},
            .late = *rc::gen::inRange(0, 4) == 0,
            .cost = static_cast<double>(*rc::gen::inRange(1, greatestCost + 1))};
}

std::pair<bool, std::uint32_t> urgencyOf(const known_run &run)
{
    return {run.late, run.request.priority};
}

} // namespace

TEST_CASE("waiting_runs hands out each run once, as long as any waits, and the most urgent first but for the floor")
{
    rc::prop("as a plain list does", [] {
        waiting_runs queue;
        std::map<request_id, known_run> list;
        for (int step = 0; step < 60; ++step) {
            if (*rc::gen::inRange(0, 3) > 0) {
                const known_run added = anyRun(step, time_point(0s));
                list.emplace(added.request.id, added);
                queue.add(added.request, added.late, time_point(10s), added.cost);
                continue;
            }
            const slot_request *const next = queue.next({});
            RC_ASSERT((next == nullptr) == list.empty());
            if (next == nullptr) {
                continue;
            }
            const known_run chosen = list.at(next->id);
            const auto first = std::min_element(list.begin(), list.end(), [](const auto &left, const auto &right) {
                return urgencyOf(left.second) < urgencyOf(right.second);
            });
            const bool isFirst = urgencyOf(chosen) == urgencyOf(first->second);
            RC_ASSERT(isFirst || !chosen.late);
            // Of its caller and urgency, the run with the earliest target.
            for (const auto &[id, other] : list) {
                const bool isSame = other.request.caller == chosen.request.caller && urgencyOf(other) == urgencyOf(chosen);
                RC_ASSERT(!isSame || chosen.request.target <= other.request.target);
            }
            RC_ASSERT(queue.take(chosen.request.id).id == chosen.request.id);
            list.erase(chosen.request.id);
            RC_ASSERT(queue.size() == list.size());
        }
    });
}

TEST_CASE("waiting_runs gives callers that wait all the time the same work, within one largest run")
{
    rc::prop("of any costs", [] {
        waiting_runs queue;
        std::map<request_id, double> costs;
        constexpr int runsOfCaller = 40;
        for (int number = 0; number < callerCount * runsOfCaller; ++number) {
            known_run run = anyRun(number, time_point(0s));
            run.request.priority = 0;
            run.request.caller = static_cast<caller_key>(number % callerCount + 1);
            queue.add(run.request, false, time_point(10s), run.cost);
            costs.emplace(run.request.id, run.cost);
        }
        std::map<caller_key, double> had;
        for (int grant = 0; grant < runsOfCaller; ++grant) { // No caller can run out of runs in so many grants.
            const slot_request next = *queue.next({});
            (void)queue.take(next.id);
            had[next.caller] += costs.at(next.id);
            double least = had[1];
            double most = had[1];
            for (caller_key caller = 2; caller <= callerCount; ++caller) {
                least = std::min(least, had[caller]);
                most = std::max(most, had[caller]);
            }
            RC_ASSERT(most - least <= greatestCost);
        }
    });
}
