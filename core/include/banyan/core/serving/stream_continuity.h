#pragma once

#include "banyan/core/serving/slot_request.h"
#include "banyan/core/serving/stream_origin.h"
#include "banyan/core/serving/stream_origins.h"
#include "banyan/core/serving/version_history.h"
#include "banyan/core/time.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyan {

/// Decides at which software version a run may go on with a stream.
///
/// A stream goes on only at the version that began it. That version is known from the run that began the stream, from the
/// memory of the nodes that took part, or from the store. It is also known if only one version can have begun it, but not by what a
/// node has read before: another version may have come since, and have begun the stream through another node. See onlyOrigin().
class stream_continuity
{
public:
    stream_continuity() = default;

    /// Sets the version of a run that continues a stream, if it is not set. Returns false if this node does not remember what began
    /// the stream, so that the run must not be sent.
    [[nodiscard]] bool bind(slot_request &run) const;

    /// What has begun any stream of the service that is still taken up, if there is only one possibility. Proves the origin of
    /// streams that had begun when the reading of both the registered upstreams and the recorded versions began. @p storeNow is the
    /// present time of the store's clock, if it is known.
    [[nodiscard]] std::optional<stream_origin> onlyOrigin(const service_name &service, std::optional<duration> storeNow) const;

    /// Records that a run was granted a slot at an upstream of @p version. One that continues a stream names what has begun it.
    void recordGrant(const slot_request &run, const std::string &version, std::optional<duration> storeNow, time_point now);

    /// Records what has begun a stream, as the node that relays it has observed. The node that granted the slot does so; streams that
    /// begin while another version could take them up are to be stored, see takeUnstored().
    void recordBegun(stream_key stream, const stream_origin &origin, std::optional<duration> storeNow, time_point now);

    /// Records what has begun a stream without storing it, since another node does so or has done so.
    void recordOrigin(stream_key stream, const stream_origin &origin, time_point now);

    /// Whether more than one version may have begun a stream of the service, as far as this node knows.
    [[nodiscard]] bool isMixed(const service_name &service, std::optional<duration> storeNow) const
    {
        return !onlyOrigin(service, storeNow);
    }

    /// What began a stream, if this node knows it.
    [[nodiscard]] std::optional<stream_origin> originOf(stream_key stream) const
    {
        return m_origins.find(stream);
    }

    /// Returns the origins that have to be stored, and forgets that they have to be.
    [[nodiscard]] std::vector<std::pair<stream_key, stream_origin>> takeUnstored();

    [[nodiscard]] bool hasUnstored() const
    {
        return !m_unstored.empty();
    }

    [[nodiscard]] version_history &versions()
    {
        return m_versions;
    }

    /// Forgets old streams.
    void expire(time_point now);

    /// Number of streams whose origin this node knows.
    [[nodiscard]] std::size_t knownStreams() const
    {
        return m_origins.size();
    }

private:
    static constexpr std::size_t maximumUnstored = 100000; ///< While the store is silent; further ones are not stored.

    stream_origins m_origins;
    version_history m_versions;
    std::vector<std::pair<stream_key, stream_origin>> m_unstored;
};

} // namespace banyan
