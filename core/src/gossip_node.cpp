#include "banyan/core/gossip_node.h"

#include "banyan/core/configuration_error.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace banyan {

namespace {

/// Transmissions of an update for each power of ten of the fleet size.
constexpr std::size_t transmissionsPerMagnitude = 4;

/// Largest number of pings on behalf of other nodes that are tracked at once.
constexpr std::size_t maximumRelays = 128;

/// How long to wait for an ack on behalf of another node.
constexpr duration relayTimeout = std::chrono::seconds(2);

/// Views are exchanged faster if more than one in this many listed addresses has no known node.
constexpr std::size_t unknownAddressRatio = 20;

/// How often a node that has just started reads the whole view of a peer at most.
constexpr int maximumJoinRounds = 20;

/// Number of listed addresses that a node without peers pings at once.
constexpr std::size_t joinPings = 3;

std::size_t transmissionLimit(std::size_t nodes)
{
    const double magnitude = std::ceil(std::log10(static_cast<double>(nodes + 1)));
    return transmissionsPerMagnitude * static_cast<std::size_t>(std::max(1.0, magnitude));
}

} // namespace

gossip_node::gossip_node(const gossip_options &options, configuration_history &history, time_point now)
    : m_options(options)
    , m_history(history)
    , m_random(options.seed)
    , m_self{.node = options.self}
    , m_members(options.members)
    , m_sequence(m_random())
    , m_announced(history.version())
    , m_rumorLimit(options.rumorsPerSecond, options.rumorBurst)
    , m_answerLimit(options.answersPerSecond, options.answerBurst)
{
    std::uniform_int_distribution<duration::rep> phase(0, options.probePeriod.count());
    m_nextProbe = now + duration(phase(m_random));
    m_nextReconnect = now;
    m_nextView = now;
}

gossip_actions gossip_node::tick(time_point now)
{
    detectPause(now);
    expireSuspicions(now);
    if (m_probe && !m_probe->indirect && now >= m_probe->sent + m_options.pingTimeout) {
        probeIndirectly();
    }
    if (now >= m_nextProbe) {
        endProbe(now);
        probeNext(now);
        m_nextProbe = std::max(m_nextProbe + m_options.probePeriod, now + m_options.pingTimeout);
    }
    if (now >= m_nextReconnect) {
        reconnect(now);
    }
    if (now >= m_nextView) {
        requestView(now);
    }
    return takeActions();
}

time_point gossip_node::nextWakeUp() const
{
    time_point result = std::min({m_nextProbe, m_nextReconnect, m_nextView});
    if (m_probe && !m_probe->indirect) {
        result = std::min(result, m_probe->sent + m_options.pingTimeout);
    }
    return std::min(result, m_members.nextExpiry().value_or(result));
}

void gossip_node::detectPause(time_point now)
{
    const duration late = now - nextWakeUp();
    if (late <= m_options.pauseTolerance) {
        return;
    }
    ++m_counters.pausesDetected;
    m_members.extendSuspicions(late);
    m_probe.reset();
    m_nextProbe = std::max(m_nextProbe, now);
}

void gossip_node::probeNext(time_point now)
{
    const std::optional<node_id> target = m_order.next(m_members, m_random);
    if (!target) {
        return;
    }
    gossip_message ping = makeMessage(gossip_kind::Ping, *target);
    ping.sequence = ++m_sequence;
    ping.target = *target;
    m_probe = probe{.sequence = ping.sequence, .target = *target, .sent = now};
    send(m_members.find(*target)->node.peerAddress, std::move(ping));
}

void gossip_node::probeIndirectly()
{
    m_probe->indirect = true;
    const member_update *const target = m_members.find(m_probe->target);
    if (target == nullptr || !isRunning(target->state)) {
        m_probe.reset();
        return;
    }
    const node_info node = target->node;
    for (const node_id &helper : sample(m_members.running(), m_options.indirectProbes, node.id, m_random)) {
        gossip_message request = makeMessage(gossip_kind::PingRequest, helper);
        request.sequence = m_probe->sequence;
        request.probe = node;
        send(m_members.find(helper)->node.peerAddress, std::move(request));
    }
}

