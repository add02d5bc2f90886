#include "banyan/core/serving/stream_origins.h"

#include <xxhash.h>

#include <algorithm>

namespace banyan {

stream_key streamKeyOf(const request_id &request)
{
    return XXH3_64bits(request.text().data(), request.text().size());
}

stream_origins::stream_origins(const stream_origins_options &options)
    : m_options(options)
{
}

void stream_origins::recordBegun(stream_key stream, const stream_origin &origin, time_point now)
{
    auto known = std::find(m_origins.begin(), m_origins.end(), origin);
    if (known == m_origins.end()) {
        known = m_origins.insert(m_origins.end(), origin);
    }
    m_streams[stream] = {.origin = static_cast<std::uint32_t>(known - m_origins.begin()), .recordedAt = now};
    m_order.emplace_back(now, stream);
    expire(now);
}

std::optional<stream_origin> stream_origins::find(stream_key stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? std::nullopt : std::optional(m_origins[found->second.origin]);
}

void stream_origins::expire(time_point now)
{
    while (!m_order.empty() && (now - m_order.front().first > m_options.retention || m_streams.size() > m_options.maximumStreams)) {
        const auto [recordedAt, stream] = m_order.front();
        m_order.pop_front();
        const auto found = m_streams.find(stream);
        if (found != m_streams.end() && found->second.recordedAt == recordedAt) {
            m_streams.erase(found);
        }
    }
    if (m_streams.empty()) {
        m_origins.clear();
    }
}

} // namespace banyan
