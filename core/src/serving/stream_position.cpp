#include "banyan/core/serving/stream_position.h"

namespace banyan {

stream_position::action stream_position::advance(const stream_event &event)
{
    if (!event.id) {
        return action::Forward;
    }
    if (m_last && *event.id <= *m_last) {
        return action::Drop;
    }
    if (m_last && *event.id != *m_last + 1) {
        return action::Gap;
    }
    m_last = event.id;
    return action::Forward;
}

} // namespace banyan
