#include "banyan/core/serving/path_monitor.h"

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

constexpr std::size_t witnessesOfLoss = 3; ///< Paths that are probed at once when one is lost, to learn how far the loss goes.
constexpr std::size_t probesAtOnce = 4;
constexpr duration shortestWait = std::chrono::milliseconds(20); ///< Between two looks at what is silent.

} // namespace

path_monitor::path_monitor(const path_options &options)
    : m_options(options)
{
}

void path_monitor::setUpstreams(std::span<const replica> upstreams)
{
    std::set<upstream_id> registered;
    for (const replica &upstream : upstreams) {
        registered.insert(upstream.id);
        path &entry = m_paths.try_emplace(upstream.id, path{.probePause = m_options.lostProbeSpacing}).first->second;
        entry.domain = upstream.domain;
    }
    std::erase_if(m_paths, [&](const member &entry) {
        return !registered.contains(entry.first);
    });
    const auto count = [this](bool path::*flag) {
        return static_cast<std::size_t>(std::count_if(m_paths.begin(), m_paths.end(), [&](const member &entry) {
            return entry.second.*flag;
        }));
    };
    m_lost = count(&path::lost);
    m_probing = count(&path::probing);
}

void path_monitor::waits(run_number run, const upstream_id &upstream, time_point now)
{
    m_waiting[run] = {.upstream = upstream, .since = now};
}

void path_monitor::heard(run_number run, time_point now)
{
    const auto waiting = m_waiting.find(run);
    if (waiting == m_waiting.end()) {
        return;
    }
    waiting->second.since = now;
    m_heardAt = now;
    const auto entry = m_paths.find(waiting->second.upstream);
    if (entry != m_paths.end()) {
        entry->second.heardAt = now;
    }
}

void path_monitor::ended(run_number run)
{
    m_waiting.erase(run);
}

void path_monitor::connected(const upstream_id &upstream, time_point startedAt, duration allowed, connect_outcome outcome, time_point now)
{
    const auto entry = m_paths.find(upstream);
    if (entry == m_paths.end()) {
        return;
    }
    path &concerned = entry->second;
    if (std::exchange(concerned.probing, false)) {
        --m_probing;
    }
    if (outcome == connect_outcome::Established) {
        open(upstream, concerned, startedAt, now);
        return;
    }
    const bool timedOut = outcome == connect_outcome::TimedOut;
    const bool stoodStill = timedOut && now - startedAt > allowed + m_options.stall;
    const bool isOutdated = timedOut && concerned.heardAt && *concerned.heardAt > startedAt + m_options.freshness;
    if (!stoodStill && !isOutdated) {
        lose(upstream, concerned, startedAt, outcome, now);
    }
}

/// Records an established connection. Paths that were lost on the evidence of others only are open with it.
void path_monitor::open(const upstream_id &upstream, path &opened, time_point startedAt, time_point now)
{
    opened.provenAt = std::max(opened.provenAt, std::optional(startedAt));
    opened.heardAt = now;
    m_heardAt = now;
    opened.failedAt.reset();
    opened.probePause = m_options.lostProbeSpacing;
    m_witnesses = 0;
    if (!opened.lost) {
        return;
    }
    path_change change{.evidence = upstream.text() + " connected"};
    const bool allWereLost = m_lost == m_paths.size();
    for (auto &[id, other] : m_paths) {
        const bool wasInferred = other.lost && !other.failedAt;
        if (id == upstream || (wasInferred && (allWereLost || other.domain == opened.domain))) {
            other.lost = false;
            other.lostByGroup = false;
            change.upstreams.push_back(id);
        }
    }
    m_lost -= change.upstreams.size();
    m_rechecks = m_lost;
    change.isOfGroup = change.upstreams.size() > 1;
    m_changes.push_back(std::move(change));
}

void path_monitor::lose(const upstream_id &upstream, path &failed, time_point startedAt, connect_outcome outcome, time_point now)
{
    failed.evidence = upstream.text() + (outcome == connect_outcome::Refused ? " refused" : " timed out");
    if (!failed.lost) {
        failed.lost = true;
        ++m_lost;
        m_witnesses = witnessesOfLoss;
        m_changes.push_back({.upstreams = {upstream}, .isLost = true, .evidence = failed.evidence});
    }
    failed.probePause = std::min(2 * failed.probePause, m_options.longestPause);
    if (!failed.failedAt) {
        failed.failedAt = startedAt;
    }
    reviewGroup(&failed.domain, now);
    reviewGroup(nullptr, now);
}

