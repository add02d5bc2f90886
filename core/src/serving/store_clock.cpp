#include "banyan/core/serving/store_clock.h"

#include <algorithm>

namespace banyan {

void store_clock::observed(duration storeTime, time_point sentAt, time_point receivedAt)
{
    const duration ahead = storeTime - sentAt.time_since_epoch();
    const duration behind = receivedAt.time_since_epoch() - storeTime;
    m_leastBehind = isSet() ? std::min(m_leastBehind, behind) : behind;
    m_leastAhead = std::min(m_leastAhead.value_or(ahead), ahead);
}

duration store_clock::toStoreTime(time_point moment) const
{
    return moment.time_since_epoch() + m_leastAhead.value();
}

time_point store_clock::toLocalTime(duration storeTime) const
{
    return time_point(storeTime + m_leastBehind);
}

} // namespace banyan
