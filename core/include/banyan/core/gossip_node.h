#pragma once

#include "banyan/core/configuration_history.h"
#include "banyan/core/gossip_action.h"
#include "banyan/core/gossip_counters.h"
#include "banyan/core/gossip_options.h"
#include "banyan/core/probe_order.h"
#include "banyan/core/token_bucket.h"
#include "banyan/core/update_queue.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace banyan {

/// Runs the gossip protocol of one node: membership, failure detection and distribution of the configuration.
///
/// Failure detection follows SWIM: each period one node is probed, directly and then through others. A node that does not
/// answer is suspected, and declared dead unless it refutes the suspicion in time. Updates are piggybacked on these
/// messages, so that a node's cost does not grow with the fleet. A new configuration version and a planned departure are
/// also sent to a few peers at once, and a node that learns of a newer version requests the patches.
///
/// The host passes events to the member functions and carries out the actions that they return. It calls tick() at
/// nextWakeUp().
///
/// @code
/// gossip_node node({.self = self, .seed = seed}, history, now);
/// node.setListedAddresses(addresses);
/// perform(node.receive(message, now));
/// @endcode
///
/// Guarantees: a stale update neither revives a node nor declares it dead; the configuration version never decreases; at
/// most one message of each kind is sent for each message received, and urgent ones are rate-limited.
class gossip_node
{
public:
    /// @p history must outlive the node.
    gossip_node(const gossip_options &options, configuration_history &history, time_point now);

    /// Starts due probes and raises suspicions for probes without an answer.
    [[nodiscard]] gossip_actions tick(time_point now);

    /// The time at which tick() is due.
    [[nodiscard]] time_point nextWakeUp() const;

    /// Processes an authenticated message.
    [[nodiscard]] gossip_actions receive(const gossip_message &message, time_point now);

    /// Begins a planned drain of this node.
    [[nodiscard]] gossip_actions leave(time_point now);

    /// Announces that this node shuts down now.
    [[nodiscard]] gossip_actions depart(time_point now);

    /// Announces that the host has advanced the history.
    [[nodiscard]] gossip_actions configurationChanged(time_point now);

    /// Sets the peer addresses of the platform's list. Addresses at which no node is known to run are pinged from time to
    /// time, which is how a node joins and how the two sides of a network partition reconnect.
    void setListedAddresses(std::vector<endpoint> addresses);

    /// Running nodes that accept work, ordered by id. Includes this node unless it is leaving.
    [[nodiscard]] std::vector<node_info> nodes() const;

    /// Nodes considered running, including leaving ones and this node, ordered by id.
    [[nodiscard]] std::vector<node_info> reachableNodes() const;

    /// The state that this node announces for itself.
    [[nodiscard]] const member_update &self() const
    {
        return m_self;
    }

    [[nodiscard]] const member_table &members() const
    {
        return m_members;
    }

    [[nodiscard]] const gossip_counters &counters() const
    {
        return m_counters;
    }

private:
    /// A ping of this node that waits for its ack.
    struct probe
    {
        std::uint64_t sequence = 0;
        node_id target;
        time_point sent;
        bool indirect = false; // ping requests have been sent to other nodes
    };

    /// A ping sent on behalf of another node.
    struct relay
    {
        endpoint requester;
        std::uint64_t sequence = 0; // of the requester's PingRequest
        node_id target;
        time_point expires;
    };

    gossip_actions takeActions();
    void send(const endpoint &to, gossip_message message);
    [[nodiscard]] gossip_message makeMessage(gossip_kind kind, const node_id &recipient);
    [[nodiscard]] const member_update *latestUpdate(const node_id &id) const;
    void addUpdates(gossip_message &message, const node_id &recipient);

    void detectPause(time_point now);
    void probeNext(time_point now);
    void probeIndirectly();
    void endProbe(time_point now);
    void reconnect(time_point now);
    void expireSuspicions(time_point now);
    [[nodiscard]] const std::vector<endpoint> &unknownAddresses();
    [[nodiscard]] duration reconnectInterval(std::size_t unknown) const;

    void applyUpdate(const member_update &update, time_point now);
    void applyUpdateOnSelf(const member_update &update);
    void applyUpdateOnPredecessor(const member_update &update, time_point now);
    void recordChange(member_change change, const member_update &update, time_point now);
    void respond(const gossip_message &message, time_point now);
    void answerPing(const gossip_message &message);
    void answerPingRequest(const gossip_message &message, time_point now);
    void handleAck(const gossip_message &message);
    void forwardAck(const gossip_message &message);
    void informSuspectedSender(const gossip_message &message, time_point now);
    void sendRumors(std::size_t fanout, time_point now);

    [[nodiscard]] duration viewInterval();
    [[nodiscard]] bool manyAddressesUnknown();
    void requestView(time_point now);
    void answerViewRequest(const gossip_message &message, time_point now);
    void handleView(const gossip_message &message, time_point now);

    void applyPatches(const gossip_message &message, time_point now);
    void pullConfiguration(const gossip_message &message, time_point now);
    void answerPatchRequest(const gossip_message &message, time_point now);
    void announceConfiguration(time_point now);
    void fetch(const node_info &peer, time_point now);

    gossip_options m_options;
    configuration_history &m_history;
    std::mt19937_64 m_random;
    member_update m_self;
    member_table m_members;
    update_queue m_updates;
    probe_order m_order;
    gossip_counters m_counters;
    gossip_actions m_actions;
    bool m_viewChanged = false;
    bool m_urgent = false; // the current message carried updates to forward without waiting for a probe
    bool m_fromView = false; // the current updates are a page of a view and are not forwarded
    bool m_selfRefuted = false; // the current message claimed that this node is not running

    std::uint64_t m_sequence;
    std::optional<probe> m_probe;
    std::map<std::uint64_t, relay> m_relays;
    time_point m_nextProbe;
    time_point m_nextReconnect;
    std::vector<endpoint> m_listedAddresses;
    std::vector<endpoint> m_unknownAddresses; // listed addresses at which no node is known to run
    bool m_unknownAddressesOutdated = true;

    time_point m_nextView;
    std::uint64_t m_viewSequence = 0; // of the pending ViewRequest; 0 if none
    node_id m_viewCursor;
    bool m_joining = true;
    int m_joinRounds = 0;

    std::optional<configuration_version> m_announced;
    time_point m_nextPull; // earliest time of the next patch request
    node_id m_pullPeer;
    token_bucket m_rumorLimit;
    token_bucket m_answerLimit;
};

} // namespace banyan