/// Counts the silent paths of a group (all paths if @p domain is null) as lost if enough of its paths have failed and nothing was
/// heard from it since.
void path_monitor::reviewGroup(const failure_domain *domain, time_point now)
{
    std::vector<member *> members;
    std::optional<time_point> heardAt;
    std::optional<time_point> provenAt;
    for (member &entry : m_paths) {
        if (domain == nullptr || entry.second.domain == *domain) {
            members.push_back(&entry);
            heardAt = std::max(heardAt, entry.second.heardAt);
            provenAt = std::max(provenAt, entry.second.provenAt);
        }
    }
    // A group that is heard has no common loss, however many of its upstreams refuse at the same time.
    if (heardAt && now - *heardAt < m_options.generalSilence) {
        return;
    }
    path_change change{.isLost = true, .isOfGroup = true};
    std::size_t failures = 0;
    std::set<failure_domain> failedDomains;
    for (const member *const entry : members) {
        const path &candidate = entry->second;
        change.upstreams.push_back(entry->first);
        const bool isRecent = candidate.failedAt && now - *candidate.failedAt <= m_options.evidenceTime;
        const bool isRefuted = provenAt && candidate.failedAt && *provenAt >= *candidate.failedAt;
        if (isRecent && !isRefuted && (!heardAt || *heardAt <= *candidate.failedAt + m_options.freshness)) {
            ++failures;
            failedDomains.insert(candidate.domain);
            change.evidence.append(change.evidence.empty() ? "" : ", ").append(candidate.evidence);
        }
    }
    const bool isOfOneDomain = domain == nullptr && failedDomains.size() < 2; // Speaks for that domain only.
    if (failures < m_options.corroboration || isOfOneDomain) {
        return;
    }
    std::size_t inferred = 0;
    bool isNews = false;
    for (member *const entry : members) {
        isNews = !std::exchange(entry->second.lostByGroup, true) || isNews;
        inferred += std::exchange(entry->second.lost, true) ? 0 : 1;
    }
    m_lost += inferred;
    m_witnesses = inferred > 0 ? witnessesOfLoss : m_witnesses;
    if (isNews) {
        m_changes.push_back(std::move(change));
    }
}

bool path_monitor::isLost(const upstream_id &upstream) const
{
    const auto entry = m_paths.find(upstream);
    return entry != m_paths.end() && entry->second.lost;
}

bool path_monitor::isDoubtful(const upstream_id &upstream) const
{
    const auto entry = m_paths.find(upstream);
    return entry != m_paths.end() && (entry->second.lost || entry->second.probing);
}

bool path_monitor::isLostAlone(const upstream_id &upstream) const
{
    const auto entry = m_paths.find(upstream);
    return entry != m_paths.end() && entry->second.failedAt && m_heardAt && *m_heardAt > *entry->second.failedAt;
}

std::vector<upstream_id> path_monitor::lost() const
{
    std::vector<upstream_id> result;
    if (m_lost == 0) {
        return result; // Asked for each report.
    }
    for (const auto &[id, entry] : m_paths) {
        if (entry.lost) {
            result.push_back(id);
        }
    }
    return result;
}

duration path_monitor::spacing() const
{
    return m_lost > 0 ? m_options.lostProbeSpacing : m_options.probeSpacing;
}

