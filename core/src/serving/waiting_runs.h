#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace banyan {

/// The queue of online runs that wait for a slot of one cell.
///
/// Load pattern: more online work than slots, part of it from callers that send many times their usual. Runs that can still meet
/// their target come first, then runs are ordered by priority. Within these, callers share the slots by start-time fair queuing
/// on the expected cost of their runs: what one caller does not use goes to the others, and a caller within its share does not
/// wait behind the burst of another one. A caller's own runs are ordered by target. Where all runs are of one caller, this is the
/// order by target.
///
/// Every starvationInterval-th grant goes to the least urgent runs that can meet their target, so that more urgent work cannot
/// keep them out altogether.
class waiting_runs
{
public:
    static constexpr std::uint32_t starvationInterval = 16; ///< Of this many grants, one goes to the least urgent runs.

    /// Runs of one kind find a slot at the same upstreams.
    struct run_kind
    {
        std::string version;
        bool repeatable = false;
        std::vector<upstream_id> excluded; ///< Sorted.

        auto operator<=>(const run_kind &) const = default;
    };

    [[nodiscard]] static run_kind kindOf(const slot_request &request);

    /// Adds a run that expires at @p expiresAt. @p cost is the expected work of the run, in any unit.
    void add(const slot_request &request, bool late, time_point expiresAt, double cost = 1);

    /// Removes and returns a run, if it is in the queue.
    std::optional<slot_request> remove(const request_id &id);

    /// Removes and returns a run that gets a slot, and charges its caller for it.
    slot_request take(const request_id &id);

    /// The run that has expired first; null if none has.
    [[nodiscard]] const slot_request *firstExpired(time_point now) const;

    /// When the next run expires; empty if none waits.
    [[nodiscard]] std::optional<time_point> nextExpiry() const;

    /// The run that comes first among those of a kind that is not @p blocked; null if there is none.
    [[nodiscard]] const slot_request *next(const std::set<run_kind> &blocked) const;

    /// The number of runs that get a slot before the last run of the caller of @p id does, that run included.
    [[nodiscard]] double aheadOf(const request_id &id) const;

    /// The run to refuse before the run @p id if not both can be served in time, among those that can meet their target: the last
    /// one of the caller with the most runs among the least urgent ones. Null if that caller is as urgent and has no more runs.
    [[nodiscard]] const slot_request *lessEntitledThan(const request_id &id) const;

    [[nodiscard]] bool contains(const request_id &id) const;

    /// The number of waiting runs that can still meet their target.
    [[nodiscard]] std::size_t onTimeCount() const
    {
        return m_entries.size() - m_lateCount;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_entries.size();
    }
    [[nodiscard]] bool empty() const
    {
        return m_entries.empty();
    }

    /// The number of waiting runs of the same urgency and caller as @p id.
    [[nodiscard]] std::size_t waitingOf(const request_id &id) const;

    /// The number of callers with waiting runs of the same urgency as @p id.
    [[nodiscard]] std::size_t callersBeside(const request_id &id) const;

private:
    struct urgency
    {
        bool late = false;
        std::uint32_t priority = 0;

        auto operator<=>(const urgency &) const = default;
    };
    struct entry
    {
        slot_request request;
        urgency level;
        run_kind kind;
        std::uint64_t sequence = 0;
        time_point expiresAt;
        double cost = 1;
    };
    using lane = std::map<std::pair<time_point, std::uint64_t>, const entry *>; ///< Runs of one caller and kind, by target.
    struct caller_queue
    {
        double start = 0; ///< Virtual start time of the caller's next run.
        std::size_t waiting = 0;
        std::map<run_kind, lane> lanes;
    };
    struct head
    {
        double start = 0;
        time_point target;
        std::uint64_t sequence = 0;
        const entry *run = nullptr;

        bool operator<(const head &other) const;
    };
    /// The runs of one urgency.
    struct level_queue
    {
        double virtualTime = 0;
        std::size_t waiting = 0;
        std::map<caller_key, caller_queue> callers; ///< Also callers that have had more than the others until now.
        std::map<run_kind, std::set<head>> heads; ///< The first run of each caller and kind.
        std::set<std::pair<std::size_t, caller_key>> byCount; ///< Callers by their number of waiting runs.
        std::set<std::pair<double, caller_key>> idle; ///< Callers without waiting runs, by the virtual start time of their next run.
        std::vector<std::size_t> callersWithMore; ///< At index n the number of callers with more than n waiting runs.
    };

    static void insert(level_queue &level, const entry &run);
    static void erase(level_queue &level, const entry &run);
    static void changeCount(level_queue &level, caller_key caller, caller_queue &queue, int change);
    static void addHead(level_queue &level, const caller_queue &queue, const run_kind &kind);
    static void removeHead(level_queue &level, const caller_queue &queue, const run_kind &kind);
    [[nodiscard]] static const entry *firstOf(const level_queue &level, const std::set<run_kind> &blocked);
    [[nodiscard]] static double aheadInLevel(const level_queue &level, const caller_queue &queue);
    static void forgetIdle(level_queue &level);
    void removeEntry(std::map<request_id, entry>::iterator found);

    std::map<request_id, entry> m_entries;
    std::map<urgency, level_queue> m_levels; ///< Levels with waiting runs.
    std::map<std::pair<time_point, std::uint64_t>, const entry *> m_expiries;
    std::uint64_t m_lastSequence = 0;
    std::size_t m_lateCount = 0;
    std::uint32_t m_grantsPastLeastUrgent = 0; ///< Successive grants that left less urgent runs waiting.
};

} // namespace banyan
