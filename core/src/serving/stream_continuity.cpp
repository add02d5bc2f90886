#include "banyan/core/serving/stream_continuity.h"

namespace banyan {

bool stream_continuity::bind(slot_request &run) const
{
    if (!run.continues || !run.version.empty()) {
        return true;
    }
    const std::optional<stream_origin> origin = m_origins.find(run.stream);
    const bool isKnown = origin && origin->service == run.service;
    run.version = isKnown ? origin->version : std::string();
    return isKnown;
}

std::optional<stream_origin> stream_continuity::onlyOrigin(const service_name &service, std::optional<duration> storeNow) const
{
    const std::optional<std::string> only = storeNow ? m_versions.onlyVersion(service, *storeNow) : std::nullopt;
    return only ? std::optional(stream_origin{.service = service, .version = *only}) : std::nullopt;
}

void stream_continuity::recordGrant(const slot_request &run, const std::string &version, std::optional<duration> storeNow, time_point now)
{
    const stream_origin origin{.service = run.service, .version = version};
    if (run.continues && m_origins.find(run.stream) != origin) {
        recordBegun(run.stream, origin, storeNow, now);
    }
}

void stream_continuity::recordBegun(stream_key stream, const stream_origin &origin, std::optional<duration> storeNow, time_point now)
{
    if (stream == 0 || origin.version.empty()) {
        return;
    }
    m_origins.recordBegun(stream, origin, now);
    if (isMixed(origin.service, storeNow) && m_unstored.size() < maximumUnstored) {
        m_unstored.emplace_back(stream, origin);
    }
}

void stream_continuity::recordOrigin(stream_key stream, const stream_origin &origin, time_point now)
{
    if (stream != 0 && !origin.version.empty()) {
        m_origins.recordBegun(stream, origin, now);
    }
}

std::vector<std::pair<stream_key, stream_origin>> stream_continuity::takeUnstored()
{
    return std::exchange(m_unstored, {});
}

void stream_continuity::expire(time_point now)
{
    m_origins.expire(now);
}

} // namespace banyan
