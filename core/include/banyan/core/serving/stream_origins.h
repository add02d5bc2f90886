#pragma once

#include "banyan/core/serving/stream_origin.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyan {

/// Options of stream_origins.
struct stream_origins_options
{
    duration retention = std::chrono::seconds(60); ///< Since a stream has begun; longer than clients take streams up.
    std::size_t maximumStreams = 300000; ///< The oldest are forgotten first; about 60 bytes each.
};

/// Remembers which version of which service began each stream of the last minute.
class stream_origins
{
public:
    explicit stream_origins(const stream_origins_options &options = {});

    /// Records what has begun a stream: its client has got an event. A grant alone does not tell: the run may bring nothing, and
    /// another one, granted by another node, may begin the stream.
    void recordBegun(stream_key stream, const stream_origin &origin, time_point now);

    /// What has begun a stream; none if it is not known.
    [[nodiscard]] std::optional<stream_origin> find(stream_key stream) const;

    /// Forgets streams that began before the retention, and those beyond the maximum.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const
    {
        return m_streams.size();
    }

private:
    struct entry
    {
        std::uint32_t origin = 0; ///< Position in m_origins.
        time_point recordedAt;
    };

    stream_origins_options m_options;
    std::vector<stream_origin> m_origins; ///< The few distinct origins.
    std::unordered_map<stream_key, entry> m_streams;
    std::deque<std::pair<time_point, stream_key>> m_order; ///< By time of record; may list a stream several times.
};

} // namespace banyan