/// The upstream that has owed a byte for longest, if that is long enough.
std::optional<upstream_id> path_monitor::silentUpstream(time_point now) const
{
    const waiting_run *longest = nullptr;
    for (const auto &[number, run] : m_waiting) {
        const auto entry = m_paths.find(run.upstream);
        const bool othersAreHeard = m_heardAt && now - *m_heardAt < m_options.generalSilence;
        const bool wasProbed = entry != m_paths.end() && entry->second.probedAt && now - *entry->second.probedAt < m_options.ownPause;
        const bool isCandidate = entry != m_paths.end() && !entry->second.lost && !entry->second.probing && !(othersAreHeard && wasProbed);
        const time_point silentSince = isCandidate ? std::max(run.since, entry->second.heardAt.value_or(run.since)) : now;
        const duration enough = othersAreHeard ? m_options.ownSilence : m_options.generalSilence;
        if (isCandidate && now - silentSince >= enough && (longest == nullptr || run.since < longest->since)) {
            longest = &run;
        }
    }
    return longest == nullptr ? std::nullopt : std::optional(longest->upstream);
}

/// The lost path that was probed longest ago, once its time has come. Paths that were lost on the evidence of others only come first:
/// they are the likeliest to work, and each is probed once before it has either failed itself or is open.
std::optional<upstream_id> path_monitor::nextLost(bool isRecheck, time_point now) const
{
    const auto rankOf = [](const path &lost) {
        return std::pair(lost.failedAt.has_value(), lost.probedAt);
    };
    const member *next = nullptr;
    if (m_lost == 0) {
        return std::nullopt;
    }
    for (const member &entry : m_paths) {
        const path &candidate = entry.second;
        const bool isDue =
            !candidate.probedAt || now - *candidate.probedAt >= (isRecheck ? m_options.lostProbeSpacing : candidate.probePause);
        if (candidate.lost && !candidate.probing && isDue && (next == nullptr || rankOf(candidate) < rankOf(next->second))) {
            next = &entry;
        }
    }
    return next == nullptr ? std::nullopt : std::optional(next->first);
}

/// An open path that was heard longest ago, to learn how far a loss goes. Paths that are waited on come first.
std::optional<upstream_id> path_monitor::nextWitness(time_point now) const
{
    const member *next = nullptr;
    for (const member &entry : m_paths) {
        const path &candidate = entry.second;
        const bool isFresh = candidate.heardAt && now - *candidate.heardAt < m_options.freshness;
        if (!candidate.lost && !candidate.probing && !isFresh && (next == nullptr || candidate.heardAt < next->second.heardAt)) {
            next = &entry;
        }
    }
    return next == nullptr ? std::nullopt : std::optional(next->first);
}

/// Adds a probe, if there is an upstream to probe.
bool path_monitor::probe(const std::optional<upstream_id> &upstream, time_point now, std::vector<upstream_id> &probes)
{
    if (!upstream) {
        return false;
    }
    path &probed = m_paths.at(*upstream);
    probed.probing = true;
    probed.probedAt = now;
    ++m_probing;
    m_probedAt = now;
    probes.push_back(*upstream);
    return true;
}

std::vector<upstream_id> path_monitor::takeProbes(time_point now)
{
    std::vector<upstream_id> probes;
    const bool isDue = !m_probedAt || now - *m_probedAt >= spacing();
    while (m_witnesses > 0 && m_probing < probesAtOnce) {
        m_witnesses = probe(nextWitness(now), now, probes) ? m_witnesses - 1 : 0;
    }
    while (m_rechecks > 0 && m_probing < probesAtOnce) {
        m_rechecks = probe(nextLost(true, now), now, probes) ? m_rechecks - 1 : 0;
    }
    for (std::size_t silent = 0; isDue && silent < m_options.corroboration && m_probing < probesAtOnce; ++silent) {
        if (!probe(silentUpstream(now), now, probes)) {
            break;
        }
    }
    if (isDue && m_probing < probesAtOnce) { // Also beside silent ones, or a run that stays silent would keep all others from it.
        (void)probe(nextLost(false, now), now, probes);
    }
    return probes;
}

std::optional<time_point> path_monitor::nextWakeUp(time_point now) const
{
    if (m_lost == 0 && m_waiting.empty()) {
        return std::nullopt;
    }
    if (m_witnesses + m_rechecks > 0 && m_probing < probesAtOnce) {
        return now;
    }
    const time_point due = m_probedAt ? *m_probedAt + spacing() : now;
    const time_point silent = m_lost > 0 ? due : m_heardAt.value_or(now) + m_options.generalSilence;
    return std::max({due, silent, now + shortestWait});
}

std::vector<path_change> path_monitor::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace banyan
