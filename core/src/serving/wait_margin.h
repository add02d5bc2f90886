#pragma once

#include "banyan/core/time.h"

namespace banyan {

/// How much earlier than its latest start a run has to be expected to start in order to be let into the queue.
///
/// Load pattern: more online work than slots for a long time. The queue is then as long as the latest starts allow, so that the
/// noise of the real waits makes runs expire that have waited already. Each run that expires widens the margin, and the margin
/// shrinks while none does: work that exceeds the slots is refused when it arrives and not when its time is up.
class wait_margin
{
public:
    /// Records that a run was let in and did not get a slot in time.
    void expired(time_point now);

    [[nodiscard]] duration at(time_point now) const;

private:
    double m_seconds = 0; ///< At m_changedAt.
    time_point m_changedAt;
};

} // namespace banyan
