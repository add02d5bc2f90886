#include "banyan/core/crash_guard.h"

#include <algorithm>
#include <set>
#include <utility>

namespace banyan {

namespace {

constexpr std::uint32_t mostDoublings = 4; // Of the time for which a content is stopped.

} // namespace

std::string_view toString(loss_verdict value)
{
    switch (value) {
    case loss_verdict::Known:
        return "known";
    case loss_verdict::Counted:
        return "counted";
    case loss_verdict::Excused:
        return "excused";
    case loss_verdict::Stopped:
        return "stopped";
    case loss_verdict::Innocent:
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
        if (m_order.size() >= m_options.maximumEntries) {
            forgetOne(now);
        }
        m_order.push_back(fingerprint);
    }
    record &entry = m_records[fingerprint];
    if (expired(entry, now)) {
        entry = {};
    }
    return entry;
}

/// Forgets the oldest content that is not stopped; if all are, the oldest.
void crash_guard::forgetOne(time_point now)
{
    auto oldest = std::find_if(m_order.begin(), m_order.end(), [&](std::uint64_t fingerprint) {
        return !stoppedUntil(fingerprint, now);
    });
    oldest = oldest == m_order.end() ? m_order.begin() : oldest;
    m_records.erase(*oldest);
    m_order.erase(oldest);
}

bool crash_guard::expired(const record &value, time_point now) const
{
    if (const std::optional<time_point> until = stopOf(value)) {
        return now - *until >= m_options.memory;
    }
    return value.losses.empty() || now - value.lostAt >= m_options.memory;
}

duration crash_guard::nextStop(const record &value) const
{
    return m_options.memory * (1U << std::min(value.stops, mostDoublings));
}

bool crash_guard::isEnough(const record &value) const
{
    const auto blamed = std::count_if(value.losses.begin(), value.losses.end(), [](const auto &entry) {
        return !entry.second.inMassLoss;
    });
    return static_cast<std::size_t>(blamed) >= m_options.limit || value.losses.size() >= m_options.limitInMassLoss;
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
    return m_lostUpstreams.size() >= m_options.massLoss && 2 * m_lostUpstreams.size() >= m_upstreamCount;
}

/// Marks losses as part of a mass loss, and takes back the stops that rest on them.
void crash_guard::excuseSince(time_point from)
{
    for (auto &[fingerprint, entry] : m_records) {
        if (entry.losses.empty() || entry.lostAt < from) {
            continue;
        }
        for (auto &[upstream, noted] : entry.losses) {
            noted.inMassLoss = noted.inMassLoss || noted.at >= from;
        }
        if (!isEnough(entry)) {
            entry.stoppedUntil.reset();
            entry.stops = 0;
        }
    }
}

loss_verdict crash_guard::lost(std::uint64_t fingerprint, const upstream_id &upstream, time_point now)
{
    if (fingerprint == 0) {
        return loss_verdict::Known;
    }
    const bool inMassLoss = isMassLoss(upstream, now);
    if (inMassLoss) {
        excuseSince(now - m_options.massLossWindow);
    }
    if (isInnocent(fingerprint, now)) {
        return loss_verdict::Innocent;
    }
    record &entry = recordOf(fingerprint, now);
    const bool isNew = entry.losses.insert({upstream, {.at = now, .inMassLoss = inMassLoss}}).second;
    entry.lostAt = now;
    const std::optional<time_point> until = stopOf(entry);
    const bool isStopped = until && *until > now;
    const bool stopHasEnded = until && !isStopped;
    if (!isStopped && (stopHasEnded || isEnough(entry))) {
        entry.stoppedUntil = now + nextStop(entry);
        ++entry.stops;
        return loss_verdict::Stopped;
    }
    if (!isNew) {
        return loss_verdict::Known;
    }
    return inMassLoss ? loss_verdict::Excused : loss_verdict::Counted;
}

bool crash_guard::isInnocent(std::uint64_t fingerprint, time_point now) const
{
    const auto answer = m_answeredAt.find(fingerprint);
    return answer != m_answeredAt.end() && now - answer->second < m_options.innocence;
}

void crash_guard::answered(std::uint64_t fingerprint, time_point now)
{
    if (m_answeredAt.insert_or_assign(fingerprint, now).second) {
        m_answerOrder.push_back(fingerprint);
    }
    if (m_answerOrder.size() > m_options.maximumEntries) {
        m_answeredAt.erase(m_answerOrder.front());
        m_answerOrder.pop_front();
    }
    const auto entry = m_records.find(fingerprint);
    if (entry != m_records.end() && !stoppedUntil(fingerprint, now)) {
        m_records.erase(entry);
        std::erase(m_order, fingerprint);
    }
}

void crash_guard::unanswered(std::uint64_t fingerprint, const upstream_id &upstream, time_point now)
{
    if (m_unanswered.size() >= m_options.maximumEntries) {
        m_unanswered.pop_front();
    }
    m_unanswered.push_back({.fingerprint = fingerprint, .upstream = upstream, .at = now});
}

std::vector<std::uint64_t> crash_guard::upstreamEnded(const upstream_id &upstream, time_point now)
{
    std::set<std::uint64_t> contents;
    std::deque<unanswered_attempt> others;
    for (unanswered_attempt &attempt : m_unanswered) {
        if (now - attempt.at >= m_options.unansweredMemory) {
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
    return std::any_of(entry->second.losses.begin(), entry->second.losses.end(), [](const auto &noted) {
        return !noted.second.inMassLoss;
    });
}

std::size_t crash_guard::lossesOf(std::uint64_t fingerprint) const
{
    const auto entry = m_records.find(fingerprint);
    return entry == m_records.end() ? 0 : entry->second.losses.size();
}

std::optional<time_point> crash_guard::stopOf(const record &value)
{
    return std::max(value.stoppedUntil, value.stopToldUntil); // None is less than any time.
}

std::optional<time_point> crash_guard::stoppedUntil(std::uint64_t fingerprint, time_point now) const
{
    const auto entry = m_records.find(fingerprint);
    const std::optional<time_point> until = entry == m_records.end() ? std::nullopt : stopOf(entry->second);
    return until && *until > now ? until : std::nullopt;
}

void crash_guard::stop(std::uint64_t fingerprint, time_point until, time_point now)
{
    if (isInnocent(fingerprint, now)) {
        return;
    }
    record &entry = recordOf(fingerprint, now);
    entry.stopToldUntil = std::max(entry.stopToldUntil.value_or(until), until);
}

std::vector<stopped_fingerprint> crash_guard::stopped(time_point now) const
{
    std::vector<stopped_fingerprint> result;
    for (const auto &[fingerprint, entry] : m_records) {
        const std::optional<time_point> until = stopOf(entry);
        if (until && *until > now) {
            result.push_back({.fingerprint = fingerprint, .until = *until});
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace banyan
