#pragma once

#include "banyan/core/time.h"
#include "banyan/core/transaction.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace banyan {

/// Detects lapsed leases without comparing the clocks of two VMs: a lease has lapsed when its row has kept the same version
/// for the whole lease duration on the observer's own clock.
///
/// @code
/// lease_observer observer(std::chrono::seconds(10));
/// observer.observe(row, now);    // after each read
/// if (observer.lapsed(row.key))  // then acquire it, conditional on row.version
/// @endcode
class lease_observer
{
public:
    explicit lease_observer(duration leaseDuration)
        : m_leaseDuration(leaseDuration)
    {
    }

    /// Records the row as just read. @p now is the time before the read was sent.
    void observe(const row &lease, time_point now);

    /// Stops observing a row.
    void forget(const std::string &key);

    /// How long the row has been observed with its current version.
    [[nodiscard]] duration unchangedFor(const std::string &key) const;

    /// Whether the row has been unchanged for at least the lease duration.
    [[nodiscard]] bool lapsed(const std::string &key) const
    {
        return unchangedFor(key) >= m_leaseDuration;
    }

    /// Stops observing all rows except those with these keys.
    void retain(const std::set<std::string> &keys);

    /// The number of rows being observed.
    [[nodiscard]] std::size_t size() const
    {
        return m_observations.size();
    }

private:
    struct observation
    {
        row_version version = 0;
        time_point firstObserved;
        time_point lastObserved;
    };

    duration m_leaseDuration;
    std::map<std::string, observation> m_observations;
};

} // namespace banyan
