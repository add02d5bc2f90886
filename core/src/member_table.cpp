#include "banyan/core/member_table.h"

#include <algorithm>
#include <cmath>
#include <compare>

namespace banyan {

namespace {

/// Time between checks for dead nodes whose retention has ended.
constexpr duration removalInterval = std::chrono::seconds(10);

/// Fleet size up to which a suspicion lasts for baseSuspicionTimeout.
constexpr double referenceFleetSize = 10;

/// Whether @p update is newer than @p existing or adds a departure or leaving to it.
bool hasNewInformation(const member_update &update, const member_update &existing)
{
    if (existing.state == member_state::Left) {
        return false;
    }
    if (update.state == member_state::Left || (update.leaving && !existing.leaving)) {
        return true;
    }
    const auto order = update.incarnation <=> existing.incarnation;
    return order > 0 || (order == 0 && update.state > existing.state);
}

bool acceptsWork(const member_update &update)
{
    return isRunning(update.state) && !update.leaving;
}

/// Merges two updates: the higher incarnation wins, then the later state; a departure and leaving are never reset.
member_update mergedUpdate(const member_update &existing, const member_update &update)
{
    member_update result = existing;
    const auto order = update.incarnation <=> existing.incarnation;
    if (update.state == member_state::Left) {
        result.state = member_state::Left;
    } else if (order > 0) {
        result = update;
    } else if (order == 0) {
        result.state = std::max(existing.state, update.state);
    }
    result.leaving = existing.leaving || update.leaving;
    return result;
}

} // namespace

member_table::member_table(const member_table_options &options)
    : m_options(options)
{
}

member_change member_table::merge(const member_update &update, time_point now)
{
    const auto found = m_members.find(update.node.id);
    if (found == m_members.end()) {
        return add(update, now);
    }
    member &existing = found->second;
    if (!hasNewInformation(update, existing.latest)) {
        return member_change::None;
    }
    member_update accepted = mergedUpdate(existing.latest, update);
    if (accepted.state == member_state::Dead && existing.latest.state == member_state::Alive) {
        accepted.state = member_state::Suspect;
    }
    return replace(existing, accepted, now);
}

member_change member_table::declareDead(const node_id &id, time_point now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end() || !isRunning(found->second.latest.state)) {
        return member_change::None;
    }
    member_update update = found->second.latest;
    update.state = member_state::Dead;
    return replace(found->second, update, now);
}

member_change member_table::add(const member_update &update, time_point now)
{
    if (m_members.size() >= m_options.maximumMembers) {
        return member_change::None;
    }
    member &added = m_members[update.node.id];
    added.latest = update;
    added.changed = now;
    if (!isRunning(update.state)) {
        return member_change::None;
    }
    setRunning(added, true);
    trackSuspicion(update, now);
    return member_change::ViewChanged;
}

member_change member_table::replace(member &existing, const member_update &update, time_point now)
{
    const bool viewChanges =
        acceptsWork(existing.latest) != acceptsWork(update) || isRunning(existing.latest.state) != isRunning(update.state);
    const bool suspicionChanges = existing.latest.state != update.state || existing.latest.incarnation != update.incarnation;
    if (isRunning(existing.latest.state) != isRunning(update.state)) {
        setRunning(existing, isRunning(update.state));
    }
    existing.latest = update;
    existing.changed = now;
    if (suspicionChanges) {
        trackSuspicion(update, now);
    }
    return viewChanges ? member_change::ViewChanged : member_change::Updated;
}

void member_table::setRunning(member &entry, bool running)
{
    if (running) {
        entry.runningIndex = m_running.size();
        m_running.push_back(entry.latest.node.id);
        return;
    }
    m_members.at(m_running.back()).runningIndex = entry.runningIndex;
    m_running[entry.runningIndex] = m_running.back();
    m_running.pop_back();
}

void member_table::trackSuspicion(const member_update &update, time_point now)
{
    if (update.state == member_state::Suspect) {
        m_suspicions[update.node.id] = now + suspicionTimeout();
    } else {
        m_suspicions.erase(update.node.id);
    }
}

std::vector<member_update> member_table::expire(time_point now)
{
    std::vector<node_id> due;
    for (const auto &[id, end] : m_suspicions) {
        if (end <= now) {
            due.push_back(id);
        }
    }
    std::vector<member_update> result;
    for (const node_id &id : due) {
        declareDead(id, now);
        result.push_back(m_members.at(id).latest);
    }
    removeExpiredDead(now);
    return result;
}

void member_table::removeExpiredDead(time_point now)
{
    if (now < m_nextRemoval) {
        return;
    }
    m_nextRemoval = now + removalInterval;
    std::erase_if(m_members, [&](const auto &entry) {
        const member &existing = entry.second;
        return !isRunning(existing.latest.state) && existing.changed + m_options.deadRetention <= now;
    });
}

std::optional<time_point> member_table::nextExpiry() const
{
    std::optional<time_point> result;
    for (const auto &entry : m_suspicions) {
        result = result ? std::min(*result, entry.second) : entry.second;
    }
    return result;
}

void member_table::extendSuspicions(duration extra)
{
    for (auto &entry : m_suspicions) {
        entry.second += extra;
    }
}

const member_update *member_table::find(const node_id &id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second.latest;
}

std::vector<member_update> member_table::page(const node_id &after, std::size_t bytes) const
{
    std::vector<member_update> result;
    for (auto entry = m_members.upper_bound(after); entry != m_members.end(); ++entry) {
        const member_update &update = entry->second.latest;
        if (!isRunning(update.state)) {
            continue;
        }
        const std::size_t size = encodedSize(update);
        if (size > bytes) {
            break;
        }
        bytes -= size;
        result.push_back(update);
    }
    return result;
}

std::vector<member_update> member_table::runningUpdates() const
{
    std::vector<member_update> result;
    result.reserve(m_running.size());
    for (const auto &entry : m_members) {
        if (isRunning(entry.second.latest.state)) {
            result.push_back(entry.second.latest);
        }
    }
    return result;
}

duration member_table::suspicionTimeout() const
{
    const double nodes = static_cast<double>(m_running.size() + 1);
    const double factor = std::max(1.0, std::log10(nodes) / std::log10(referenceFleetSize));
    return std::chrono::duration_cast<duration>(m_options.baseSuspicionTimeout * factor);
}

} // namespace banyan
