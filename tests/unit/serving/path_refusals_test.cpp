#include "banyan/core/serving/path_monitor.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

// Guards against giving up sound upstreams, and the runs there, because two others refuse at the same moment.
TEST_CASE("path_monitor keeps the paths of upstreams that are heard while two others refuse together")
{
    for (const duration gap : {duration(1ms), duration(30ms), duration(59ms), duration(200ms)}) {
        path_monitor monitor;
        std::vector<replica> upstreams;
        upstreams.reserve(9);
        for (int number = 0; number < 9; ++number) {
            upstreams.push_back({.id = upstream_id("u" + std::to_string(number)), .domain = failure_domain(number % 2 == 0 ? "a" : "b")});
        }
        monitor.setUpstreams(upstreams);
        time_point now(1000s);
        for (std::uint64_t run = 2; run < 9; ++run) {
            monitor.waits(run, upstreams[run].id, now);
        }
        const auto hearFor = [&](duration time) {
            for (const time_point end = now + time; now < end; now += 1ms) {
                for (std::uint64_t run = 2; run < 9; ++run) {
                    monitor.heard(run, now);
                }
            }
        };
        hearFor(100ms);
        monitor.connected(upstreams[0].id, now, 200ms, connect_outcome::Refused, now);
        hearFor(gap);
        monitor.connected(upstreams[1].id, now, 200ms, connect_outcome::Refused, now);
        hearFor(50ms);
        CHECK(monitor.lost() == std::vector<upstream_id>{upstreams[0].id, upstreams[1].id});
        for (const path_change &change : monitor.takeChanges()) {
            CHECK_FALSE((change.isLost && change.isOfGroup));
        }
    }
}
