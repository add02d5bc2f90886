#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/request_scheduler.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <string>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t upstreamCount = 6;
constexpr std::uint32_t slotsPerUpstream = 2;
constexpr duration step = 50ms;
constexpr duration relearnTime = 6s; ///< In which an idle upstream gets a run while there are runs.

/// A scheduler that places by cost, and what its host knows of the runs.
struct placement_model
{
    load_board board{1500ms};
    request_scheduler scheduler{{.self = node_id("n"), .placement = placement_policy::ExpectedCost}, board};
    std::map<upstream_id, replica> upstreams;
    std::map<upstream_id, double> factors;
    std::map<upstream_id, allowed_rate> rates;
    std::map<upstream_id, time_point> lastGrant;
    std::map<request_id, slot_request> waiting;
    std::map<request_id, upstream_id> running;
    std::map<request_id, time_point> ends;
    std::string log; ///< Of all actions, to compare two schedulers.
    time_point now = time_point(100s);
    int lastId = 0;

    placement_model()
    {
        for (std::size_t index = 0; index < upstreamCount; ++index) {
            const upstream_id id("u" + std::to_string(index));
            upstreams[id] = {
                .id = id, .service = service_name("s"), .softwareVersion = index % 2 == 0 ? "v1" : "v2", .slots = slotsPerUpstream};
            factors[id] = index < 2 ? 0.6 : (index < 4 ? 1 : 1.6);
            lastGrant[id] = now;
        }
        update();
    }

    void update()
    {
        std::vector<replica> list;
        for (const auto &[id, info] : upstreams) {
            list.push_back(info);
        }
        perform(scheduler.setUpstreams(list, now));
    }

    void submit(work_class workClass, const std::string &version, std::vector<upstream_id> excluded)
    {
        const slot_request request{.id = request_id("r" + std::to_string(++lastId)),
                                   .service = service_name("s"),
                                   .workClass = workClass,
                                   .arrivedAt = now,
                                   .target = now + 300ms,
                                   .deadline = now + 5s,
                                   .repeatable = true,
                                   .version = version,
                                   .excluded = std::move(excluded)};
        waiting.emplace(request.id, request);
        perform(scheduler.submit(request, now));
    }

    /// Whether a run may go to an upstream, apart from its slots.
    [[nodiscard]] bool allows(const slot_request &request, const replica &upstream) const
    {
        return !upstream.draining && upstream.hasVersion(request.version);
    }

    void checkGrant(const slot_request &request, const upstream_id &to)
    {
        RC_ASSERT(allows(request, upstreams.at(to)));
        RC_ASSERT(!rates.contains(to)); // All rates are zero.
        const auto isExcluded = [&](const upstream_id &id) {
            return std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
        };
        if (isExcluded(to)) {
            for (const auto &[id, info] : upstreams) {
                RC_ASSERT(isExcluded(id) || !allows(request, info));
            }
        }
        const auto held = std::count_if(running.begin(), running.end(), [&](const auto &run) {
            return run.second == to;
        });
        RC_ASSERT(held < slotsPerUpstream);
    }

    void perform(const slot_actions &actions)
    {
        // A reclaimed run frees its slot for the run that is granted before it in the same list.
        for (const slot_action &action : actions) {
            if (const auto *const reclaimed = std::get_if<slot_reclaimed>(&action)) {
                running.erase(reclaimed->request);
                log += "reclaimed " + reclaimed->request.text() + "\n";
            }
        }
        for (const slot_action &action : actions) {
            if (const auto *const granted = std::get_if<slot_granted>(&action)) {
                checkGrant(waiting.at(granted->request), granted->upstream);
                waiting.erase(granted->request);
                running[granted->request] = granted->upstream;
                ends[granted->request] = now + duration(static_cast<duration::rep>(300'000 * factors.at(granted->upstream)));
                lastGrant[granted->upstream] = now;
                log += granted->request.text() + " at " + granted->upstream.text() + "\n";
            } else if (const auto *const rejected = std::get_if<slot_rejected>(&action)) {
                waiting.erase(rejected->request);
                log += rejected->request.text() + " rejected\n";
            }
        }
    }

    void advance()
    {
        now += step;
        perform(scheduler.tick(now));
        std::vector<request_id> ended;
        for (const auto &[id, end] : ends) {
            if (end <= now) {
                ended.push_back(id);
            }
        }
        for (const request_id &id : ended) {
            const auto run = running.find(id);
            const bool succeeded = run != running.end();
            if (succeeded) {
                scheduler.firstByteAfter(id, duration(static_cast<duration::rep>(30'000 * factors.at(run->second))), now);
                running.erase(run);
            }
            ends.erase(id);
            perform(scheduler.released(id, {.outcome = succeeded ? attempt_outcome::Succeeded : attempt_outcome::Cancelled}, now));
        }
    }

    /// A step that depends on @p number alone.
    void take(std::uint32_t number)
    {
        const upstream_id any("u" + std::to_string(number / 8 % upstreamCount));
        const std::string version = number / 64 % 3 == 0 ? "" : (number / 64 % 3 == 1 ? "v1" : "v2");
        switch (number % 8) {
        case 0:
            upstreams.at(any).draining = !upstreams.at(any).draining;
            update();
            break;
        case 1:
            if (rates.erase(any) == 0) {
                rates[any] = {};
            }
            perform(scheduler.setAllowedRates(rates, now));
            break;
        case 2:
        case 3:
            submit(work_class::Batch, version, {});
            break;
        case 4:
            submit(work_class::Online, version, {any});
            break;
        default:
            submit(work_class::Online, version, {});
        }
        advance();
    }
};

} // namespace

TEST_CASE("placement by cost keeps to drains, versions, limits, exclusions and slots")
{
    rc::prop("no run is granted against a rule, and the same events give the same decisions", [](const std::vector<std::uint32_t> &steps) {
        placement_model first;
        placement_model second;
        for (const std::uint32_t number : steps) {
            first.take(number);
            second.take(number);
        }
        RC_ASSERT(first.log == second.log);
    });
}

TEST_CASE("placement by cost gives each upstream work within a stated time")
{
    rc::prop("the slowest upstream is not forgotten while the fast ones suffice", [] {
        const duration interval = *rc::gen::inRange(3, 12) * step;
        placement_model model;
        for (duration passed{}; passed < 60s; passed += step) {
            if (passed % interval == duration(0)) {
                model.submit(work_class::Online, "", {});
            }
            model.advance();
            for (const auto &[id, at] : model.lastGrant) {
                RC_ASSERT(model.now - at <= relearnTime + upstreamCount * interval);
            }
        }
    });
}
