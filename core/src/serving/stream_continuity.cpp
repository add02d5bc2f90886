#include "banyan/core/serving/stream_continuity.h"

namespace banyan {

bool stream_continuity::bind(slot_request &run, std::optional<duration> storeNow)
{
    if (!run.continues || !run.version.empty()) {
        return true;
    }
    const std::optional<stream_origin> origin = m_origins.find(run.stream);
    if (origin && origin->service == run.service) {
        run.version = origin->version;
        return true;
    }
    const std::optional<std::string> only = storeNow && !origin ? m_versions.onlyVersion(run.service, *storeNow) : std::nullopt;
    run.version = only.value_or("");
    return only.has_value();
}

void stream_continuity::recordGrant(const slot_request &run, const std::string &version, std::optional<duration> storeNow, time_point now)
{
    if (run.stream == 0 || version.empty()) {
        return;
    }
    const stream_origin origin{.service = run.service, .version = version};
    if (run.continues) {
        if (m_origins.find(run.stream) == origin) {
            return;
        }
        m_origins.recordBegun(run.stream, origin, now);
    } else {
        m_origins.recordGrant(run.stream, origin, now);
    }
    if (isMixed(run.service, storeNow) && m_unstored.size() < maximumUnstored) {
        m_unstored.emplace_back(run.stream, origin);
    }
}

void stream_continuity::recordOrigin(stream_key stream, const stream_origin &origin, time_point now)
{
    m_origins.recordBegun(stream, origin, now);
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
