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

/// The online runs that wait for a slot of one cell: those that can still be on time first, then by priority, then the one
/// that has to begin first.
class waiting_runs
{
public:
    /// The place of a run in the order.
    struct order_key
    {
        bool late = false;
        std::uint32_t priority = 0;
        time_point target;
        request_id id;

        auto operator<=>(const order_key &) const = default;
    };
    using order = std::map<order_key, slot_request>;

    /// Takes in a run that is given up at @p giveUpAt.
    void add(const slot_request &request, bool late, time_point expiresAt);

    /// Takes a run out, if it waits here.
    std::optional<slot_request> remove(const request_id &id);

    /// Takes out a run whose time to be given up has come, if there is one.
    [[nodiscard]] std::optional<slot_request> takeExpired(time_point now);

    /// When the next run is given up, if any waits.
    [[nodiscard]] std::optional<time_point> nextExpiry() const;

    [[nodiscard]] bool contains(const request_id &id) const;

    /// Runs that wait and can still be on time.
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

    /// In their order; remove() leaves iterators to other runs valid.
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
