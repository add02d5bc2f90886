#include "waiting_runs.h"

#include <algorithm>
#include <tuple>

namespace banyan {

bool waiting_runs::head::operator<(const head &other) const
{
    return std::tie(start, target, sequence) < std::tie(other.start, other.target, other.sequence);
}

waiting_runs::run_kind waiting_runs::kindOf(const slot_request &request)
{
    run_kind kind{.version = request.version, .repeatable = request.repeatable, .excluded = request.excluded};
    std::sort(kind.excluded.begin(), kind.excluded.end());
    return kind;
}

void waiting_runs::add(const slot_request &request, bool late, time_point expiresAt, double cost)
{
    const entry added{.request = request,
                      .level = {.late = late, .priority = request.priority},
                      .kind = kindOf(request),
                      .sequence = ++m_lastSequence,
                      .expiresAt = expiresAt,
                      .cost = cost};
    const entry &stored = m_entries.insert_or_assign(request.id, added).first->second;
    m_expiries.emplace(std::pair(expiresAt, stored.sequence), &stored);
    m_lateCount += late ? 1 : 0;
    insert(m_levels[stored.level], stored);
}

void waiting_runs::insert(level_queue &level, const entry &run)
{
    caller_queue &queue = level.callers[run.request.caller];
    if (queue.waiting == 0) {
        level.idle.erase({queue.start, run.request.caller});
        queue.start = std::max(queue.start, level.virtualTime);
    }
    removeHead(level, queue, run.kind);
    queue.lanes[run.kind].emplace(std::pair(run.request.target, run.sequence), &run);
    addHead(level, queue, run.kind);
    changeCount(level, run.request.caller, queue, 1);
}

void waiting_runs::erase(level_queue &level, const entry &run)
{
    caller_queue &queue = level.callers.at(run.request.caller);
    removeHead(level, queue, run.kind);
    lane &runs = queue.lanes.at(run.kind);
    runs.erase({run.request.target, run.sequence});
    if (runs.empty()) {
        queue.lanes.erase(run.kind);
    }
    addHead(level, queue, run.kind);
    changeCount(level, run.request.caller, queue, -1);
}

void waiting_runs::changeCount(level_queue &level, caller_key caller, caller_queue &queue, int change)
{
    if (queue.waiting > 0) {
        level.byCount.erase({queue.waiting, caller});
    }
    if (change > 0) {
        level.callersWithMore.resize(std::max(level.callersWithMore.size(), queue.waiting + 1));
        ++level.callersWithMore[queue.waiting++];
        ++level.waiting;
    } else {
        --level.callersWithMore[--queue.waiting];
        --level.waiting;
    }
    if (queue.waiting > 0) {
        level.byCount.emplace(queue.waiting, caller);
    }
}

void waiting_runs::addHead(level_queue &level, const caller_queue &queue, const run_kind &kind)
{
    const auto found = queue.lanes.find(kind);
    if (found != queue.lanes.end()) {
        const entry *const first = found->second.begin()->second;
        level.heads[kind].insert({.start = queue.start, .target = first->request.target, .sequence = first->sequence, .run = first});
    }
}

void waiting_runs::removeHead(level_queue &level, const caller_queue &queue, const run_kind &kind)
{
    const auto found = queue.lanes.find(kind);
    if (found == queue.lanes.end()) {
        return;
    }
    const entry *const first = found->second.begin()->second;
    std::set<head> &heads = level.heads.at(kind);
    heads.erase({.start = queue.start, .target = first->request.target, .sequence = first->sequence});
    if (heads.empty()) {
        level.heads.erase(kind);
    }
}

void waiting_runs::removeEntry(std::map<request_id, entry>::iterator found)
{
    const entry &removed = found->second;
    const auto level = m_levels.find(removed.level);
    erase(level->second, removed);
    const caller_queue &queue = level->second.callers.at(removed.request.caller);
    if (queue.waiting == 0) {
        level->second.idle.emplace(queue.start, removed.request.caller);
    }
    forgetIdle(level->second);
    if (level->second.waiting == 0) {
        m_levels.erase(level);
    }
    m_expiries.erase({removed.expiresAt, removed.sequence});
    m_lateCount -= removed.level.late ? 1 : 0;
    m_entries.erase(found);
}

/// Removes callers that have had no more than the others: they are equivalent to callers that are not known.
void waiting_runs::forgetIdle(level_queue &level)
{
    while (!level.idle.empty() && level.idle.begin()->first <= level.virtualTime) {
        level.callers.erase(level.idle.begin()->second);
        level.idle.erase(level.idle.begin());
    }
}

std::optional<slot_request> waiting_runs::remove(const request_id &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    slot_request removed = std::move(found->second.request);
    found->second.request = {.id = removed.id, .target = removed.target, .caller = removed.caller};
    removeEntry(found);
    return removed;
}

slot_request waiting_runs::take(const request_id &id)
{
    const entry &taken = m_entries.at(id);
    level_queue &level = m_levels.at(taken.level);
    caller_queue &queue = level.callers.at(taken.request.caller);
    for (const auto &[kind, runs] : queue.lanes) {
        removeHead(level, queue, kind);
    }
    level.virtualTime = std::max(level.virtualTime, queue.start);
    queue.start += taken.cost;
    for (const auto &[kind, runs] : queue.lanes) {
        addHead(level, queue, kind);
    }
    const bool isLeastUrgent =
        taken.level.late || std::next(m_levels.find(taken.level)) == m_levels.end() || std::next(m_levels.find(taken.level))->first.late;
    const bool isTurnOfLeastUrgent = m_grantsPastLeastUrgent + 1 >= starvationInterval;
    m_grantsPastLeastUrgent = isLeastUrgent || isTurnOfLeastUrgent ? 0 : m_grantsPastLeastUrgent + 1;
    return *remove(id);
}

const slot_request *waiting_runs::firstExpired(time_point now) const
{
    const bool hasExpired = !m_expiries.empty() && m_expiries.begin()->first.first <= now;
    return hasExpired ? &m_expiries.begin()->second->request : nullptr;
}

std::optional<time_point> waiting_runs::nextExpiry() const
{
    return m_expiries.empty() ? std::nullopt : std::optional(m_expiries.begin()->first.first);
}

const waiting_runs::entry *waiting_runs::firstOf(const level_queue &level, const std::set<run_kind> &blocked)
{
    const head *first = nullptr;
    for (const auto &[kind, heads] : level.heads) {
        if (!blocked.contains(kind) && (first == nullptr || *heads.begin() < *first)) {
            first = &*heads.begin();
        }
    }
    return first == nullptr ? nullptr : first->run;
}

const slot_request *waiting_runs::next(const std::set<run_kind> &blocked) const
{
    const entry *mostUrgent = nullptr;
    const entry *leastUrgent = nullptr; // Of those that can meet their target.
    for (const auto &[level, queue] : m_levels) {
        if (mostUrgent != nullptr && (level.late || m_grantsPastLeastUrgent + 1 < starvationInterval)) {
            break;
        }
        if (const entry *const first = firstOf(queue, blocked)) {
            mostUrgent = mostUrgent == nullptr ? first : mostUrgent;
            leastUrgent = first;
        }
    }
    const entry *const chosen = m_grantsPastLeastUrgent + 1 >= starvationInterval ? leastUrgent : mostUrgent;
    return chosen == nullptr ? nullptr : &chosen->request;
}

/// Counts for each caller at most as many runs as the given one has: fair queuing serves them in turn.
double waiting_runs::aheadInLevel(const level_queue &level, const caller_queue &queue)
{
    if (level.byCount.size() == 1) {
        return static_cast<double>(queue.waiting);
    }
    double ahead = 0;
    for (std::size_t round = 0; round < queue.waiting; ++round) {
        ahead += static_cast<double>(level.callersWithMore[round]);
    }
    return ahead;
}

double waiting_runs::aheadOf(const request_id &id) const
{
    const entry &run = m_entries.at(id);
    double moreUrgent = 0;
    double ahead = 0;
    for (const auto &[level, queue] : m_levels) {
        if (level == run.level) {
            ahead = aheadInLevel(queue, queue.callers.at(run.request.caller));
            break;
        }
        moreUrgent += static_cast<double>(queue.waiting);
    }
    return run.level.late ? moreUrgent + ahead : std::min(moreUrgent + ahead, ahead * starvationInterval);
}

const slot_request *waiting_runs::lessEntitledThan(const request_id &id) const
{
    const entry &run = m_entries.at(id);
    auto level = m_levels.rbegin();
    while (level != m_levels.rend() && level->first.late) {
        ++level;
    }
    if (level == m_levels.rend() || level->first < run.level) {
        return nullptr;
    }
    const auto [count, caller] = *level->second.byCount.rbegin();
    if (level->first == run.level && count <= level->second.callers.at(run.request.caller).waiting) {
        return nullptr;
    }
    const entry *last = nullptr;
    for (const auto &[kind, runs] : level->second.callers.at(caller).lanes) {
        const entry *const candidate = runs.rbegin()->second;
        if (last == nullptr || std::tie(last->request.target, last->sequence) < std::tie(candidate->request.target, candidate->sequence)) {
            last = candidate;
        }
    }
    return &last->request;
}

bool waiting_runs::contains(const request_id &id) const
{
    return m_entries.contains(id);
}

std::size_t waiting_runs::waitingOf(const request_id &id) const
{
    const entry &run = m_entries.at(id);
    return m_levels.at(run.level).callers.at(run.request.caller).waiting;
}

std::size_t waiting_runs::callersBeside(const request_id &id) const
{
    return m_levels.at(m_entries.at(id).level).byCount.size();
}

} // namespace banyan
