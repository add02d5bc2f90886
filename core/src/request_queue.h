#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace banyan {

/// Kinds of waiting requests that can be blocked independently of each other.
enum class work_lane : std::uint8_t {
    Short,
    Long, ///< Expected to run much longer than most requests.
    NonPreemptible, ///< Batch work that cannot be preempted.
    Suspect, ///< May have crashed an upstream; an upstream runs at most one suspect at a time.
};

/// Number of work_lane values.
inline constexpr std::size_t workLaneCount = 4;

/// A set of lanes.
class lane_set
{
public:
    void insert(work_lane lane)
    {
        m_bits[static_cast<std::size_t>(lane)] = true;
    }

    [[nodiscard]] bool contains(work_lane lane) const
    {
        return m_bits[static_cast<std::size_t>(lane)];
    }

private:
    std::array<bool, workLaneCount> m_bits{};
};

/// A request in a request_queue.
struct waiting_request
{
    request_id id;
    caller_id caller;
    work_lane lane = work_lane::Short;
    double cost = 1; ///< Charged to its caller's share when it starts.
    time_point order; ///< Requests of one caller start in this order.
    bool promoted = false; ///< Starts before all requests that are not promoted, regardless of its caller's share.
};

/// The waiting requests of one work class.
///
/// Callers share capacity by start-time fair queueing: the caller with the least cost served goes next. A caller that is
/// ahead of the least served one by no more than the allowance still goes before it if its request is earlier in order.
/// Near deadlines thus take effect, but a caller cannot gain capacity by setting near deadlines.
class request_queue
{
public:
    /// @param allowance How far, in cost, an earlier order may override fair sharing.
    explicit request_queue(double allowance);

    void push(const waiting_request &request);

    /// Removes a request without charging its caller; returns whether it was queued.
    bool remove(const request_id &request);

    /// Removes a request that starts, and charges its cost to its caller.
    void take(const request_id &request);

    /// The request to start next, of the lanes that are not @p blocked; it stays in the queue.
    [[nodiscard]] std::optional<waiting_request> next(const lane_set &blocked) const;

    /// Estimate of how many waiting requests would start before another one of @p caller.
    [[nodiscard]] std::size_t aheadOf(const caller_id &caller) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct position
    {
        time_point order;
        std::uint64_t sequence = 0; ///< Order of arrival; breaks ties.
        request_id id;
        auto operator<=>(const position &) const = default;
    };
    using lane_positions = std::array<std::set<position>, workLaneCount>;
    struct queued_entry
    {
        waiting_request request;
        position key;
    };
    struct caller_state
    {
        lane_positions lanes;
        std::size_t waiting = 0;
        double served = 0; ///< Virtual start time of the next request.

        [[nodiscard]] bool idle() const
        {
            return waiting == 0;
        }
    };

    [[nodiscard]] static const position *earliest(const lane_positions &lanes, const lane_set &blocked);
    [[nodiscard]] std::optional<double> leastServed(const lane_set &blocked) const;
    lane_positions &lanesOf(const waiting_request &request);
    void eraseIdleCaller(const caller_id &caller);

    double m_allowance;
    double m_virtualTime = 0;
    std::uint64_t m_lastSequence = 0;
    std::map<caller_id, caller_state> m_callers;
    lane_positions m_promoted;
    std::unordered_map<request_id, queued_entry> m_entries;
};

} // namespace banyan
