#include "banyan/core/serving/replica_registry.h"
#include "banyan/core/serving/request_scheduler.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace banyan;

namespace {

constexpr int upstreamCount = 4;
constexpr std::uint64_t startCount = 3;

/// An arbitrary registration of an upstream incarnation, as a view of the store may contain it.
replica anyStart()
{
    const int number = *rc::gen::inRange(0, upstreamCount);
    return {.id = upstream_id("u" + std::to_string(number)),
            .startedAt = *rc::gen::inRange<std::uint64_t>(1, startCount + 1),
            .service = service_name("s"),
            .address = {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(number + 1)},
            .draining = *rc::gen::inRange(0, 4) == 0};
}

std::vector<replica> anyView()
{
    std::map<upstream_id, replica> view;
    for (int entries = *rc::gen::inRange(0, upstreamCount + 1); entries > 0; --entries) {
        const replica entry = anyStart();
        view.insert_or_assign(entry.id, entry);
    }
    std::vector<replica> result(view.size());
    std::transform(view.begin(), view.end(), result.begin(), [](const auto &entry) {
        return entry.second;
    });
    return result;
}

/// A registry, and the incarnations that were recorded in it as leaving.
struct leaving_model
{
    replica_registry registry{std::chrono::seconds(2)};
    std::set<upstream_key> leavingStarts;
    time_point now{};

    void step()
    {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 600));
        switch (*rc::gen::inRange(0, 7)) {
        case 0:
            registry.replaceAll(anyView(), now);
            break;
        case 1:
        case 2:
            registry.recordRegistration(anyStart());
            break;
        case 3:
            registry.recordRemoval(anyStart().id, now);
            break;
        case 4:
            registry.storeLost();
            break;
        case 5:
            registry.storeRegained(now);
            break;
        default:
            const upstream_key start = keyOfStart(anyStart());
            registry.recordLeaving(start, *rc::gen::inRange(0, 2) == 0, now);
            leavingStarts.insert(start);
        }
        registry.tick(now);
    }
};

} // namespace

TEST_CASE("replica_registry never returns a leaving incarnation as usable, in any order of views and outages")
{
    rc::prop("an incarnation is draining if it announced that it leaves, and not because another one did", [] {
        leaving_model model;
        std::map<upstream_id, bool> drains;
        for (int steps = 60; steps > 0; --steps) {
            model.step();
            for (const replica &entry : model.registry.replicas()) {
                RC_ASSERT(entry.draining || !model.leavingStarts.contains(keyOfStart(entry)));
            }
        }
        for (int number = 0; number < upstreamCount; ++number) {
            // A new incarnation is usable at once, whatever was recorded of earlier ones of its upstream.
            const replica fresh{.id = upstream_id("u" + std::to_string(number)), .startedAt = startCount + 1, .service = service_name("s")};
            model.registry.recordRegistration(fresh);
        }
        for (const replica &entry : model.registry.replicas()) {
            RC_ASSERT(!entry.draining);
        }
    });
}
