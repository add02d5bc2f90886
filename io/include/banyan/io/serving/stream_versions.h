#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/slot_message.h"
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

/// Dependencies of stream_versions; all of them must outlive it.
struct stream_versions_ports
{
    asio::io_context &context;
    table_store store;
    node_metrics &metrics;
    node_id self;
    std::function<bool(const service_name &service)> recordsService; ///< Whether this node records the versions of a service.
    /// Reads the registered upstreams up to now. False if they are not complete; may throw platform_unavailable.
    std::function<task<bool>()> refreshUpstreams;
    std::function<void(const node_id &to, const gateway_message &message)> send;
    std::function<void(const gateway_message &message)> sendToAll;
};

/// Knows which software version began each stream, and stores what must outlive the nodes.
///
/// The versions of each service are a row of the store, written when one comes or goes. While only one version can have begun the
/// streams of a service, nothing else is stored. Otherwise the node that granted the slot stores what began a stream, many streams
/// in one row. A node that does not remember a stream that a client takes up reads the registered upstreams, the versions and these
/// rows anew, and asks the other nodes; what it has read before proves nothing of a stream that began at another node.
class stream_versions
{
public:
    explicit stream_versions(const stream_versions_ports &ports);
    ~stream_versions();

    /// Starts following the recorded versions.
    void start();

    /// Replaces the registered upstreams.
    void setUpstreams(std::span<const replica> upstreams);

    /// Sets the version of a run that continues a stream. Returns false if this node does not remember it, so that the run must not
    /// be sent.
    [[nodiscard]] bool bind(slot_request &run) const;

    /// Records that a run was granted a slot at an upstream of @p version.
    void recordGrant(const slot_request &run, const std::string &version);

    /// Records what has begun a stream to which this node granted the slot, and stores it if several versions serve.
    void recordBegun(stream_key stream, const stream_origin &origin);

    /// Records what has begun a stream that this node relays.
    void recordOrigin(stream_key stream, const stream_origin &origin);

    /// What began a stream, if this node knows it.
    [[nodiscard]] std::optional<stream_origin> originOf(stream_key stream) const;

    /// What began a stream of a service, by the store or by the memory of other nodes. None also if neither answers in time.
    [[nodiscard]] task<std::optional<stream_origin>> lookUp(stream_key stream, service_name service);

    /// Handles messages of other nodes.
    void received(const origin_query &query);
    void received(const origin_row &origins);

    /// Records versions that have come or gone, and forgets old streams. To be called periodically.
    void housekeep();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
