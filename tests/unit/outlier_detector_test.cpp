#include "outlier_detector.h"

#include <catch2/catch.hpp>

using namespace banyan;

namespace {

constexpr time_point start{};
constexpr duration usual = std::chrono::milliseconds(50);

std::set<upstream_id> upstreamIds(int count)
{
    std::set<upstream_id> result;
    for (int i = 0; i < count; ++i) {
        result.insert(upstream_id("u" + std::to_string(i)));
    }
    return result;
}

/// A detector that has recorded answers of usual latency from @p count upstreams.
outlier_detector detectorOf(int count)
{
    outlier_detector detector{outlier_detector_options()};
    detector.setUpstreams(upstreamIds(count));
    for (int round = 0; round < 20; ++round) {
        for (const upstream_id &upstream : upstreamIds(count)) {
            detector.recordLatency(upstream, latency_kind::FirstToken, usual, start);
        }
    }
    return detector;
}

void observeSlow(outlier_detector &detector, const upstream_id &upstream, time_point now)
{
    for (int i = 0; i < 3; ++i) {
        detector.recordLatency(upstream, latency_kind::FirstToken, 10 * usual, now);
    }
}

} // namespace

TEST_CASE("outlier_detector ejects a slow upstream and returns it to rotation after probes")
{
    outlier_detector detector = detectorOf(5);
    const upstream_id slow("u1");
    observeSlow(detector, slow, start);
    CHECK(detector.conditionOf(slow, start) == upstream_condition::Ejected);
    const time_point back = detector.nextEjectionEnd(start).value();
    CHECK(detector.conditionOf(slow, back) == upstream_condition::Probing);
    detector.recordLatency(slow, latency_kind::FirstToken, usual, back);
    CHECK(detector.conditionOf(slow, back) == upstream_condition::Probing);
    detector.recordLatency(slow, latency_kind::FirstToken, usual, back);
    CHECK(detector.conditionOf(slow, back) == upstream_condition::Good);
}

TEST_CASE("outlier_detector doubles the ejection time when a probe is slow")
{
    outlier_detector detector = detectorOf(5);
    const upstream_id slow("u1");
    observeSlow(detector, slow, start);
    const time_point first = detector.nextEjectionEnd(start).value();
    detector.recordLatency(slow, latency_kind::FirstToken, 10 * usual, first);
    CHECK(detector.nextEjectionEnd(first).value() - first == 2 * (first - start));
}

TEST_CASE("outlier_detector ejects only a fraction of the cell for slowness")
{
    outlier_detector detector = detectorOf(5);
    int ejected = 0;
    for (const upstream_id &upstream : upstreamIds(5)) {
        observeSlow(detector, upstream, start);
        ejected += detector.conditionOf(upstream, start) == upstream_condition::Ejected ? 1 : 0;
    }
    CHECK(ejected == 2);
}

TEST_CASE("outlier_detector ejects all upstreams that cannot be connected to")
{
    outlier_detector detector = detectorOf(3);
    for (const upstream_id &upstream : upstreamIds(3)) {
        detector.recordFailure(upstream, attempt_outcome::NotSent, start);
        detector.recordFailure(upstream, attempt_outcome::NotSent, start);
        CHECK(detector.conditionOf(upstream, start) == upstream_condition::Ejected);
    }
}
