#pragma once

#include "banyan/core/serving/caller_key.h"

#include <map>

namespace banyan {

/// Virtual time of start-time fair queuing: what each caller has had of a shared resource, over what the others have had.
class share_clock
{
public:
    /// The virtual start time of the caller's next work; the least goes first.
    [[nodiscard]] double startOf(caller_key caller) const;

    /// Charges a caller for work that begins now.
    void served(caller_key caller, double cost);

    /// Forgets all callers. To be called when nothing waits: what was used then was taken from nobody.
    void reset();

private:
    double m_now = 0;
    std::map<caller_key, double> m_next; ///< Callers that have had more than the others.
};

} // namespace banyan
