#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace banyan {

/// The queue of online runs that wait for a slot of one cell. Runs that can still meet their target come first, then runs are
/// ordered by priority, then by target.
class waiting_runs
{
public:
    /// The sort key of a run in the queue.
    struct order_key
    {
        bool late = false;
        std::uint32_t priority = 0;
        time_point target;
        request_id id;

        auto operator<=>(const order_key &) const = default;
    };
    using order = std::map<order_key, slot_request>;

    /// Adds a run that expires at @p expiresAt.
    void add(const slot_request &request, bool late, time_point expiresAt);

    /// Removes and returns a run, if it is in the queue.
    std::optional<slot_request> remove(const request_id &id);

    /// Removes and returns one run that has expired, if any.
    [[nodiscard]] std::optional<slot_request> takeExpired(time_point now);

    /// When the next run expires; empty if none waits.
    [[nodiscard]] std::optional<time_point> nextExpiry() const;

    [[nodiscard]] bool contains(const request_id &id) const;

    /// The number of waiting runs that can still meet their target.
    [[nodiscard]] std::size_t onTimeCount() const
    {
        return m_order.size() - m_lateCount;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_order.size();
    }
    [[nodiscard]] bool empty() const
    {
        return m_order.empty();
    }

    /// The runs in queue order. remove() keeps iterators to other runs valid.
    [[nodiscard]] const order &inOrder() const
    {
        return m_order;
    }

private:
    struct entry
    {
        order_key key;
        time_point expiresAt;
    };

    order m_order;
    std::map<request_id, entry> m_entries;
    std::set<std::pair<time_point, request_id>> m_expiries;
    std::size_t m_lateCount = 0;
};

} // namespace banyan
