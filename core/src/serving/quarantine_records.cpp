#include "banyan/core/serving/quarantine_records.h"

namespace banyan {

quarantine_records::quarantine_records(const quarantine_records_options &options, std::uint64_t seed)
    : m_options(options)
    , m_generator(seed)
{
}

duration quarantine_records::randomDelay()
{
    return duration(std::uniform_int_distribution<duration::rep>(0, m_options.jitter.count())(m_generator));
}

bool quarantine_records::addRow(std::uint64_t fingerprint, row_version version)
{
    const auto row = m_records.find(fingerprint);
    if (row != m_records.end() && row->second.version >= version) {
        return false;
    }
    m_records[fingerprint] = {.version = version, .until = std::nullopt};
    m_dueAt.erase(fingerprint);
    m_removeAt.erase(fingerprint);
    return true;
}

void quarantine_records::removeRow(std::uint64_t fingerprint)
{
    m_records.erase(fingerprint);
    m_removeAt.erase(fingerprint);
}

std::set<std::uint64_t> quarantine_records::recordedFingerprints() const
{
    std::set<std::uint64_t> result;
    for (const auto &[fingerprint, entry] : m_records) {
        result.insert(fingerprint);
    }
    return result;
}

std::vector<std::uint64_t> quarantine_records::dueRecords(const std::vector<quarantined_fingerprint> &quarantined,
                                                          const std::set<std::uint64_t> &decidedHere,
                                                          time_point now)
{
    std::vector<std::uint64_t> result;
    std::map<std::uint64_t, time_point> pending;
    for (const quarantined_fingerprint &content : quarantined) {
        const auto row = m_records.find(content.fingerprint);
        if (row != m_records.end() && !row->second.until) {
            row->second.until = content.until;
        }
        const bool isRecorded = row != m_records.end() && *row->second.until >= content.until;
        if (isRecorded || (row == m_records.end() && m_records.size() + result.size() >= m_options.maximumRecords)) {
            continue;
        }
        const auto planned = m_dueAt.find(content.fingerprint);
        const duration delay = decidedHere.contains(content.fingerprint) ? duration(0) : m_options.fallbackDelay + randomDelay();
        const time_point dueAt = planned != m_dueAt.end() ? planned->second : now + delay;
        pending.emplace(content.fingerprint, dueAt);
        if (dueAt <= now) {
            result.push_back(content.fingerprint);
        }
    }
    m_dueAt = std::move(pending);
    return result;
}

std::vector<outdated_quarantine> quarantine_records::outdatedRows(const std::vector<quarantined_fingerprint> &quarantined, time_point now)
{
    std::set<std::uint64_t> current;
    for (const quarantined_fingerprint &content : quarantined) {
        current.insert(content.fingerprint);
    }
    std::vector<outdated_quarantine> result;
    for (const auto &[fingerprint, entry] : m_records) {
        if (current.contains(fingerprint)) {
            m_removeAt.erase(fingerprint);
            continue;
        }
        const duration delay = entry.until ? randomDelay() : m_options.unmatchedRowRetention;
        if (m_removeAt.try_emplace(fingerprint, now + delay).first->second <= now) {
            result.push_back({.fingerprint = fingerprint, .version = entry.version});
        }
    }
    return result;
}

} // namespace banyan
