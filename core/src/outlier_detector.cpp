#include "outlier_detector.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double upperQuartile = 0.75;
constexpr std::size_t minimumSamples = 16;
constexpr std::uint32_t updateEvery = 8;
constexpr double averageWeight = 0.2;
constexpr std::uint32_t maximumDoublings = 10;

} // namespace

outlier_detector::outlier_detector(const outlier_detector_options &options)
    : m_options(options)
{
}

void outlier_detector::setUpstreams(const std::set<upstream_id> &upstreams)
{
    std::erase_if(m_upstreams, [&](const auto &entry) {
        return !upstreams.contains(entry.first);
    });
    for (const upstream_id &upstream : upstreams) {
        m_upstreams.try_emplace(upstream);
    }
}

const outlier_detector::latency_reference &outlier_detector::referenceOf(latency_kind kind) const
{
    return m_references[static_cast<std::size_t>(kind)];
}

void outlier_detector::addToReference(latency_kind kind, duration latency)
{
    latency_reference &reference = m_references[static_cast<std::size_t>(kind)];
    reference.recent.add(static_cast<double>(latency.count()));
    if (++reference.sinceUpdate >= updateEvery || reference.recent.count() <= minimumSamples) {
        reference.sinceUpdate = 0;
        reference.upperQuartile = reference.recent.quantile(upperQuartile);
    }
}

std::optional<duration> outlier_detector::slowThreshold(latency_kind kind) const
{
    const latency_reference &reference = referenceOf(kind);
    if (reference.recent.count() < minimumSamples) {
        return std::nullopt;
    }
    const auto slow = duration(static_cast<std::int64_t>(m_options.slowFactor * reference.upperQuartile));
    return std::max(slow, m_options.slowFloor);
}

bool outlier_detector::recordLatency(const upstream_id &upstream, latency_kind kind, duration latency, time_point now)
{
    const std::optional<duration> slow = slowThreshold(kind);
    addToReference(kind, latency);
    const auto entry = m_upstreams.find(upstream);
    if (entry == m_upstreams.end()) {
        return false;
    }
    upstream_record &record = entry->second;
    if (kind != latency_kind::Token) {
        record.averageLatency += averageWeight * (static_cast<double>(latency.count()) - record.averageLatency);
    }
    record.connectFailures = 0;
    record.failures = 0;
    if (slow && latency > *slow) {
        return handleSlow(record, now);
    }
    handleGood(record);
    return false;
}

bool outlier_detector::recordOverdue(const upstream_id &upstream, time_point now)
{
    const auto entry = m_upstreams.find(upstream);
    return entry != m_upstreams.end() && handleSlow(entry->second, now);
}

bool outlier_detector::handleSlow(upstream_record &record, time_point now)
{
    if (record.outOfRotation && now < record.ejectedUntil) {
        return false;
    }
    record.goodProbes = 0;
    ++record.slow;
    const bool limitReached = record.outOfRotation || record.slow >= m_options.slowInRow;
    if (!limitReached || (!record.outOfRotation && !mayEjectForSlowness())) {
        return false;
    }
    eject(record, m_options.slowEjection, true, now);
    return true;
}

void outlier_detector::handleGood(upstream_record &record)
{
    record.slow = 0;
    if (!record.outOfRotation) {
        record.ejectionsInRow = 0;
        return;
    }
    if (++record.goodProbes >= m_options.probesToReturn) {
        record.outOfRotation = false;
        record.goodProbes = 0;
    }
}

bool outlier_detector::mayEjectForSlowness() const
{
    const auto ejected = std::count_if(m_upstreams.begin(), m_upstreams.end(), [](const auto &entry) {
        return entry.second.outOfRotation && entry.second.ejectedForSlowness;
    });
    const auto allowed = static_cast<std::ptrdiff_t>(m_options.maximumSlowShare * static_cast<double>(m_upstreams.size()));
    return m_upstreams.size() > 1 && ejected < std::max<std::ptrdiff_t>(1, allowed);
}

void outlier_detector::eject(upstream_record &record, duration first, bool forSlowness, time_point now)
{
    const duration longer = first * (1U << std::min(record.ejectionsInRow, maximumDoublings));
    record.ejectedUntil = now + std::min(longer, m_options.longestEjection);
    record.probedAt = now;
    record.outOfRotation = true;
    record.ejectedForSlowness = forSlowness;
    record.slow = 0;
    record.connectFailures = 0;
    record.failures = 0;
    record.goodProbes = 0;
    ++record.ejectionsInRow;
    ++m_ejections;
}

