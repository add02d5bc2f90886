#pragma once

#include "banyan/core/time.h"
#include "banyan/core/transaction.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace banyan {

/// Tells when a lease has lapsed, without comparing clocks of two VMs: its row must have kept the same version for the
/// whole lease duration on the observer's own clock.
///
/// @code
/// lease_observer observer(std::chrono::seconds(10));
/// observer.observe(row, now);    // at each reading
/// if (observer.lapsed(row.key))  // then acquire it, conditional on row.version
/// @endcode
class lease_observer
{
public:
    explicit lease_observer(duration leaseDuration)
        : m_leaseDuration(leaseDuration)
    {
    }

    /// Takes in the row as just read. @p now is the time before the read was sent.
    void observe(const row &lease, time_point now);

    /// Forgets a row that is gone or needs no watching.
    void forget(const std::string &key);

    /// How long the row has been seen with one version.
    [[nodiscard]] duration unchangedFor(const std::string &key) const;

    /// Whether that is the lease duration at least.
    [[nodiscard]] bool lapsed(const std::string &key) const
    {
        return unchangedFor(key) >= m_leaseDuration;
    }

    /// Forgets all rows but these.
    void retain(const std::set<std::string> &keys);

    /// Rows being watched.
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
