#pragma once

#include "relay_fixture.h"

#include "banyan/core/serving/report_hubs.h"
#include "banyan/io/serving/forward_service.h"
#include "banyan/io/serving/upstream_paths.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <string>

namespace banyan::tests {

/// A node that callers reach, at which upstreams have addresses of its own, and one that forwards and reaches them at their true ones.
struct forwarding_fixture : relay_fixture
{
    report_hubs hubs{{.self = node_id("n1")}};
    http_client helperClient{context, {.connectTimeout = std::chrono::milliseconds(200)}};
    http_client peerClient{context, {.connectTimeout = std::chrono::milliseconds(200)}};
    load_board helperBoard{std::chrono::seconds(60)};
    node_metrics helperMetrics;
    upstream_paths paths{{.context = context,
                          .client = nodes.front()->client,
                          .metrics = nodes.front()->metrics,
                          .board = nodes.front()->board,
                          .hubs = hubs}};
    upstream_paths helperPaths{{.context = context, .client = helperClient, .metrics = helperMetrics, .board = helperBoard, .hubs = hubs}};
    std::map<upstream_id, replica> knownToHelper;
    std::unique_ptr<forward_service> helper;

    explicit forwarding_fixture(request_kind kind, bool resumable = false, std::uint32_t attempts = 2)
        : relay_fixture(kind, resumable, attempts)
    {
        helper =
            std::make_unique<forward_service>(forward_service_ports{.context = context,
                                                                    .client = helperClient,
                                                                    .paths = helperPaths,
                                                                    .metrics = helperMetrics,
                                                                    .find =
                                                                        [this](const upstream_id &upstream) {
                                                                            const auto known = knownToHelper.find(upstream);
                                                                            return known == knownToHelper.end() ? nullptr : &known->second;
                                                                        }},
                                              platform::makeProtocol(),
                                              forward_service_options{.listen = endpoint::parse("127.0.0.1:0")});
        helper->start();
        nodes.front()->sender.usePaths(paths, peerClient, node_id("n1"));
        paths.setNodes({{.node = node_id("helper"), .address = helper->address()}});
        report({});
    }

    /// Lets the helper report, so that it may be asked.
    void report(node_load load)
    {
        static std::uint64_t sequence = 0;
        load.sender = node_id("helper");
        load.sequence = ++sequence;
        load.schedulingState = scheduling_state::UpstreamsUncertain; // It places nothing here.
        nodes.front()->board.record(load, currentTime());
    }

    /// Lets what nobody waits for any more end, since the nodes must outlive it.
    void settle()
    {
        context.restart();
        while (helper->inProgress() + nodes.front()->relay.inProgress() > 0) {
            context.run_one();
        }
    }

    /// Registers upstreams with their true addresses at the helper, and with @p seen at the node that callers reach.
    void registerUpstreams(const std::vector<replica> &registered, const std::function<endpoint(const replica &upstream)> &seen)
    {
        std::vector<replica> local;
        for (const replica &upstream : registered) {
            knownToHelper[upstream.id] = upstream;
            local.push_back(upstream);
            local.back().address = seen(upstream);
        }
        nodes.front()->scheduler.setUpstreams(local);
        paths.setUpstreams(local);
        helperPaths.setUpstreams(registered);
    }
};

/// An address at which connections are refused. It stays bound, so that no other test can listen there.
inline endpoint closedPort()
{
    static asio::io_context context;
    static asio::ip::tcp::socket bound(context, {asio::ip::make_address("127.0.0.1"), 0});
    return {.address = "127.0.0.1", .port = bound.local_endpoint().port()};
}

} // namespace banyan::tests
