#include "banyan/core/serving/upstream_limits.h"

#include "banyan/core/serving/rate_statement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyan {

upstream_limits::upstream_limits(const upstream_limits_options &options)
    : m_options(options)
{
}

upstream_limits::change upstream_limits::record(upstream_key start, const rate_statement &statement, time_point now)
{
    if (statement.what == rate_statement::content::Nothing) {
        return change::None;
    }
    return apply(start, statement.what == rate_statement::content::Limited, statement.perSecond, true, now, now);
}

upstream_limits::change upstream_limits::recordReport(const reported_limit &report, time_point now)
{
    return apply(report.start, !report.ended, report.perSecond, false, now - std::max(duration(0), report.age), now);
}

upstream_limits::change
upstream_limits::apply(upstream_key start, bool limited, double perSecond, bool toldHere, time_point saidAt, time_point now)
{
    const auto found = m_entries.find(start);
    if (found == m_entries.end()) {
        if (!limited) {
            return change::None;
        }
        m_entries[start] = {.perSecond = perSecond, .toldHere = toldHere, .saidAt = saidAt, .registeredAt = now};
        return change::Named;
    }
    entry &known = found->second;
    if (saidAt <= known.saidAt) {
        return change::None;
    }
    known.saidAt = saidAt;
    known.toldHere = toldHere;
    known.registeredAt = now;
    if (!limited) {
        if (known.ended) {
            return change::None;
        }
        known.ended = true;
        known.endedAt = now;
        return change::Ended;
    }
    const bool wasEnded = std::exchange(known.ended, false);
    const double before = std::exchange(known.perSecond, perSecond);
    if (wasEnded) {
        return change::Named;
    }
    return before == perSecond ? change::None : (before < perSecond ? change::Raised : change::Lowered);
}

double upstream_limits::recoveringRate(const entry &recovering, time_point now) const
{
    const double doublings = std::chrono::duration<double>(now - recovering.endedAt) / m_options.recoveryDoubling;
    return std::max(recovering.perSecond, m_options.recoveryRate) * std::exp2(std::max(0.0, doublings));
}

std::map<upstream_key, double> upstream_limits::allowedRates(time_point now) const
{
    std::map<upstream_key, double> rates;
    for (const auto &[start, known] : m_entries) {
        if (!known.ended) {
            rates[start] = std::max(known.perSecond, m_options.probesPerSecond);
        } else if (now - known.endedAt < m_options.recoveryTime) {
            rates[start] = recoveringRate(known, now);
        }
    }
    return rates;
}

std::vector<reported_limit> upstream_limits::toReport(time_point now) const
{
    std::vector<reported_limit> result;
    for (const auto &[start, known] : m_entries) {
        if (known.toldHere && now - known.saidAt <= m_options.reportPeriod) {
            result.push_back({.start = start, .ended = known.ended, .perSecond = known.perSecond, .age = now - known.saidAt});
        }
    }
    std::sort(result.begin(), result.end(), [](const reported_limit &left, const reported_limit &right) {
        return left.age < right.age;
    });
    result.resize(std::min(result.size(), m_options.maximumReported));
    return result;
}

std::size_t upstream_limits::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto &known) {
        return !known.second.ended;
    }));
}

void upstream_limits::expire(const std::set<upstream_key> &registered, time_point now)
{
    for (auto &[start, known] : m_entries) {
        known.registeredAt = registered.contains(start) ? now : known.registeredAt;
    }
    std::erase_if(m_entries, [&](const auto &known) {
        const entry &value = known.second;
        const bool recovered = value.ended && now - value.endedAt >= m_options.recoveryTime;
        return recovered || now - value.registeredAt > m_options.unregisteredRetention;
    });
}

std::string_view toString(upstream_limits::change value)
{
    switch (value) {
    case upstream_limits::change::None:
        return "none";
    case upstream_limits::change::Named:
        return "named";
    case upstream_limits::change::Raised:
        return "raised";
    case upstream_limits::change::Lowered:
        return "lowered";
    case upstream_limits::change::Ended:
        return "ended";
    }
    return "unknown";
}

} // namespace banyan
