#pragma once

#include "banyan/core/node_info.h"
#include "banyan/core/time.h"
#include "banyan/core/vm_entry.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/fleet_counters.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace banyan {

class configuration_history;
class platform_client;

/// Asks a peer for the platform's list as it read it last. Throws any std::exception if the peer cannot be asked.
using vm_list_fetcher = std::function<task<vm_list>(node_info peer)>;

/// Options of a fleet_service.
struct fleet_service_options
{
    node_info self; ///< peerAddress is where UDP is received; its port must be set, or 0 in tests (see address()).
    std::string secret; ///< Shared by all nodes of the fleet; authenticates their messages.
    std::vector<endpoint> seeds; ///< Peer addresses to look for besides the list's: how a node starts while the platform is down.
    vm_list_fetcher fetchListFromPeer; ///< Unset: without the platform there is no list.
    std::uint64_t seed = 1; ///< For random choices; give each process another one.
    duration minimumListInterval = std::chrono::seconds(2); ///< Between two readings of the platform's list.
    double listReadsPerSecond = 50; ///< Of the whole fleet together: more nodes read the list less often.
};

/// Knows which nodes and VMs there are: probes peers, exchanges views with them and reads the platform's list.
///
/// The view is a hint: nodes may differ for some seconds, and no safety rests on it.
///
/// @code
/// configuration_history history({});
/// fleet_service fleet(context, platform, history, {.self = self, .secret = secret, .seed = seed});
/// fleet.onChange([&] { router.setCells(...); });
/// fleet.start();
/// @endcode
class fleet_service
{
public:
    /// @p history is served to peers and fed by them; see configuration_service.
    fleet_service(asio::io_context &context,
                  platform_client &platform,
                  configuration_history &history,
                  const fleet_service_options &options);
    ~fleet_service();

    /// Binds the UDP socket and begins to probe. @throws std::runtime_error if the address cannot be bound
    void start();

    /// Stops probing and polling and closes the socket; peers see a node that is lost unless leave() and then
    /// announceDeparture() were called before.
    void stop();

    /// Where it receives, with the real port.
    [[nodiscard]] endpoint address() const;

    /// The nodes that work may be given to: alive, not leaving, this one included unless it leaves. In the order of ids.
    [[nodiscard]] const std::vector<node_info> &nodes() const;

    /// All nodes that are thought to run, leaving ones included; for calls that only need an answer.
    [[nodiscard]] std::vector<node_info> reachableNodes() const;

    /// The platform's list as it was read last, or a peer's reading for a start while the platform is down; empty until then.
    [[nodiscard]] const vm_list &vms() const;

    /// Whether there is a list.
    [[nodiscard]] bool hasList() const;

    /// Calls @p handler, from the Asio thread, after nodes() or vms() changed. Several handlers may be added.
    void onChange(std::function<void()> handler);

    /// Tells all that this node leaves (planned drain): nodes() of every node loses it within seconds; it goes on answering.
    void leave();

    /// Tells some peers that this node ends now, so that nobody has to find it out by probing.
    void announceDeparture();

    [[nodiscard]] fleet_counters counters() const;

    /// For configuration_service: the history was advanced by this node itself; tells peers at once.
    void configurationChanged();
    /// For configuration_service: calls @p handler after a peer's message has advanced the history.
    void onConfigurationReceived(std::function<void()> handler);
    /// For configuration_service: calls @p handler with a peer that has newer versions than fit in a message.
    void onConfigurationBehind(std::function<void(const node_info &)> handler);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