void gossip_node::endProbe(time_point now)
{
    if (!m_probe) {
        return;
    }
    const member_update *const target = m_members.find(m_probe->target);
    m_probe.reset();
    if (target == nullptr || target->state != member_state::Alive) {
        return;
    }
    ++m_counters.suspicionsRaised;
    member_update suspicion = *target;
    suspicion.state = member_state::Suspect;
    recordChange(m_members.merge(suspicion, now), suspicion, now);
    // A node that was unreachable only briefly can refute the suspicion at once.
    send(suspicion.node.peerAddress, makeMessage(gossip_kind::Rumor, suspicion.node.id));
}

void gossip_node::reconnect(time_point now)
{
    const bool hasNoPeers = m_members.running().empty();
    const std::vector<endpoint> &candidates = unknownAddresses();
    m_nextReconnect = now + (hasNoPeers ? m_options.probePeriod : reconnectInterval(candidates.size()));
    if (candidates.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    for (std::size_t count = 0; count < (hasNoPeers ? joinPings : 1); ++count) {
        gossip_message ping = makeMessage(gossip_kind::Ping, {});
        ping.sequence = ++m_sequence;
        send(candidates[draw(m_random)], std::move(ping));
    }
}

duration gossip_node::reconnectInterval(std::size_t unknown) const
{
    if (unknown == 0) {
        return m_options.minimumReconnectInterval;
    }
    // All running nodes ping these addresses, so each one pings less often the more nodes there are per address.
    const double nodesPerAddress = static_cast<double>(m_members.running().size() + 1) / static_cast<double>(unknown);
    const std::chrono::duration<double> interval(nodesPerAddress / m_options.reconnectsPerAddress);
    return std::clamp(
        std::chrono::duration_cast<duration>(interval), m_options.minimumReconnectInterval, m_options.maximumReconnectInterval);
}

const std::vector<endpoint> &gossip_node::unknownAddresses()
{
    if (!m_unknownAddressesOutdated) {
        return m_unknownAddresses;
    }
    std::set<endpoint> known{m_self.node.peerAddress};
    for (const node_id &id : m_members.running()) {
        known.insert(m_members.find(id)->node.peerAddress);
    }
    m_unknownAddresses.clear();
    std::copy_if(m_listedAddresses.begin(), m_listedAddresses.end(), std::back_inserter(m_unknownAddresses), [&](const endpoint &address) {
        return !known.contains(address);
    });
    m_unknownAddressesOutdated = false;
    return m_unknownAddresses;
}

void gossip_node::setListedAddresses(std::vector<endpoint> addresses)
{
    m_listedAddresses = std::move(addresses);
    m_unknownAddressesOutdated = true;
    m_nextReconnect = std::min(m_nextReconnect, m_nextProbe);
}

void gossip_node::expireSuspicions(time_point now)
{
    for (const member_update &dead : m_members.expire(now)) {
        ++m_counters.deathsDeclared;
        recordChange(member_change::ViewChanged, dead, now);
    }
}

gossip_actions gossip_node::receive(const gossip_message &message, time_point now)
{
    if (message.sender.node.id == m_self.node.id) {
        return {};
    }
    m_selfRefuted = false;
    applyUpdate(message.sender, now);
    m_fromView = message.kind == gossip_kind::View;
    for (const member_update &update : message.updates) {
        applyUpdate(update, now);
    }
    m_fromView = false;
    applyPatches(message, now);
    respond(message, now);
    pullConfiguration(message, now);
    if (std::exchange(m_urgent, false)) {
        sendRumors(m_options.rumorFanout, now);
    }
    return takeActions();
}

void gossip_node::respond(const gossip_message &message, time_point now)
{
    switch (message.kind) {
    case gossip_kind::Ping:
        answerPing(message);
        return;
    case gossip_kind::PingRequest:
        answerPingRequest(message, now);
        break;
    case gossip_kind::Ack:
        handleAck(message);
        break;
    case gossip_kind::ViewRequest:
        answerViewRequest(message, now);
        return;
    case gossip_kind::View:
        handleView(message, now);
        break;
    case gossip_kind::PatchRequest:
        answerPatchRequest(message, now);
        return;
    case gossip_kind::Rumor:
    case gossip_kind::Patches:
        break;
    }
    informSuspectedSender(message, now);
}

void gossip_node::applyUpdate(const member_update &update, time_point now)
{
    if (update.node.id == m_self.node.id) {
        applyUpdateOnSelf(update);
        return;
    }
    if (update.node.peerAddress == m_self.node.peerAddress && isRunning(update.state)) {
        applyUpdateOnPredecessor(update, now);
        return;
    }
    const member_update *const known = m_members.find(update.node.id);
    const bool suspected = known != nullptr && known->state == member_state::Suspect;
    const member_change change = m_members.merge(update, now);
    m_urgent = m_urgent || (suspected && change != member_change::None && update.state == member_state::Alive);
    recordChange(change, update, now);
}

void gossip_node::applyUpdateOnSelf(const member_update &update)
{
    if (update.incarnation < m_self.incarnation || update.state == member_state::Alive || m_self.state == member_state::Left) {
        return;
    }
    ++m_counters.selfRefutations;
    m_selfRefuted = true;
    m_urgent = true;
    m_self.incarnation = update.incarnation + 1;
    m_updates.push(m_self.node.id);
}

void gossip_node::applyUpdateOnPredecessor(const member_update &update, time_point now)
{
    // This process uses the address, so the node that used it before has ended and cannot announce that itself.
    member_update departure = update;
    departure.state = member_state::Left;
    departure.leaving = true;
    const member_update *const known = m_members.find(update.node.id);
    if (known != nullptr && known->state == member_state::Left) {
        return;
    }
    static_cast<void>(m_members.merge(departure, now));
    m_updates.push(update.node.id);
    m_urgent = true;
}

void gossip_node::recordChange(member_change change, const member_update &update, time_point now)
{
    if (change == member_change::None) {
        return;
    }
    if (!m_fromView) {
        m_updates.push(update.node.id);
    }
    if (change != member_change::ViewChanged) {
        return;
    }
    m_viewChanged = true;
    m_unknownAddressesOutdated = true;
    m_urgent = m_urgent || update.leaving || update.state == member_state::Left;
    if (isRunning(update.state) && !update.leaving) {
        m_order.insert(update.node.id, m_random);
    }
    if (m_joining && m_members.running().size() == 1) {
        m_nextView = now;
    }
}

void gossip_node::answerPing(const gossip_message &message)
{
    gossip_message ack = makeMessage(gossip_kind::Ack, message.sender.node.id);
    ack.sequence = message.sequence;
    ack.target = m_self.node.id;
    send(message.sender.node.peerAddress, std::move(ack));
}

void gossip_node::answerPingRequest(const gossip_message &message, time_point now)
{
    std::erase_if(m_relays, [&](const auto &entry) {
        return entry.second.expires <= now;
    });
    if (!message.probe || m_relays.size() >= maximumRelays) {
        return;
    }
    gossip_message ping = makeMessage(gossip_kind::Ping, message.probe->id);
    ping.sequence = ++m_sequence;
    ping.target = message.probe->id;
    m_relays[ping.sequence] = {.requester = message.sender.node.peerAddress,
                               .sequence = message.sequence,
                               .target = message.probe->id,
                               .expires = now + relayTimeout};
    send(message.probe->peerAddress, std::move(ping));
}

void gossip_node::handleAck(const gossip_message &message)
{
    forwardAck(message);
    if (!m_probe || m_probe->sequence != message.sequence) {
        return;
    }
    if (message.target == m_probe->target) {
        m_probe.reset();
    }
}

void gossip_node::forwardAck(const gossip_message &message)
{
    const auto found = m_relays.find(message.sequence);
    if (found == m_relays.end()) {
        return;
    }
    const relay waiting = found->second;
    m_relays.erase(found);
    if (message.target != waiting.target) {
        return;
    }
    gossip_message ack = makeMessage(gossip_kind::Ack, {});
    ack.sequence = waiting.sequence;
    ack.target = waiting.target;
    send(waiting.requester, std::move(ack));
}

void gossip_node::informSuspectedSender(const gossip_message &message, time_point now)
{
    const member_update *const known = m_members.find(message.sender.node.id);
    const bool senderSuspected = known != nullptr && (known->state == member_state::Suspect || known->state == member_state::Dead);
    if ((senderSuspected || m_selfRefuted) && m_answerLimit.take(now)) {
        send(message.sender.node.peerAddress, makeMessage(gossip_kind::Rumor, message.sender.node.id));
    }
}

void gossip_node::sendRumors(std::size_t fanout, time_point now)
{
    for (const node_id &peer : sample(m_members.running(), fanout, {}, m_random)) {
        if (!m_rumorLimit.take(now)) {
            return;
        }
        send(m_members.find(peer)->node.peerAddress, makeMessage(gossip_kind::Rumor, peer));
    }
}

gossip_actions gossip_node::leave(time_point now)
{
    if (!m_self.leaving) {
        m_self.leaving = true;
        ++m_self.incarnation;
        m_updates.push(m_self.node.id);
        m_viewChanged = true;
        sendRumors(m_options.rumorFanout, now);
    }
    return takeActions();
}

gossip_actions gossip_node::depart(time_point now)
{
    m_self.state = member_state::Left;
    m_self.leaving = true;
    m_updates.push(m_self.node.id);
    m_viewChanged = true;
    sendRumors(2 * m_options.rumorFanout, now);
    return takeActions();
}

void gossip_node::requestView(time_point now)
{
    m_nextView = now + viewInterval();
    const std::vector<node_id> peers = sample(m_members.running(), 1, {}, m_random);
    if (peers.empty()) {
        return;
    }
    gossip_message request = makeMessage(gossip_kind::ViewRequest, peers.front());
    request.sequence = ++m_sequence;
    request.target = m_viewCursor;
    m_viewSequence = request.sequence;
    send(m_members.find(peers.front())->node.peerAddress, std::move(request));
}

duration gossip_node::viewInterval()
{
    if (m_joining) {
        return m_options.answerTimeout;
    }
    return manyAddressesUnknown() ? m_options.fastViewInterval : m_options.viewInterval;
}

bool gossip_node::manyAddressesUnknown()
{
    return unknownAddresses().size() * unknownAddressRatio > m_listedAddresses.size();
}

void gossip_node::answerViewRequest(const gossip_message &message, time_point now)
{
    if (!m_answerLimit.take(now)) {
        return;
    }
    gossip_message view = makeMessage(gossip_kind::View, message.sender.node.id);
    view.sequence = message.sequence;
    view.target = message.target;
    view.updates = m_members.page(message.target, m_options.messageBytes);
    view.more = !view.updates.empty() && !m_members.page(view.updates.back().node.id, m_options.messageBytes).empty();
    send(message.sender.node.peerAddress, std::move(view));
}

void gossip_node::handleView(const gossip_message &message, time_point now)
{
    if (m_viewSequence == 0 || message.sequence != m_viewSequence) {
        return;
    }
    const bool more = message.more && !message.updates.empty();
    m_viewSequence = 0;
    m_viewCursor = more ? message.updates.back().node.id : node_id();
    if (!m_joining) {
        return;
    }
    if (more) {
        requestView(now);
        return;
    }
    // If many nodes start together, the first peer may know few nodes yet, so its view is soon read again.
    ++m_joinRounds;
    m_joining = manyAddressesUnknown() && m_joinRounds < maximumJoinRounds;
}

void gossip_node::applyPatches(const gossip_message &message, time_point now)
{
    const std::optional<configuration_version> before = m_history.version();
    try {
        m_history.applyUpdate({.patches = message.patches});
    } catch (const configuration_error &) {
        ++m_counters.rejectedPatches;
    }
    if (m_history.version() != before) {
        m_actions.emplace_back(configuration_advanced{});
        announceConfiguration(now);
    }
}

void gossip_node::pullConfiguration(const gossip_message &message, time_point now)
{
    const bool answered = message.kind == gossip_kind::Patches && message.sender.node.id == m_pullPeer;
    if (answered) {
        m_pullPeer = {};
        m_nextPull = now;
    }
    if (!message.head || !m_history.isNewer(*message.head) || now < m_nextPull) {
        return;
    }
    const bool doesNotFit = answered && message.patches.empty();
    if (!m_history.version() || doesNotFit) {
        fetch(message.sender.node, now);
        return;
    }
    m_pullPeer = message.sender.node.id;
    m_nextPull = now + m_options.answerTimeout;
    send(message.sender.node.peerAddress, makeMessage(gossip_kind::PatchRequest, m_pullPeer));
}

void gossip_node::fetch(const node_info &peer, time_point now)
{
    m_nextPull = now + m_options.fetchTimeout;
    m_actions.emplace_back(fetch_configuration{.peer = peer});
}

void gossip_node::answerPatchRequest(const gossip_message &message, time_point now)
{
    if (!message.head || !m_history.version() || *message.head >= *m_history.version() || !m_answerLimit.take(now)) {
        return;
    }
    gossip_message patches = makeMessage(gossip_kind::Patches, message.sender.node.id);
    patches.patches = m_history.patchesAfter(*message.head, m_options.messageBytes);
    send(message.sender.node.peerAddress, std::move(patches));
}

gossip_actions gossip_node::configurationChanged(time_point now)
{
    m_nextPull = now;
    announceConfiguration(now);
    return takeActions();
}

void gossip_node::announceConfiguration(time_point now)
{
    if (m_history.version() == m_announced) {
        return;
    }
    sendRumors(m_options.rumorFanout, now);
    m_announced = m_history.version();
}

gossip_message gossip_node::makeMessage(gossip_kind kind, const node_id &recipient)
{
    gossip_message message;
    message.kind = kind;
    message.sender = m_self;
    message.head = m_history.version();
    if (kind == gossip_kind::Rumor && m_announced && m_announced != m_history.version()) {
        message.patches = m_history.patchesAfter(*m_announced, m_options.messageBytes);
        return message;
    }
    const bool carriesUpdates =
        kind == gossip_kind::Ping || kind == gossip_kind::Ack || kind == gossip_kind::PingRequest || kind == gossip_kind::Rumor;
    if (carriesUpdates) {
        addUpdates(message, recipient);
    }
    return message;
}

void gossip_node::addUpdates(gossip_message &message, const node_id &recipient)
{
    std::size_t bytes = m_options.updateBytes;
    // The update on the recipient goes first, so that the recipient can refute it.
    const member_update *const recipientUpdate = m_members.find(recipient);
    if (recipientUpdate != nullptr && recipientUpdate->state != member_state::Alive) {
        message.updates.push_back(*recipientUpdate);
        bytes -= std::min(bytes, encodedSize(*recipientUpdate));
    }
    const std::size_t limit = transmissionLimit(m_members.running().size());
    m_updates.beginMessage();
    while (bytes > 0) {
        const node_id *const id = m_updates.next(limit);
        if (id == nullptr) {
            return;
        }
        const member_update *const latest = latestUpdate(*id);
        if (latest == nullptr) {
            continue;
        }
        bytes -= std::min(bytes, encodedSize(*latest));
        message.updates.push_back(*latest);
    }
}

const member_update *gossip_node::latestUpdate(const node_id &id) const
{
    return id == m_self.node.id ? &m_self : m_members.find(id);
}

void gossip_node::send(const endpoint &to, gossip_message message)
{
    m_actions.emplace_back(send_gossip{.to = to, .message = std::move(message)});
}

gossip_actions gossip_node::takeActions()
{
    if (std::exchange(m_viewChanged, false)) {
        m_actions.emplace_back(view_changed{});
    }
    return std::exchange(m_actions, {});
}

std::vector<node_info> gossip_node::nodes() const
{
    std::vector<node_info> result;
    if (!m_self.leaving) {
        result.push_back(m_self.node);
    }
    for (const member_update &update : m_members.runningUpdates()) {
        if (!update.leaving) {
            result.push_back(update.node);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<node_info> gossip_node::reachableNodes() const
{
    std::vector<node_info> result{m_self.node};
    for (const member_update &update : m_members.runningUpdates()) {
        result.push_back(update.node);
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace banyan