bool outlier_detector::recordFailure(const upstream_id &upstream, attempt_outcome outcome, time_point now)
{
    const auto entry = m_upstreams.find(upstream);
    if (entry == m_upstreams.end() || outcome == attempt_outcome::Refused) {
        return false;
    }
    upstream_record &record = entry->second;
    if (record.outOfRotation && now < record.ejectedUntil) {
        return false;
    }
    const bool connecting = outcome == attempt_outcome::NotSent;
    record.connectFailures += connecting ? 1 : 0;
    record.failures += connecting ? 0 : 1;
    const bool limitReached = record.connectFailures >= m_options.connectFailuresInRow || record.failures >= m_options.failuresInRow;
    if (!record.outOfRotation && !limitReached) {
        return false;
    }
    eject(record, m_options.failureEjection, false, now);
    return true;
}

upstream_condition outlier_detector::conditionOf(const upstream_id &upstream, time_point now) const
{
    const auto entry = m_upstreams.find(upstream);
    if (entry == m_upstreams.end() || !entry->second.outOfRotation) {
        return upstream_condition::Good;
    }
    return now < entry->second.ejectedUntil ? upstream_condition::Ejected : upstream_condition::Probing;
}

bool outlier_detector::isEjectedForFailures(const upstream_id &upstream, time_point now) const
{
    const auto entry = m_upstreams.find(upstream);
    return entry != m_upstreams.end() && entry->second.outOfRotation && !entry->second.ejectedForSlowness
           && now < entry->second.ejectedUntil;
}

bool outlier_detector::isEjectedForSlowness(const upstream_id &upstream) const
{
    const auto entry = m_upstreams.find(upstream);
    return entry != m_upstreams.end() && entry->second.outOfRotation && entry->second.ejectedForSlowness;
}

/// After a good answer the next probe follows at once.
time_point outlier_detector::earlyProbeAt(const upstream_record &record) const
{
    return record.goodProbes > 0 ? record.probedAt : record.probedAt + m_options.earlyProbeInterval;
}

bool outlier_detector::mayProbeEarly(const upstream_id &upstream, time_point now) const
{
    const auto entry = m_upstreams.find(upstream);
    return entry != m_upstreams.end() && entry->second.outOfRotation && now >= earlyProbeAt(entry->second);
}

void outlier_detector::recordProbe(const upstream_id &upstream, time_point now)
{
    const auto entry = m_upstreams.find(upstream);
    if (entry != m_upstreams.end() && entry->second.outOfRotation) {
        entry->second.probedAt = now;
    }
}

bool outlier_detector::wasRecentlyEjected(const upstream_id &upstream, duration memory, time_point now) const
{
    const auto entry = m_upstreams.find(upstream);
    return entry != m_upstreams.end() && entry->second.outOfRotation && now < entry->second.ejectedUntil + memory;
}

std::optional<time_point> outlier_detector::nextEarlyProbe(time_point now) const
{
    std::optional<time_point> next;
    for (const auto &[id, record] : m_upstreams) {
        const time_point at = earlyProbeAt(record);
        if (record.outOfRotation && at > now && (!next || at < *next)) {
            next = at;
        }
    }
    return next;
}

std::optional<time_point> outlier_detector::probingSince(const upstream_id &upstream, time_point now) const
{
    if (conditionOf(upstream, now) != upstream_condition::Probing) {
        return std::nullopt;
    }
    return m_upstreams.at(upstream).ejectedUntil;
}

std::optional<time_point> outlier_detector::nextEjectionEnd(time_point now) const
{
    std::optional<time_point> next;
    for (const auto &[id, record] : m_upstreams) {
        if (record.outOfRotation && record.ejectedUntil > now && (!next || record.ejectedUntil < *next)) {
            next = record.ejectedUntil;
        }
    }
    return next;
}

duration outlier_detector::averageLatency(const upstream_id &upstream) const
{
    const auto entry = m_upstreams.find(upstream);
    return duration(entry == m_upstreams.end() ? 0 : static_cast<std::int64_t>(entry->second.averageLatency));
}

} // namespace banyan
