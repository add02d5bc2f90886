#include "banyan/core/crash_guard.h"

#include <algorithm>
#include <set>
#include <utility>

namespace banyan {

namespace {

constexpr std::uint32_t maximumDoublings = 4; // Limit of the doublings of the quarantine duration.

} // namespace

std::string_view toString(loss_verdict value)
{
    switch (value) {
    case loss_verdict::AlreadyCounted:
        return "known";
    case loss_verdict::Counted:
        return "counted";
    case loss_verdict::CountedInMassLoss:
        return "excused";
    case loss_verdict::Quarantined:
        return "stopped";
    case loss_verdict::Exempt:
        return "innocent";
    }
    return "unknown";
}

crash_guard::crash_guard(const crash_guard_options &options)
    : m_options(options)
{
}

crash_guard::record &crash_guard::recordOf(std::uint64_t fingerprint, time_point now)
{
    if (!m_records.contains(fingerprint)) {
        if (m_recordOrder.size() >= m_options.maximumEntries) {
            evictOldest(now);
        }
        m_recordOrder.push_back(fingerprint);
    }
    record &entry = m_records[fingerprint];
    if (expired(entry, now)) {
        entry = {};
    }
    return entry;
}

/// Evicts the oldest content that is not quarantined, or the oldest of all if every one is.
void crash_guard::evictOldest(time_point now)
{
    auto oldest = std::find_if(m_recordOrder.begin(), m_recordOrder.end(), [&](std::uint64_t fingerprint) {
        return !quarantinedUntil(fingerprint, now);
    });
    oldest = oldest == m_recordOrder.end() ? m_recordOrder.begin() : oldest;
    m_records.erase(*oldest);
    m_recordOrder.erase(oldest);
}

bool crash_guard::expired(const record &value, time_point now) const
{
    if (const std::optional<time_point> until = quarantineEnd(value)) {
        return now - *until >= m_options.quarantineDuration;
    }
    return value.losses.empty() || now - value.lostAt >= m_options.quarantineDuration;
}

duration crash_guard::nextQuarantine(const record &value) const
{
    return m_options.quarantineDuration * (1U << std::min(value.quarantineCount, maximumDoublings));
}

bool crash_guard::reachesThreshold(const record &value) const
{
    const auto outsideMassLoss = std::count_if(value.losses.begin(), value.losses.end(), [](const auto &entry) {
        return !entry.second.inMassLoss;
    });
    return static_cast<std::size_t>(outsideMassLoss) >= m_options.quarantineThreshold
           || value.losses.size() >= m_options.massLossQuarantineThreshold;
}

void crash_guard::setUpstreamCount(std::size_t count)
{
    m_upstreamCount = count;
}

bool crash_guard::isMassLoss(const upstream_id &upstream, time_point now)
{
    m_lostUpstreams[upstream] = now;
    std::erase_if(m_lostUpstreams, [&](const auto &entry) {
        return now - entry.second > m_options.massLossWindow;
    });
    return m_lostUpstreams.size() >= m_options.massLossThreshold && 2 * m_lostUpstreams.size() >= m_upstreamCount;
}

/// Marks the losses since @p from as part of a mass loss, and lifts quarantines for which the remaining losses do not suffice.
void crash_guard::markMassLossSince(time_point from)
{
    for (auto &[fingerprint, entry] : m_records) {
        if (entry.losses.empty() || entry.lostAt < from) {
            continue;
        }
        for (auto &[upstream, loss] : entry.losses) {
            loss.inMassLoss = loss.inMassLoss || loss.at >= from;
        }
        if (!reachesThreshold(entry)) {
            entry.decidedUntil.reset();
            entry.quarantineCount = 0;
        }
    }
}

loss_verdict crash_guard::recordLoss(std::uint64_t fingerprint, const upstream_id &upstream, time_point now)
{
    if (fingerprint == 0) {
        return loss_verdict::AlreadyCounted;
    }
    const bool inMassLoss = isMassLoss(upstream, now);
    if (inMassLoss) {
        markMassLossSince(now - m_options.massLossWindow);
    }
    if (isExempt(fingerprint, now)) {
        return loss_verdict::Exempt;
    }
    record &entry = recordOf(fingerprint, now);
    const bool isNew = entry.losses.insert({upstream, {.at = now, .inMassLoss = inMassLoss}}).second;
    entry.lostAt = now;
    const std::optional<time_point> until = quarantineEnd(entry);
    const bool isQuarantined = until && *until > now;
    const bool quarantineHasEnded = until && !isQuarantined;
    if (!isQuarantined && (quarantineHasEnded || reachesThreshold(entry))) {
        entry.decidedAt = now;
        entry.decidedUntil = now + nextQuarantine(entry);
        ++entry.quarantineCount;
        return loss_verdict::Quarantined;
    }
    if (!isNew) {
        return loss_verdict::AlreadyCounted;
    }
    return inMassLoss ? loss_verdict::CountedInMassLoss : loss_verdict::Counted;
}

std::vector<std::uint64_t> crash_guard::recordAlive(const upstream_id &upstream, time_point aliveAt)
{
    const auto lost = m_lostUpstreams.find(upstream);
    if (lost != m_lostUpstreams.end() && lost->second < aliveAt) {
        m_lostUpstreams.erase(lost);
    }
    std::vector<std::uint64_t> result;
    for (auto &[fingerprint, entry] : m_records) {
        const auto loss = entry.losses.find(upstream);
        if (loss != entry.losses.end() && loss->second.at < aliveAt) {
            const time_point lostAt = loss->second.at;
            entry.losses.erase(loss);
            reconsider(entry, lostAt);
            result.push_back(fingerprint);
        }
    }
    return result;
}

/// Ends the quarantine that the remaining losses would not have decided.
void crash_guard::reconsider(record &entry, time_point refutedLossAt) const
{
    if (!entry.decidedUntil) {
        return;
    }
    if (!reachesThreshold(entry)) {
        entry.decidedUntil.reset();
        entry.quarantineCount = 0;
    } else if (entry.quarantineCount > 1 && refutedLossAt == entry.decidedAt) {
        entry.decidedUntil = entry.decidedAt; // A single loss has renewed it.
        --entry.quarantineCount;
    }
}

void crash_guard::withdraw(std::uint64_t fingerprint)
{
    const auto entry = m_records.find(fingerprint);
    if (entry != m_records.end()) {
        entry->second.notifiedUntil.reset();
    }
}

bool crash_guard::isExempt(std::uint64_t fingerprint, time_point now) const
{
    const auto answer = m_answeredAt.find(fingerprint);
    return answer != m_answeredAt.end() && now - answer->second < m_options.exemptionDuration;
}

void crash_guard::recordAnswer(std::uint64_t fingerprint, time_point now)
{
    if (m_answeredAt.insert_or_assign(fingerprint, now).second) {
        m_answerOrder.push_back(fingerprint);
    }
    if (m_answerOrder.size() > m_options.maximumEntries) {
        m_answeredAt.erase(m_answerOrder.front());
        m_answerOrder.pop_front();
    }
    const auto entry = m_records.find(fingerprint);
    if (entry != m_records.end() && !quarantinedUntil(fingerprint, now)) {
        m_records.erase(entry);
        std::erase(m_recordOrder, fingerprint);
    }
}

void crash_guard::recordUnanswered(std::uint64_t fingerprint, const upstream_id &upstream, time_point now)
{
    if (m_unanswered.size() >= m_options.maximumEntries) {
        m_unanswered.pop_front();
    }
    m_unanswered.push_back({.fingerprint = fingerprint, .upstream = upstream, .at = now});
}

std::vector<std::uint64_t> crash_guard::takeUnanswered(const upstream_id &upstream, time_point now)
{
    std::set<std::uint64_t> contents;
    std::deque<unanswered_attempt> others;
    for (unanswered_attempt &attempt : m_unanswered) {
        if (now - attempt.at >= m_options.unansweredRetention) {
            continue;
        }
        if (attempt.upstream == upstream) {
            contents.insert(attempt.fingerprint);
        } else {
            others.push_back(std::move(attempt));
        }
    }
    m_unanswered = std::move(others);
    return {contents.begin(), contents.end()};
}

bool crash_guard::isSuspect(std::uint64_t fingerprint, time_point now) const
{
    const auto entry = m_records.find(fingerprint);
    if (entry == m_records.end() || expired(entry->second, now)) {
        return false;
    }
    return std::any_of(entry->second.losses.begin(), entry->second.losses.end(), [](const auto &loss) {
        return !loss.second.inMassLoss;
    });
}

std::size_t crash_guard::lossCount(std::uint64_t fingerprint) const
{
    const auto entry = m_records.find(fingerprint);
    return entry == m_records.end() ? 0 : entry->second.losses.size();
}

std::optional<time_point> crash_guard::quarantineEnd(const record &value)
{
    return std::max(value.decidedUntil, value.notifiedUntil); // std::nullopt compares less than any time.
}

std::optional<time_point> crash_guard::quarantinedUntil(std::uint64_t fingerprint, time_point now) const
{
    const auto entry = m_records.find(fingerprint);
    const std::optional<time_point> until = entry == m_records.end() ? std::nullopt : quarantineEnd(entry->second);
    return until && *until > now ? until : std::nullopt;
}

void crash_guard::quarantine(std::uint64_t fingerprint, time_point until, time_point now)
{
    if (isExempt(fingerprint, now)) {
        return;
    }
    record &entry = recordOf(fingerprint, now);
    entry.notifiedUntil = std::max(entry.notifiedUntil.value_or(until), until);
}

std::vector<quarantined_fingerprint> crash_guard::quarantined(time_point now) const
{
    std::vector<quarantined_fingerprint> result;
    for (const auto &[fingerprint, entry] : m_records) {
        const std::optional<time_point> until = quarantineEnd(entry);
        if (until && *until > now) {
            result.push_back({.fingerprint = fingerprint, .until = *until});
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace banyan
