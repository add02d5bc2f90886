#include "banyan/core/serving/part_guard.h"

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

constexpr std::uint32_t maximumDoublings = 4; // Of the duration of a stop.

/// Removes entries that are not to be reported any more.
template<typename Entry>
void expireReports(std::deque<std::pair<time_point, Entry>> &entries, duration period, time_point now)
{
    while (!entries.empty() && now - entries.front().first > period) {
        entries.pop_front();
    }
}

/// Erases the entry with the earliest time, unless there is room.
template<typename Map, typename Time>
void makeRoom(Map &entries, std::size_t maximum, Time timeOf)
{
    if (entries.size() < maximum) {
        return;
    }
    entries.erase(std::min_element(entries.begin(), entries.end(), [&](const auto &left, const auto &right) {
        return timeOf(left.second) < timeOf(right.second);
    }));
}

/// Whether the first map has all keys of the second one.
template<typename Map>
bool hasKeysOf(const Map &map, const Map &others)
{
    return std::includes(map.begin(), map.end(), others.begin(), others.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
}

} // namespace

part_guard::part_guard(const part_guard_options &options)
    : m_options(options)
{
}

std::vector<std::uint64_t> part_guard::recordLoss(const prompt_run &run, upstream_key upstream, time_point now)
{
    forgetOld(now);
    return decide(count(run, upstream, true, true, now), now);
}

std::vector<std::uint64_t> part_guard::recordRemoteLosses(const std::vector<part_loss> &losses, bool forward, time_point now)
{
    forgetOld(now);
    std::map<std::pair<upstream_key, std::uint64_t>, prompt_run> runs; // By upstream and content.
    for (const part_loss &loss : losses) {
        if (isProven(loss.part, now)) {
            reportProof(loss.part, now);
        }
        prompt_run &run = runs[{loss.upstream, loss.content}];
        run.content = loss.content;
        run.parts.push_back(loss.part);
    }
    std::vector<std::uint64_t> suspects;
    for (const auto &[key, run] : runs) {
        const std::vector<std::uint64_t> parts = count(run, key.first, forward, false, now);
        suspects.insert(suspects.end(), parts.begin(), parts.end());
    }
    return decide(std::move(suspects), now);
}

/// Counts the loss of a run, and reports what is new of it if @p report is set. Returns the parts that it speaks against.
std::vector<std::uint64_t> part_guard::count(const prompt_run &run, upstream_key upstream, bool report, bool isLocal, time_point now)
{
    if (stoppedUntil(run, now)) { // It was in progress when the stop was decided.
        explain(upstream, now);
        return {};
    }
    std::vector<part_loss> losses;
    std::vector<std::uint64_t> suspects;
    for (const std::uint64_t part : run.parts) {
        if (isProven(part, now)) {
            continue;
        }
        losses.push_back({.part = part, .content = run.content, .upstream = upstream});
        if (addSuspicion(losses.back(), isLocal, now)) {
            suspects.push_back(part);
        }
    }
    if (report && !suspects.empty()) {
        reportLosses(losses, now);
    }
    return suspects;
}

/// Adds a loss to what is known of its part. Returns whether it is new and no stopped part explains it.
bool part_guard::addSuspicion(const part_loss &loss, bool isLocal, time_point now)
{
    if (m_explained.contains(loss.upstream)) {
        return false;
    }
    if (!m_suspects.contains(loss.part)) {
        makeRoom(m_suspects, m_options.maximumParts, [](const suspicion &entry) {
            return entry.lostAt;
        });
    }
    suspicion &entry = m_suspects[loss.part];
    bool isNew = entry.losses.try_emplace(loss.upstream, now).second;
    if (entry.contents.size() < m_options.minimumContents) {
        isNew = entry.contents.insert(loss.content).second || isNew;
    }
    entry.lostAt = isNew ? now : entry.lostAt;
    entry.isLocal = entry.isLocal || isLocal;
    return isNew;
}

/// Stops those of the parts that have become culprits, with the parts that cannot be told apart from them. The part with the most
/// losses comes first, since it explains losses of the others.
std::vector<std::uint64_t> part_guard::decide(std::vector<std::uint64_t> parts, time_point now)
{
    std::sort(parts.begin(), parts.end());
    std::stable_sort(parts.begin(), parts.end(), [this](std::uint64_t left, std::uint64_t right) {
        return lossCount(left) > lossCount(right);
    });
    std::vector<std::uint64_t> stopped;
    for (const std::uint64_t part : parts) {
        if (isCulprit(part, now)) {
            const std::vector<std::uint64_t> together = lostLike(part);
            stopTogether(together, now);
            stopped.insert(stopped.end(), together.begin(), together.end());
        }
    }
    return stopped;
}

