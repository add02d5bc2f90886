#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/forwarder.h"
#include "banyan/core/serving/forwarder_choice.h"
#include "banyan/core/serving/path_monitor.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/upstream_usage.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace banyan {

class http_client;
class http_error;
class load_board;
class node_metrics;
class report_hubs;

/// Dependencies of upstream_paths; all of them must outlive it.
struct upstream_paths_ports
{
    asio::io_context &context;
    http_client &client; ///< Towards upstreams.
    node_metrics &metrics;
    const load_board &board;
    const report_hubs &hubs;
    std::function<void()> changed = {}; ///< Called after paths have changed.
};

/// Runs a path_monitor on an event loop: opens the connections that it asks for, tells runs whose path is lost, logs changes,
/// and chooses the nodes that forward instead.
class upstream_paths
{
public:
    explicit upstream_paths(const upstream_paths_ports &ports);
    ~upstream_paths();
    upstream_paths(const upstream_paths &) = delete;
    upstream_paths &operator=(const upstream_paths &) = delete;

    /// Replaces the registered upstreams.
    void setUpstreams(std::span<const replica> upstreams);

    /// Replaces the other nodes.
    void setNodes(std::vector<forwarder> nodes);

    /// One run that this node sends to an upstream itself, from its beginning to the end of this object.
    class watched_run
    {
    public:
        /// @p hangs is called if the run waits on a path that turns out to be lost.
        watched_run(upstream_paths &paths, const upstream_id &upstream, std::function<void()> hangs);
        ~watched_run();
        watched_run(const watched_run &) = delete;
        watched_run &operator=(const watched_run &) = delete;

        /// The run has a connection.
        void connected(bool isNew);
        /// A byte of the answer came.
        void heard();
        /// The run has failed.
        void failed(const http_error &error);

    private:
        friend class upstream_paths;

        upstream_paths &m_paths;
        upstream_id m_upstream;
        std::function<void()> m_hangs;
        path_monitor::run_number m_number;
        time_point m_startedAt;
    };

    /// Whether runs for the upstream should go through another node.
    [[nodiscard]] bool isLost(const upstream_id &upstream) const;

    /// Whether a failure at the upstream may be the path's.
    [[nodiscard]] bool isDoubtful(const upstream_id &upstream) const;

    /// Whether this node reaches others, but not this upstream.
    [[nodiscard]] bool isLostAlone(const upstream_id &upstream) const;

    [[nodiscard]] forwarder_choice &forwarders()
    {
        return m_forwarders;
    }

    /// The node to ask next to forward to the upstream, if there is one.
    [[nodiscard]] std::optional<forwarder> chooseForwarder(const upstream_id &upstream, std::span<const node_id> tried);

    /// For load reports: upstreams with lost paths, and whether this node may have lost its way to all: none was heard since.
    [[nodiscard]] std::vector<upstream_key> unreachable() const;
    [[nodiscard]] bool reachesNone() const;

private:
    void review();
    void scheduleReview(time_point now);
    void apply(const path_change &change);
    void log(const path_change &change) const;
    void probe(const upstream_id &upstream);
    task<> runProbe(std::weak_ptr<bool> alive, upstream_id upstream, endpoint address);
    void connectEnded(const upstream_id &upstream, time_point startedAt, duration allowed, connect_outcome outcome);

    upstream_paths_ports m_ports;
    path_monitor m_monitor;
    forwarder_choice m_forwarders;
    std::map<upstream_id, endpoint> m_addresses;
    std::map<path_monitor::run_number, watched_run *> m_runs;
    path_monitor::run_number m_lastRun = 0;
    asio::steady_timer m_timer;
    std::optional<time_point> m_wakeUp; ///< Of the timer.
    std::mt19937_64 m_generator{std::random_device{}()};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace banyan
