#include "banyan/core/serving/store_clock.h"

#include <algorithm>

namespace banyan {

void store_clock::observe(duration storeTime, time_point sentAt, time_point receivedAt)
{
    const duration storeOffset = storeTime - sentAt.time_since_epoch();
    const duration localOffset = receivedAt.time_since_epoch() - storeTime;
    m_localOffsetBound = isSet() ? std::min(m_localOffsetBound, localOffset) : localOffset;
    m_storeOffsetBound = std::min(m_storeOffsetBound.value_or(storeOffset), storeOffset);
}

duration store_clock::toStoreTime(time_point moment) const
{
    return moment.time_since_epoch() + m_storeOffsetBound.value();
}

time_point store_clock::toLocalTime(duration storeTime) const
{
    return time_point(storeTime + m_localOffsetBound);
}

} // namespace banyan
