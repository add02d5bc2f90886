#include "banyan/core/serving/stream_position.h"

namespace banyan {

stream_position::verdict stream_position::take(const stream_event &event)
{
    if (!event.id) {
        return verdict::PassOn;
    }
    if (m_last && *event.id <= *m_last) {
        return verdict::Drop;
    }
    if (m_last && *event.id != *m_last + 1) {
        return verdict::Gap;
    }
    m_last = event.id;
    return verdict::PassOn;
}

} // namespace banyan
