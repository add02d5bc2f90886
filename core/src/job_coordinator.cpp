#include "banyan/core/job_coordinator.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyan {

namespace {

std::vector<std::uint32_t> firstItemsOf(const std::vector<std::uint32_t> &itemsPerPart)
{
    std::vector<std::uint32_t> firstItems;
    firstItems.reserve(itemsPerPart.size());
    std::uint32_t first = 0;
    for (const std::uint32_t items : itemsPerPart) {
        firstItems.push_back(first);
        first += items;
    }
    return firstItems;
}

void keepEarlier(std::optional<time_point> &result, std::optional<time_point> candidate)
{
    if (candidate && (!result || *candidate < *result)) {
        result = candidate;
    }
}

} // namespace

job_coordinator::job_coordinator(job_record record, row_version version, const job_coordinator_options &options, time_point now)
    : m_options(options)
    , m_record(std::move(record))
    , m_version(version)
    , m_firstItems(firstItemsOf(m_record.itemsPerPart))
    , m_lastStartCommit(now - options.startInterval)
    , m_storeDelay(options.storeRetryDelay)
    , m_random(static_cast<std::minstd_rand::result_type>(options.seed))
{
}

job_actions job_coordinator::start(time_point now)
{
    job_actions actions;
    if (cancelling()) {
        beginCancel(actions, now);
    }
    const job_actions more = advance(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

job_actions job_coordinator::advance(time_point now)
{
    job_actions actions;
    if (m_storePhase == store_phase::Ended) {
        return actions;
    }
    handleDeadline(actions, now);
    runDueItems(actions, now);
    startItems(actions, now);
    advanceStore(actions, now);
    return actions;
}

job_actions job_coordinator::tick(time_point now)
{
    return advance(now);
}

// Items

bool job_coordinator::acceptsItems() const
{
    return m_record.status == job_state::InProgress && !m_releasing;
}

bool job_coordinator::mayStartNonRepeatable() const
{
    return m_activeNonRepeatable.size() < m_options.nonRepeatableItems;
}

bool job_coordinator::mayRunItems() const
{
    return acceptsItems() && m_leaseHeld && !m_rereadNeeded;
}

bool job_coordinator::mayStart() const
{
    const bool bufferFull = m_uncommittedBytes >= m_options.bufferedBytes || m_uncommitted.size() >= m_options.bufferedResults;
    return mayRunItems() && !bufferFull && m_activeItems < m_options.itemsInFlight && m_waiting.size() < m_options.itemsWaiting;
}

void job_coordinator::handleDeadline(job_actions &actions, time_point now)
{
    if (m_deadlinePassed || now < m_record.deadline || cancelling()) {
        return;
    }
    m_deadlinePassed = true;
    for (const auto &[item, held] : m_heldItems) {
        if (held.phase == item_phase::InFlight) {
            actions.emplace_back(cancel_item{.item = item});
        }
    }
    for (const due_item &due : std::exchange(m_waiting, {})) {
        failItem(actions, due.item, item_failure::Expired);
    }
}

void job_coordinator::runDueItems(job_actions &actions, time_point now)
{
    while (mayRunItems() && !m_waiting.empty() && m_waiting.begin()->due <= now && m_activeItems < m_options.itemsInFlight) {
        const std::uint32_t item = m_waiting.begin()->item;
        m_waiting.erase(m_waiting.begin());
        m_heldItems[item].phase = item_phase::InFlight;
        ++m_activeItems;
        actions.emplace_back(run_item{.item = item, .startCommitted = m_committedStarts.contains(item)});
    }
}

void job_coordinator::startItems(job_actions &actions, time_point now)
{
    if (m_chunkRetryAt && now >= *m_chunkRetryAt) {
        m_chunkRetryAt.reset();
    }
    while (mayStart()) {
        const auto item = nextItem(now);
        if (!item) {
            releaseChunks(actions, 0, m_firstItems.size());
            return;
        }
        const std::size_t chunk = chunkOf(*item);
        const auto found = m_chunks.find(chunk);
        if (found == m_chunks.end()) {
            if (!m_chunkRetryAt) {
                loadChunk(actions, chunk);
            }
            return;
        }
        if (found->second == chunk_state::Loading) {
            return;
        }
        startItem(actions, *item, found->second, now);
        prefetchChunk(actions, *item, chunk);
    }
}

void job_coordinator::startItem(job_actions &actions, std::uint32_t item, chunk_state state, time_point now)
{
    m_nextCandidate = item + 1;
    const bool startIsCommitted = m_committedStarts.contains(item);
    if (m_record.started.contains(item) && !startIsCommitted) {
        failItem(actions, item, item_failure::OutcomeUnknown);
    } else if (state == chunk_state::Missing) {
        failItem(actions, item, item_failure::InputMissing);
    } else if (now >= m_record.deadline) {
        failItem(actions, item, item_failure::Expired);
    } else {
        m_heldItems[item] = {};
        ++m_activeItems;
        if (startIsCommitted) {
            m_activeNonRepeatable.insert(item);
        }
        actions.emplace_back(run_item{.item = item, .startCommitted = startIsCommitted});
    }
}

void job_coordinator::failItem(job_actions &actions, std::uint32_t item, item_failure reason)
{
    m_heldItems[item].phase = item_phase::InFlight;
    ++m_activeItems;
    m_anyExpired = m_anyExpired || reason == item_failure::Expired;
    actions.emplace_back(fail_item{.item = item, .reason = reason});
}

void job_coordinator::requeueItem(job_actions &actions, std::uint32_t item)
{
    m_heldItems.erase(item);
    m_activeNonRepeatable.erase(item);
    actions.emplace_back(requeue_item{.item = item});
}

job_actions job_coordinator::startNeeded(std::uint32_t item, time_point now)
{
    const auto found = m_heldItems.find(item);
    if (found == m_heldItems.end() || found->second.phase != item_phase::InFlight) {
        return {};
    }
    job_actions actions;
    if (acceptsItems() && mayStartNonRepeatable()) {
        found->second.phase = item_phase::NeedsStart;
        m_startsToCommit.push_back(item);
        m_activeNonRepeatable.insert(item);
    } else if (acceptsItems()) {
        --m_activeItems;
        found->second.phase = item_phase::Waiting;
        m_waiting.insert({.due = now + m_options.startInterval, .item = item});
    } else {
        --m_activeItems;
        requeueItem(actions, item);
    }
    const job_actions more = advance(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

job_actions job_coordinator::itemEnded(std::uint32_t item, const item_end &end, time_point now)
{
    const auto found = m_heldItems.find(item);
    if (m_storePhase == store_phase::Ended || found == m_heldItems.end() || found->second.phase != item_phase::InFlight) {
        return {};
    }
    --m_activeItems;
    job_actions actions;
    if (end.outcome == item_outcome::Answered || end.outcome == item_outcome::Rejected) {
        finish(item, end, now);
    } else if (!acceptsItems()) {
        requeueItem(actions, item);
    } else {
        retry(actions, item, end, now);
    }
    const job_actions more = advance(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

void job_coordinator::finish(std::uint32_t item, const item_end &end, time_point now)
{
    m_heldItems.erase(item);
    m_finished.push_back({.item = item, .bytes = end.bytes, .error = end.outcome == item_outcome::Rejected});
    m_finishedBytes += end.bytes;
    m_uncommitted.insert(item);
    m_uncommittedBytes += end.bytes;
    ++m_finishedCount;
    m_nonRepeatableFinished = m_nonRepeatableFinished || m_committedStarts.contains(item);
    if (!m_oldestFinished) {
        m_oldestFinished = now;
    }
}

void job_coordinator::retry(job_actions &actions, std::uint32_t item, const item_end &end, time_point now)
{
    held_item &held = m_heldItems[item];
    if (now >= m_record.deadline) {
        failItem(actions, item, item_failure::Expired);
        return;
    }
    if (end.outcome == item_outcome::Lost) {
        ++held.lostRuns;
        if (!lostRunRetryAllowed(held)) {
            failItem(actions, item, item_failure::LostRunLimitReached);
            return;
        }
        ++m_retriedLostRuns;
    } else {
        ++held.tries;
        if (held.tries >= m_options.triesBeforeRequeue && held.lostRuns == 0) {
            requeueItem(actions, item);
            return;
        }
    }
    held.phase = item_phase::Waiting;
    m_waiting.insert({.due = now + retryDelay(held, end), .item = item});
}

bool job_coordinator::lostRunRetryAllowed(const held_item &held) const
{
    const double allowed = m_options.lostRunReserve + m_options.lostRunShare * static_cast<double>(m_finishedCount);
    return held.lostRuns < m_options.lostRunsPerItem && static_cast<double>(m_retriedLostRuns) < allowed;
}

duration job_coordinator::retryDelay(const held_item &held, const item_end &end)
{
    constexpr std::uint32_t maximumDoublings = 16;
    const std::uint32_t failedRuns = held.tries + held.lostRuns;
    const auto doublings = std::min(failedRuns > 0 ? failedRuns - 1 : 0, maximumDoublings);
    const duration whole = std::min(m_options.retryDelay * (std::int64_t(1) << doublings), m_options.maximumRetryDelay);
    std::uniform_int_distribution<std::int64_t> jitter(whole.count() / 2, whole.count());
    return std::max(duration(jitter(m_random)), end.retryAfter.value_or(duration{}));
}

std::optional<std::uint32_t> job_coordinator::nextItem(time_point now)
{
    const std::uint32_t total = m_record.total();
    for (;;) {
        m_nextCandidate = m_record.done.firstAbsent(m_nextCandidate);
        if (m_nextCandidate < total) {
            if (!m_heldItems.contains(m_nextCandidate) && !m_uncommitted.contains(m_nextCandidate)) {
                return m_nextCandidate;
            }
            ++m_nextCandidate;
            continue;
        }
        if (m_record.done.size() + m_uncommitted.size() + m_heldItems.size() >= total) {
            return std::nullopt;
        }
        if (!m_nextScan) {
            m_nextScan = now + m_options.rescanDelay;
        }
        if (now < *m_nextScan) {
            return std::nullopt;
        }
        m_nextScan.reset();
        m_nextCandidate = 0;
    }
}

// Chunks

std::size_t job_coordinator::chunkOf(std::uint32_t item) const
{
    const auto after = std::upper_bound(m_firstItems.begin(), m_firstItems.end(), item);
    return static_cast<std::size_t>(std::distance(m_firstItems.begin(), after)) - 1;
}

void job_coordinator::loadChunk(job_actions &actions, std::size_t chunk)
{
    releaseChunks(actions, 0, chunk);
    releaseChunks(actions, chunk + 1, m_firstItems.size());
    m_chunks[chunk] = chunk_state::Loading;
    actions.emplace_back(load_chunk{.chunk = chunk});
}

void job_coordinator::releaseChunks(job_actions &actions, std::size_t from, std::size_t to)
{
    const auto begin = m_chunks.lower_bound(from);
    const auto end = m_chunks.lower_bound(to);
    for (auto chunk = begin; chunk != end; ++chunk) {
        actions.emplace_back(release_chunk{.chunk = chunk->first});
    }
    m_chunks.erase(begin, end);
}

void job_coordinator::prefetchChunk(job_actions &actions, std::uint32_t item, std::size_t chunk)
{
    const std::size_t next = chunk + 1;
    const bool lastHalf = item >= m_firstItems[chunk] + m_record.itemsPerPart[chunk] / 2;
    if (!lastHalf || next >= m_firstItems.size() || m_chunks.contains(next) || m_chunkRetryAt) {
        return;
    }
    if (m_record.done.firstAbsent(m_firstItems[next]) >= m_firstItems[next] + m_record.itemsPerPart[next]) {
        return;
    }
    releaseChunks(actions, 0, chunk);
    m_chunks[next] = chunk_state::Loading;
    actions.emplace_back(load_chunk{.chunk = next});
}

job_actions job_coordinator::chunkLoaded(std::size_t chunk, time_point now)
{
    const auto found = m_chunks.find(chunk);
    if (found == m_chunks.end()) {
        return {release_chunk{.chunk = chunk}};
    }
    found->second = chunk_state::Loaded;
    return advance(now);
}

job_actions job_coordinator::chunkUnavailable(std::size_t chunk, time_point now)
{
    if (m_chunks.erase(chunk) > 0) {
        m_chunkRetryAt = now + m_options.storeRetryDelay;
    }
    return advance(now);
}

job_actions job_coordinator::chunkMissing(std::size_t chunk, time_point now)
{
    const auto found = m_chunks.find(chunk);
    if (found != m_chunks.end()) {
        found->second = chunk_state::Missing;
    }
    return advance(now);
}

// The job's row

void job_coordinator::advanceStore(job_actions &actions, time_point now)
{
    if (m_storeRetryAt) {
        if (now >= *m_storeRetryAt) {
            repeatStoreCall(actions, now);
        }
        return;
    }
    if (m_storePhase != store_phase::Idle) {
        return;
    }
    if (m_rereadNeeded) {
        sendRead(actions);
    } else if (commitDue(now)) {
        beginCommit(actions, now);
    }
}

void job_coordinator::repeatStoreCall(job_actions &actions, time_point now)
{
    m_storeRetryAt.reset();
    switch (m_storePhase) {
    case store_phase::Storing:
        sendResults(actions);
        return;
    case store_phase::Committing:
        sendCommit(actions, now);
        return;
    case store_phase::Reading:
        sendRead(actions);
        return;
    case store_phase::Idle:
    case store_phase::Ended:
        return;
    }
}

bool job_coordinator::commitDue(time_point now) const
{
    const bool resultsDue = m_finished.size() >= m_options.resultsPerCommit || m_finishedBytes >= m_options.bytesPerCommit
                            || (m_oldestFinished && now >= *m_oldestFinished + m_options.commitInterval);
    const bool startsDue = (!m_startsToCommit.empty() || m_nonRepeatableFinished) && now >= m_lastStartCommit + m_options.startInterval;
    return resultsDue || startsDue || coordinationComplete(now);
}

void job_coordinator::beginCommit(job_actions &actions, time_point now)
{
    m_pending.emplace();
    m_pending->items = std::exchange(m_finished, {});
    m_pending->starts = std::exchange(m_startsToCommit, {});
    m_finishedBytes = 0;
    m_oldestFinished.reset();
    m_resultsStored = m_pending->items.empty();
    for (const std::uint32_t item : m_pending->starts) {
        m_heldItems[item].phase = item_phase::StartPending;
    }
    if (!m_pending->starts.empty() || m_nonRepeatableFinished) {
        m_lastStartCommit = now;
    }
    m_nonRepeatableFinished = false;
    if (m_resultsStored) {
        sendCommit(actions, now);
        return;
    }
    m_pending->segment = job_segment{.fencingNumber = m_record.fencingNumber, .sequence = m_nextSequence++};
    for (const finished_item &item : m_pending->items) {
        std::uint32_t &bytes = item.error ? m_pending->segment->errorBytes : m_pending->segment->outputBytes;
        bytes += static_cast<std::uint32_t>(item.bytes);
    }
    sendResults(actions);
}

void job_coordinator::sendResults(job_actions &actions)
{
    m_storePhase = store_phase::Storing;
    store_results action{.segment = *m_pending->segment, .answers = {}, .errors = {}};
    for (const finished_item &item : m_pending->items) {
        (item.error ? action.errors : action.answers).push_back(item.item);
    }
    actions.emplace_back(std::move(action));
}

void job_coordinator::sendCommit(job_actions &actions, time_point now)
{
    m_storePhase = store_phase::Committing;
    m_sentRecord = nextRecord(now);
    actions.emplace_back(commit_progress{.version = m_version, .record = m_sentRecord});
}

void job_coordinator::sendRead(job_actions &actions)
{
    m_storePhase = store_phase::Reading;
    actions.emplace_back(read_job{});
}

job_record job_coordinator::nextRecord(time_point now) const
{
    job_record next = m_record;
    for (const finished_item &item : m_pending->items) {
        next.done.insert(item.item);
        next.started.erase(item.item);
        ++(item.error ? next.failed : next.completed);
    }
    if (m_pending->segment) {
        next.segments.push_back(*m_pending->segment);
    }
    for (const std::uint32_t item : m_pending->starts) {
        next.started.insert(item);
    }
    if (!m_finished.empty() || !coordinationComplete(now)) {
        return next;
    }
    // Items that this coordinator started and no longer holds were certainly not run.
    for (const std::uint32_t item : m_committedStarts) {
        if (!m_heldItems.contains(item)) {
            next.started.erase(item);
        }
    }
    if (allDone() || cancelling()) {
        next.status = finalStatus();
        next.endedAt = now;
    } else {
        next.owner.clear();
    }
    return next;
}

job_actions job_coordinator::resultsStored(time_point now)
{
    job_actions actions;
    if (m_storePhase == store_phase::Storing) {
        m_resultsStored = true;
        m_storeDelay = m_options.storeRetryDelay;
        sendCommit(actions, now);
    }
    return actions;
}

job_actions job_coordinator::committed(row_version version, time_point now)
{
    job_actions actions;
    if (m_storePhase != store_phase::Committing) {
        return actions;
    }
    m_record = m_sentRecord;
    m_version = version;
    m_storeDelay = m_options.storeRetryDelay;
    applyCommitted(actions, now);
    const job_actions more = advance(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

job_actions job_coordinator::commitRejected(time_point)
{
    job_actions actions;
    if (m_storePhase == store_phase::Committing) {
        sendRead(actions);
    }
    return actions;
}

job_actions job_coordinator::commitUnknown(time_point now)
{
    return commitRejected(now);
}

job_actions job_coordinator::jobRead(std::optional<job_record> record, row_version version, time_point now)
{
    job_actions actions;
    if (m_storePhase != store_phase::Reading) {
        return actions;
    }
    m_storeDelay = m_options.storeRetryDelay;
    m_rereadNeeded = false;
    if (!record || record->fencingNumber != m_record.fencingNumber) {
        end(actions, coordination_outcome::LeaseLost);
        return actions;
    }
    m_record = *std::move(record);
    m_version = version;
    const bool applied = m_pending && changeApplied();
    if (cancelling()) {
        beginCancel(actions, now);
    }
    if (!m_pending) {
        m_storePhase = store_phase::Idle;
        endIfFinal(actions);
    } else if (applied) {
        applyCommitted(actions, now);
    } else if (m_resultsStored) {
        sendCommit(actions, now);
    } else {
        sendResults(actions);
    }
    const job_actions more = advance(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

job_actions job_coordinator::storeUnavailable(time_point now)
{
    if (m_storePhase != store_phase::Idle && m_storePhase != store_phase::Ended) {
        m_storeRetryAt = now + m_storeDelay;
        m_storeDelay = std::min(m_storeDelay * 2, m_options.maximumStoreRetryDelay);
    }
    return advance(now);
}

bool job_coordinator::changeApplied() const
{
    if (m_pending->segment) {
        return std::find(m_record.segments.begin(), m_record.segments.end(), *m_pending->segment) != m_record.segments.end();
    }
    if (!m_pending->starts.empty()) {
        return std::all_of(m_pending->starts.begin(), m_pending->starts.end(), [this](std::uint32_t item) {
            return m_record.started.contains(item);
        });
    }
    return isFinal(m_record.status) || m_record.owner != m_sentRecord.owner || m_record == m_sentRecord;
}

void job_coordinator::applyCommitted(job_actions &actions, time_point now)
{
    m_storePhase = store_phase::Idle;
    const pending_change change = *std::exchange(m_pending, std::nullopt);
    for (const finished_item &item : change.items) {
        m_uncommitted.erase(item.item);
        m_uncommittedBytes -= item.bytes;
        m_committedStarts.erase(item.item);
        m_activeNonRepeatable.erase(item.item);
    }
    for (const std::uint32_t item : change.starts) {
        m_committedStarts.insert(item);
        if (acceptsItems() && now < m_record.deadline) {
            m_heldItems[item].phase = item_phase::InFlight;
            actions.emplace_back(run_item{.item = item, .startCommitted = true});
        } else if (acceptsItems()) {
            --m_activeItems;
            failItem(actions, item, item_failure::Expired);
        } else {
            --m_activeItems;
            requeueItem(actions, item);
        }
    }
    endIfFinal(actions);
}

void job_coordinator::endIfFinal(job_actions &actions)
{
    if (isFinal(m_record.status)) {
        end(actions, coordination_outcome::Finished);
    } else if (m_record.owner.empty()) {
        end(actions, coordination_outcome::Released);
    }
}

void job_coordinator::end(job_actions &actions, coordination_outcome outcome)
{
    m_storePhase = store_phase::Ended;
    m_storeRetryAt.reset();
    for (const auto &[item, held] : m_heldItems) {
        if (held.phase == item_phase::InFlight) {
            actions.emplace_back(cancel_item{.item = item});
        }
    }
    m_heldItems.clear();
    m_waiting.clear();
    m_chunks.clear();
    m_activeItems = 0;
    actions.emplace_back(end_coordination{.outcome = outcome});
}

job_actions job_coordinator::cancelRequested(time_point now)
{
    m_rereadNeeded = m_rereadNeeded || !cancelling();
    return advance(now);
}

job_actions job_coordinator::setLeaseHeld(bool held, time_point now)
{
    if (held == m_leaseHeld) {
        return {};
    }
    m_leaseHeld = held;
    m_rereadNeeded = m_rereadNeeded || held;
    return advance(now);
}

job_actions job_coordinator::release(time_point now)
{
    job_actions actions;
    m_releasing = true;
    for (const due_item &due : std::exchange(m_waiting, {})) {
        requeueItem(actions, due.item);
    }
    for (const std::uint32_t item : std::exchange(m_startsToCommit, {})) {
        --m_activeItems;
        requeueItem(actions, item);
    }
    const job_actions more = advance(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

void job_coordinator::beginCancel(job_actions &actions, time_point now)
{
    if (m_cancelGraceEnd) {
        return;
    }
    m_cancelGraceEnd = now + m_options.cancelGrace;
    for (const due_item &due : std::exchange(m_waiting, {})) {
        requeueItem(actions, due.item);
    }
    for (const std::uint32_t item : std::exchange(m_startsToCommit, {})) {
        --m_activeItems;
        requeueItem(actions, item);
    }
    for (const auto &[item, held] : m_heldItems) {
        if (held.phase == item_phase::InFlight) {
            actions.emplace_back(cancel_item{.item = item});
        }
    }
    releaseChunks(actions, 0, m_firstItems.size());
}

bool job_coordinator::cancelling() const
{
    return m_record.status == job_state::Cancelling;
}

bool job_coordinator::allDone() const
{
    return m_record.done.size() + m_uncommitted.size() >= m_record.total();
}

bool job_coordinator::coordinationComplete(time_point now) const
{
    if (allDone()) {
        return true;
    }
    if (cancelling()) {
        return m_activeItems == 0 || (m_cancelGraceEnd && now >= *m_cancelGraceEnd);
    }
    return m_releasing && m_activeItems == 0;
}

job_state job_coordinator::finalStatus() const
{
    if (cancelling()) {
        return job_state::Cancelled;
    }
    return m_anyExpired ? job_state::Expired : job_state::Completed;
}

std::optional<time_point> job_coordinator::nextWakeUp() const
{
    std::optional<time_point> result;
    if (m_storePhase == store_phase::Ended) {
        return result;
    }
    keepEarlier(result, m_storeRetryAt);
    if (!m_deadlinePassed && !cancelling()) {
        keepEarlier(result, m_record.deadline);
    }
    if (mayRunItems()) {
        if (!m_waiting.empty() && m_activeItems < m_options.itemsInFlight) {
            keepEarlier(result, m_waiting.begin()->due);
        }
        if (mayStart()) {
            keepEarlier(result, m_nextScan);
            keepEarlier(result, m_chunkRetryAt);
        }
    }
    if (m_storePhase != store_phase::Idle) {
        return result;
    }
    if (m_oldestFinished) {
        keepEarlier(result, *m_oldestFinished + m_options.commitInterval);
    }
    if (!m_startsToCommit.empty() || m_nonRepeatableFinished) {
        keepEarlier(result, m_lastStartCommit + m_options.startInterval);
    }
    if (cancelling()) {
        keepEarlier(result, m_cancelGraceEnd);
    }
    return result;
}

} // namespace banyan