bool part_guard::isCulprit(std::uint64_t part, time_point now) const
{
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end()) {
        return false;
    }
    const suspicion &entry = found->second;
    const auto earlier = m_stops.find(part);
    if (earlier != m_stops.end() && earlier->second.until > now) {
        // It is stopped together with others, and was lost without them.
        return entry.losses.size() >= m_options.confirmThreshold && !isOutdone(entry);
    }
    if (earlier != m_stops.end()) {
        const std::vector<std::uint64_t> like = lostLike(part);
        const std::set<std::uint64_t> &together = earlier->second.together;
        if (std::includes(like.begin(), like.end(), together.begin(), together.end())) {
            return true; // Its stop has ended, and it goes on.
        }
    }
    return entry.contents.size() >= m_options.minimumContents && entry.losses.size() >= m_options.stopThreshold && !isOutdone(entry);
}

/// Whether another part was lost wherever this one was, and elsewhere.
bool part_guard::isOutdone(const suspicion &entry) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto &other) {
        const loss_times &losses = other.second.losses;
        return losses.size() > entry.losses.size() && hasKeysOf(losses, entry.losses);
    });
}

/// The parts that were lost at the same upstreams as this one, itself included.
std::vector<std::uint64_t> part_guard::lostLike(std::uint64_t part) const
{
    const loss_times &losses = m_suspects.at(part).losses;
    std::vector<std::uint64_t> result;
    for (const auto &[other, entry] : m_suspects) {
        if (entry.losses.size() == losses.size() && hasKeysOf(entry.losses, losses)) {
            result.push_back(other);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

void part_guard::stopTogether(const std::vector<std::uint64_t> &parts, time_point now)
{
    const loss_times losses = m_suspects.at(parts.front()).losses;
    for (const std::uint64_t part : parts) {
        if (m_suspects.at(part).isLocal) {
            m_locallyStopped.insert(part);
        }
        stop_record &entry = renewStop(part, now);
        addLosses(entry, m_suspects.at(part));
        entry.together = {parts.begin(), parts.end()};
        entry.together.erase(part);
        m_suspects.erase(part);
    }
    for (const auto &[upstream, at] : losses) {
        explain(upstream, now);
    }
}

/// Stops a part from now on, for twice as long as the last time.
part_guard::stop_record &part_guard::renewStop(std::uint64_t part, time_point now)
{
    if (!m_stops.contains(part)) {
        makeRoom(m_stops, m_options.maximumParts, [](const stop_record &entry) {
            return entry.until;
        });
    }
    stop_record &entry = m_stops[part];
    if (entry.until <= now) {
        entry.losses.clear(); // They have decided the stop that has ended.
    }
    entry.until = now + m_options.stopDuration * (1U << std::min(entry.count, maximumDoublings));
    ++entry.count;
    return entry;
}

void part_guard::addLosses(stop_record &entry, const suspicion &evidence) const
{
    entry.losses.insert(evidence.losses.begin(), evidence.losses.end());
    entry.contents.insert(evidence.contents.begin(), evidence.contents.end());
    entry.requiredLosses = std::min(m_options.stopThreshold, entry.losses.size());
}

std::vector<std::uint64_t> part_guard::recordAlive(upstream_key upstream, time_point aliveAt, time_point now)
{
    const auto refute = [&](loss_times &losses) {
        const auto found = losses.find(upstream);
        const bool isRefuted = found != losses.end() && found->second < aliveAt;
        if (isRefuted) {
            losses.erase(found);
        }
        return isRefuted;
    };
    for (auto entry = m_suspects.begin(); entry != m_suspects.end();) {
        const bool isCleared = refute(entry->second.losses) && entry->second.losses.empty();
        entry = isCleared ? m_suspects.erase(entry) : std::next(entry);
    }
    (void)refute(m_explained);
    std::erase_if(m_reportedLosses, [&](const auto &entry) {
        return entry.second.upstream == upstream && entry.first < aliveAt;
    });
    std::vector<std::uint64_t> released;
    for (auto &[part, entry] : m_stops) {
        if (refute(entry.losses) && entry.until > now && entry.losses.size() < entry.requiredLosses) {
            released.push_back(part);
        }
    }
    for (const std::uint64_t part : released) {
        release(part, now);
    }
    return released;
}

/// Ends a stop that its losses do not justify any more. They make the part a suspect again, as before the stop.
void part_guard::release(std::uint64_t part, time_point now)
{
    m_locallyStopped.erase(part);
    stop_record &entry = m_stops.at(part);
    const loss_times losses = std::exchange(entry.losses, {});
    if (!losses.empty()) {
        suspicion &suspect = m_suspects[part];
        suspect.losses.insert(losses.begin(), losses.end());
        suspect.contents.insert(entry.contents.begin(), entry.contents.end());
        suspect.lostAt = now;
    }
    for (const auto &[upstream, at] : losses) {
        m_explained.erase(upstream);
    }
    entry.until = now;
    if (--entry.count == 0) {
        m_stops.erase(part);
    }
}

/// Takes the loss of an upstream from all suspects, since a stopped part explains it.
void part_guard::explain(upstream_key upstream, time_point now)
{
    if (!m_explained.contains(upstream)) {
        makeRoom(m_explained, m_options.maximumParts, [](time_point at) {
            return at;
        });
    }
    m_explained[upstream] = now;
    for (auto entry = m_suspects.begin(); entry != m_suspects.end();) {
        entry->second.losses.erase(upstream);
        entry = entry->second.losses.empty() ? m_suspects.erase(entry) : std::next(entry);
    }
}

bool part_guard::isProven(std::uint64_t part, time_point now) const
{
    const auto isRecent = [&](const std::unordered_map<std::uint64_t, time_point> &proofs) {
        const auto found = proofs.find(part);
        return found != proofs.end() && now - found->second < m_options.proofDuration;
    };
    return isRecent(m_proofs) || isRecent(m_olderProofs);
}

void part_guard::markProven(std::uint64_t part, time_point now)
{
    if (now - m_proofsSince >= m_options.proofDuration || m_proofs.size() >= m_options.maximumProofs / 2) {
        m_olderProofs = std::move(m_proofs);
        m_proofs.clear();
        m_proofsSince = now;
    }
    m_proofs[part] = now;
}

/// Ends the suspicion and the stop of a part. Returns whether there was one.
bool part_guard::clear(std::uint64_t part)
{
    m_locallyStopped.erase(part);
    const bool wasSuspected = m_suspects.erase(part) > 0;
    const auto found = m_stops.find(part);
    if (found == m_stops.end()) {
        return wasSuspected;
    }
    const std::set<std::uint64_t> others = std::move(found->second.together);
    m_stops.erase(found);
    for (const std::uint64_t other : others) {
        const auto entry = m_stops.find(other);
        if (entry != m_stops.end()) {
            entry->second.together.erase(part);
        }
    }
    return true;
}

void part_guard::recordProof(const prompt_run &run, time_point now)
{
    for (const std::uint64_t part : run.parts) {
        markProven(part, now);
        if (clear(part)) {
            reportProof(part, now);
        }
    }
}

void part_guard::recordRemoteProofs(const std::vector<std::uint64_t> &parts, bool forward, time_point now)
{
    for (const std::uint64_t part : parts) {
        markProven(part, now);
        if (clear(part) && forward) {
            reportProof(part, now);
        }
    }
}

void part_guard::recordUnanswered(const prompt_run &run, upstream_key upstream, time_point now)
{
    if (run.parts.empty()) {
        return;
    }
    if (m_unanswered.size() >= m_options.maximumParts) {
        m_unanswered.pop_front();
    }
    m_unanswered.push_back({.run = run, .upstream = upstream, .at = now});
}

std::vector<std::uint64_t> part_guard::recordUpstreamEnd(upstream_key upstream, time_point now)
{
    std::vector<prompt_run> lost;
    std::deque<unanswered_run> others;
    for (unanswered_run &entry : m_unanswered) {
        if (now - entry.at >= m_options.unansweredRetention) {
            continue;
        }
        if (entry.upstream == upstream) {
            lost.push_back(std::move(entry.run));
        } else {
            others.push_back(std::move(entry));
        }
    }
    m_unanswered = std::move(others);
    std::vector<std::uint64_t> stopped;
    for (const prompt_run &run : lost) {
        const std::vector<std::uint64_t> parts = recordLoss(run, upstream, now);
        stopped.insert(stopped.end(), parts.begin(), parts.end());
    }
    return stopped;
}

bool part_guard::isStopped(std::uint64_t part, time_point now) const
{
    const auto found = m_stops.find(part);
    return found != m_stops.end() && found->second.until > now;
}

std::optional<time_point> part_guard::stoppedUntil(const prompt_run &run, time_point now) const
{
    const auto holds = [&](std::uint64_t part) {
        return std::find(run.parts.begin(), run.parts.end(), part) != run.parts.end();
    };
    std::optional<time_point> until;
    for (const std::uint64_t part : run.parts) {
        const auto found = m_stops.find(part);
        if (found != m_stops.end() && found->second.until > now
            && std::all_of(found->second.together.begin(), found->second.together.end(), holds)) {
            until = std::max(until.value_or(now), found->second.until);
        }
    }
    return until;
}

void part_guard::stop(std::uint64_t part,
                      const std::set<std::uint64_t> &together,
                      time_point now,
                      const std::set<upstream_key> &lostUpstreams)
{
    if (isProven(part, now)) {
        reportProof(part, now);
        return;
    }
    if (isStopped(part, now)) {
        std::erase_if(m_stops.at(part).together, [&](std::uint64_t other) {
            return !together.contains(other);
        });
        return;
    }
    stop_record &entry = renewStop(part, now);
    for (const std::uint64_t other : together) {
        if (!isProven(other, now)) {
            entry.together.insert(other);
        }
    }
    const auto suspect = m_suspects.find(part);
    suspicion evidence;
    if (suspect != m_suspects.end()) {
        evidence = std::move(suspect->second);
        m_suspects.erase(suspect);
    }
    for (const auto &[upstream, at] : evidence.losses) {
        explain(upstream, now);
    }
    if (!lostUpstreams.empty()) {
        for (const upstream_key upstream : lostUpstreams) {
            evidence.losses.try_emplace(upstream, now);
        }
        addLosses(entry, evidence);
    }
}

std::set<std::uint64_t> part_guard::stoppedTogetherWith(std::uint64_t part) const
{
    const auto found = m_stops.find(part);
    return found == m_stops.end() ? std::set<std::uint64_t>() : found->second.together;
}

std::set<upstream_key> part_guard::stoppedBecauseOf(std::uint64_t part) const
{
    std::set<upstream_key> result;
    const auto found = m_stops.find(part);
    if (found != m_stops.end()) {
        for (const auto &[upstream, at] : found->second.losses) {
            result.insert(upstream);
        }
    }
    return result;
}

std::vector<quarantined_fingerprint> part_guard::stopped(time_point now) const
{
    std::vector<quarantined_fingerprint> result;
    for (const auto &[part, entry] : m_stops) {
        if (entry.until > now) {
            result.push_back({.fingerprint = part, .until = entry.until});
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::size_t part_guard::lossCount(std::uint64_t part) const
{
    const auto found = m_suspects.find(part);
    return found == m_suspects.end() ? 0 : found->second.losses.size();
}

void part_guard::forgetOld(time_point now)
{
    std::erase_if(m_suspects, [&](const auto &entry) {
        return now - entry.second.lostAt >= m_options.stopDuration;
    });
    std::erase_if(m_explained, [&](const auto &entry) {
        return now - entry.second >= m_options.stopDuration;
    });
    std::erase_if(m_stops, [&](const auto &entry) {
        return now - entry.second.until >= m_options.stopDuration;
    });
    std::erase_if(m_locallyStopped, [&](std::uint64_t part) {
        return !isStopped(part, now);
    });
}

/// Reports the losses of one run, all or none: with a part left out, the others would seem to have been lost without it.
void part_guard::reportLosses(const std::vector<part_loss> &losses, time_point now)
{
    expireReports(m_reportedLosses, m_options.reportPeriod, now);
    if (m_reportedLosses.size() + losses.size() <= m_options.maximumReported) {
        for (const part_loss &loss : losses) {
            m_reportedLosses.emplace_back(now, loss);
        }
    }
}

void part_guard::reportProof(std::uint64_t part, time_point now)
{
    expireReports(m_reportedProofs, m_options.reportPeriod, now);
    const bool isReported = std::any_of(m_reportedProofs.begin(), m_reportedProofs.end(), [&](const auto &entry) {
        return entry.second == part;
    });
    if (!isReported && m_reportedProofs.size() < m_options.maximumReported) {
        m_reportedProofs.emplace_back(now, part);
    }
}

std::vector<part_loss> part_guard::lossesToReport(time_point now)
{
    expireReports(m_reportedLosses, m_options.reportPeriod, now);
    std::vector<part_loss> result;
    result.reserve(m_reportedLosses.size());
    for (const auto &[at, loss] : m_reportedLosses) {
        result.push_back(loss);
    }
    return result;
}

std::vector<std::uint64_t> part_guard::proofsToReport(time_point now)
{
    expireReports(m_reportedProofs, m_options.reportPeriod, now);
    std::vector<std::uint64_t> result;
    result.reserve(m_reportedProofs.size());
    for (const auto &[at, part] : m_reportedProofs) {
        result.push_back(part);
    }
    return result;
}

} // namespace banyan
