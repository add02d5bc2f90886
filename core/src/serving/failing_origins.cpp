#include "failing_origins.h"

#include <algorithm>
#include <utility>

namespace banyan {

failing_origins::failing_origins(const failing_origins_options &options)
    : m_options(options)
{
}

void failing_origins::forgetOld(time_point now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        return now - entry.second.lastAt >= m_options.memory;
    });
}

void failing_origins::recordFailure(std::uint64_t origin, const upstream_id &upstream, std::size_t upstreamCount, time_point now)
{
    forgetOld(now);
    if (origin == 0 || (m_records.size() >= m_options.maximumOrigins && !m_records.contains(origin))) {
        return;
    }
    failure_record &record = m_records[origin];
    ++record.failures;
    record.upstreamCount = upstreamCount;
    record.lastFailureAt.insert_or_assign(upstream, now);
    record.lastAt = now;
}

void failing_origins::recordAnswer(std::uint64_t origin, const upstream_id &upstream, time_point sentAt)
{
    for (auto &[failing, record] : m_records) {
        const auto failure = record.lastFailureAt.find(upstream);
        const bool answeredSince = failure != record.lastFailureAt.end() && failure->second <= sentAt;
        record.othersAnswered = record.othersAnswered || (failing != origin && answeredSince);
    }
}

void failing_origins::recordSuccess(std::uint64_t origin)
{
    m_records.erase(origin);
}

bool failing_origins::isFailing(std::uint64_t origin, time_point now) const
{
    const auto entry = m_records.find(origin);
    return entry != m_records.end() && entry->second.failures >= m_options.failuresInRow && now - entry->second.lastAt < m_options.memory;
}

bool failing_origins::isBlamed(std::uint64_t origin, time_point now) const
{
    if (!isFailing(origin, now)) {
        return false;
    }
    const failure_record &record = m_records.at(origin);
    const std::size_t needed = std::max<std::size_t>(1, std::min(m_options.upstreamsForBlame, record.upstreamCount));
    return record.othersAnswered && record.lastFailureAt.size() >= needed;
}

bool failing_origins::reportBlame(std::uint64_t origin)
{
    const auto entry = m_records.find(origin);
    return entry != m_records.end() && !std::exchange(entry->second.blameReported, true);
}

} // namespace banyan
