#pragma once

#include "banyan/core/final_result.h"
#include "banyan/core/serving/caller_key.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace banyan {

/// What became of the runs of one caller at the node that schedules them.
struct caller_count
{
    std::uint64_t asked = 0; ///< Online runs that needed a slot.
    std::uint64_t granted = 0;
    duration waited{}; ///< Sum over the granted runs.
    std::map<end_reason, std::uint64_t> refused;

    auto operator<=>(const caller_count &) const = default;
};

/// Counts by caller, for operators. Callers beyond the first maximumCallers are counted together, so that memory and the number of
/// metrics stay bounded. Runs whose caller is not known are not counted.
class caller_counts
{
public:
    static constexpr std::size_t maximumCallers = 64;
    static constexpr caller_key others = 0; ///< Stands for all callers beyond the first ones.

    void asked(caller_key caller);
    void granted(caller_key caller, duration waited);
    void refused(caller_key caller, end_reason reason);

    [[nodiscard]] const std::map<caller_key, caller_count> &all() const
    {
        return m_counts;
    }

private:
    caller_count &of(caller_key caller);

    std::map<caller_key, caller_count> m_counts;
};

} // namespace banyan
