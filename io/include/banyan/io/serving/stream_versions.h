#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/stream_origin.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/serving/table_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace banyan {

class node_metrics;
struct slot_request;

/// Dependencies of stream_versions; all of them must outlive it.
struct stream_versions_ports
{
    asio::io_context &context;
    table_store store;
    node_metrics &metrics;
    node_id self;
    std::function<bool(const service_name &service)> recordsService; ///< Whether this node records the versions of a service.
};

/// Knows which software version began each stream, and stores what must outlive the nodes.
///
/// The versions of each service are a row of the store, written when one comes or goes. While only one version can have begun the
/// streams of a service, nothing else is stored. Otherwise the node that grants the slots of a stream stores what began it, many
/// streams in one row; nodes read these rows only when they are asked for a stream that none of them remembers.
class stream_versions
{
public:
    explicit stream_versions(const stream_versions_ports &ports);
    ~stream_versions();

    /// Starts following the recorded versions.
    void start();

    /// Replaces the registered upstreams.
    void setUpstreams(std::span<const replica> upstreams);

    /// Sets the version of a run that continues a stream. Returns false if it is not known, so that the run must not be sent.
    [[nodiscard]] bool bind(slot_request &run);

    /// Records that a run was granted a slot at an upstream of @p version.
    void recordGrant(const slot_request &run, const std::string &version);

    /// Records what has begun a stream, as the node that relays it has observed.
    void recordOrigin(stream_key stream, const stream_origin &origin);

    /// Whether more than one version may have begun a stream of the service, as far as this node knows.
    [[nodiscard]] bool isMixed(const service_name &service) const;

    /// What began a stream, if this node knows it.
    [[nodiscard]] std::optional<stream_origin> originOf(stream_key stream) const;

    /// What began a stream, by the store. None also if the store does not answer in time.
    [[nodiscard]] task<std::optional<stream_origin>> lookUp(stream_key stream);

    /// Records versions that have come or gone, and forgets old streams. To be called periodically.
    void housekeep();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
