#include "banyan/core/serving/stop_records.h"

namespace banyan {

stop_records::stop_records(const stop_records_options &options, std::uint64_t seed)
    : m_options(options)
    , m_generator(seed)
{
}

duration stop_records::someTime()
{
    return duration(std::uniform_int_distribution<duration::rep>(0, m_options.spread.count())(m_generator));
}

bool stop_records::stored(std::uint64_t fingerprint, row_version version)
{
    const auto known = m_records.find(fingerprint);
    if (known != m_records.end() && known->second.version >= version) {
        return false;
    }
    m_records[fingerprint] = {.version = version, .until = std::nullopt};
    m_dueAt.erase(fingerprint);
    m_removeAt.erase(fingerprint);
    return true;
}

void stop_records::removed(std::uint64_t fingerprint)
{
    m_records.erase(fingerprint);
    m_removeAt.erase(fingerprint);
}

std::set<std::uint64_t> stop_records::known() const
{
    std::set<std::uint64_t> result;
    for (const auto &[fingerprint, entry] : m_records) {
        result.insert(fingerprint);
    }
    return result;
}

std::vector<std::uint64_t>
stop_records::due(const std::vector<stopped_fingerprint> &stopped, const std::set<std::uint64_t> &decidedHere, time_point now)
{
    std::vector<std::uint64_t> result;
    std::map<std::uint64_t, time_point> waiting;
    for (const stopped_fingerprint &stop : stopped) {
        const auto known = m_records.find(stop.fingerprint);
        if (known != m_records.end() && !known->second.until) {
            known->second.until = stop.until;
        }
        const bool isRecorded = known != m_records.end() && *known->second.until >= stop.until;
        if (isRecorded || (known == m_records.end() && m_records.size() + result.size() >= m_options.mostRecords)) {
            continue;
        }
        const auto planned = m_dueAt.find(stop.fingerprint);
        const duration delay = decidedHere.contains(stop.fingerprint) ? duration(0) : m_options.standInDelay + someTime();
        const time_point dueAt = planned != m_dueAt.end() ? planned->second : now + delay;
        waiting.emplace(stop.fingerprint, dueAt);
        if (dueAt <= now) {
            result.push_back(stop.fingerprint);
        }
    }
    m_dueAt = std::move(waiting);
    return result;
}

std::vector<outdated_stop> stop_records::outdated(const std::vector<stopped_fingerprint> &stopped, time_point now)
{
    std::set<std::uint64_t> current;
    for (const stopped_fingerprint &stop : stopped) {
        current.insert(stop.fingerprint);
    }
    std::vector<outdated_stop> result;
    for (const auto &[fingerprint, entry] : m_records) {
        if (current.contains(fingerprint)) {
            m_removeAt.erase(fingerprint);
            continue;
        }
        const duration delay = entry.until ? someTime() : m_options.abandonedAfter;
        if (m_removeAt.try_emplace(fingerprint, now + delay).first->second <= now) {
            result.push_back({.fingerprint = fingerprint, .version = entry.version});
        }
    }
    return result;
}

} // namespace banyan
