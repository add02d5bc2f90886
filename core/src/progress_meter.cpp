#include "banyan/core/progress_meter.h"

namespace banyan {

void progress_meter::restart(time_point now)
{
    m_begun = now;
    m_lastMove = now;
    m_bytes = 0;
    m_wasSlow = false;
}

void progress_meter::record(std::size_t bytes, time_point now)
{
    m_lastMove = now;
    m_bytes += bytes;
    if (now - m_begun >= window) {
        const double seconds = std::chrono::duration<double>(now - m_begun).count();
        m_wasSlow = static_cast<double>(m_bytes) < seconds * static_cast<double>(leastRate);
        m_begun = now;
        m_bytes = 0;
    }
}

bool progress_meter::isSlow(time_point now) const
{
    return m_wasSlow || now - m_lastMove >= window;
}

} // namespace banyan
