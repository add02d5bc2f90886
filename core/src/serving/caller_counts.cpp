#include "banyan/core/serving/caller_counts.h"

namespace banyan {

caller_count &caller_counts::of(caller_key caller)
{
    const bool isCounted = m_counts.contains(caller) || m_counts.size() < maximumCallers;
    return m_counts[isCounted ? caller : others];
}

void caller_counts::asked(caller_key caller)
{
    if (caller != 0) {
        ++of(caller).asked;
    }
}

void caller_counts::granted(caller_key caller, duration waited)
{
    if (caller != 0) {
        caller_count &count = of(caller);
        ++count.granted;
        count.waited += waited;
    }
}

void caller_counts::refused(caller_key caller, end_reason reason)
{
    if (caller != 0) {
        ++of(caller).refused[reason];
    }
}

} // namespace banyan
