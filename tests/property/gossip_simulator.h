#pragma once

#include "banyan/core/configuration_history.h"
#include "banyan/core/gossip_node.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyan {

/// Options of a gossip_simulator.
struct gossip_simulator_options
{
    std::uint64_t seed = 1;
    double loss = 0; ///< Probability that a message is lost.
    double duplication = 0; ///< Probability that a message is duplicated.
    double replay = 0; ///< Probability that each message sent also replays a random earlier one to a random node.
    duration minimumLatency = std::chrono::microseconds(500);
    duration maximumLatency = std::chrono::milliseconds(3);
    gossip_options gossip; ///< Options of each node, except self and seed, which the simulator sets.
};

/// Runs gossip nodes in one process on simulated time and delivers their messages in the order of arrival.
class gossip_simulator
{
public:
    /// A node with its configuration history.
    struct host
    {
        explicit host(const gossip_options &options, time_point now)
            : history({})
            , node(options, history, now)
        {
        }

        configuration_history history;
        gossip_node node;
        bool running = true;
        time_point pausedUntil{};
        std::uint64_t messages = 0; ///< Number of messages sent.
        std::uint64_t bytes = 0; ///< Bytes sent, as counted by the function set with setMessageSize().
        std::size_t fetches = 0; ///< Number of configuration fetches over a stream.
    };

    explicit gossip_simulator(gossip_simulator_options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
    }

    /// Starts a node in the failure domain @p domain and returns its index.
    std::size_t add(const std::string &domain = "d0")
    {
        const std::size_t index = m_hosts.size();
        return add(domain, addressOf(index));
    }

    /// Starts a node at an address whose previous node, if any, has ended.
    std::size_t add(const std::string &domain, const endpoint &address)
    {
        const std::size_t index = m_hosts.size();
        gossip_options options = m_options.gossip;
        options.seed = m_random();
        options.self = {.id = node_id("entry-" + std::to_string(index) + "-" + std::to_string(options.seed % 100000000)),
                        .vm = vm_id("entry-" + std::to_string(index)),
                        .domain = failure_domain(domain),
                        .peerAddress = address};
        m_hosts.push_back(std::make_unique<host>(options, m_now));
        m_byAddress[options.self.peerAddress.toString()] = index;
        schedule(index, m_now);
        return index;
    }

    /// Passes the addresses of all nodes to all nodes, as the platform's list.
    void distributeAddresses()
    {
        std::vector<endpoint> addresses;
        addresses.reserve(m_byAddress.size());
        for (const auto &entry : m_byAddress) {
            addresses.push_back(endpoint::parse(entry.first));
        }
        std::sort(addresses.begin(), addresses.end());
        for (const auto &each : m_hosts) {
            each->node.setListedAddresses(addresses);
        }
    }

    /// Gives each node the complete view, as in a fleet that has run for long.
    void introduceAll()
    {
        gossip_message view;
        view.kind = gossip_kind::View;
        for (const auto &each : m_hosts) {
            view.updates.push_back(each->node.self());
        }
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            view.sender = view.updates[(index + 1) % view.updates.size()];
            perform(index, m_hosts[index]->node.receive(view, m_now));
        }
    }

    [[nodiscard]] host &at(std::size_t index)
    {
        return *m_hosts[index];
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_hosts.size();
    }

    [[nodiscard]] time_point now() const
    {
        return m_now;
    }

    void kill(std::size_t index)
    {
        m_hosts[index]->running = false;
    }

    /// Suspends a node for @p span; its messages are delivered afterwards.
    void pause(std::size_t index, duration span)
    {
        m_hosts[index]->pausedUntil = m_now + span;
    }

    /// Drops messages on the links for which @p cut returns true; an empty function restores all links.
    void cutLinks(std::function<bool(std::size_t from, std::size_t to)> cut)
    {
        m_cut = std::move(cut);
    }

    void setLoss(double loss)
    {
        m_options.loss = loss;
    }

    /// Ends loss, duplication and replay, and restores all links.
    void heal()
    {
        m_options.loss = 0;
        m_options.duplication = 0;
        m_options.replay = 0;
        m_cut = nullptr;
    }

    /// Sets the function that computes the size of a message in bytes.
    void setMessageSize(std::function<std::size_t(const gossip_message &)> size)
    {
        m_messageSize = std::move(size);
    }

    /// Sets a handler that is called after each event, to check invariants.
    void onEvent(std::function<void(std::size_t index)> handler)
    {
        m_onEvent = std::move(handler);
    }

    /// Carries out a node's actions.
    void perform(std::size_t index, const gossip_actions &actions)
    {
        for (const gossip_action &action : actions) {
            if (const auto *const sending = std::get_if<send_gossip>(&action)) {
                transmit(index, *sending);
            } else if (const auto *const fetching = std::get_if<fetch_configuration>(&action)) {
                fetch(index, fetching->peer);
            }
        }
    }

    /// Applies a patch on a node, as a commit by that node does.
    void applyPatch(std::size_t index, const configuration_patch &patch)
    {
        if (m_hosts[index]->history.apply(patch)) {
            perform(index, m_hosts[index]->node.configurationChanged(m_now));
        }
    }

    void runFor(duration span)
    {
        const time_point end = m_now + span;
        while (!m_events.empty() && m_events.top().at <= end) {
            event next = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, next.at);
            handle(next);
        }
        m_now = end;
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::size_t index = 0;
        std::shared_ptr<const gossip_message> message; // null for a tick

        bool operator<(const event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    static endpoint addressOf(std::size_t index)
    {
        return {.address = "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), .port = 7400};
    }

    void schedule(std::size_t index, time_point at, std::shared_ptr<const gossip_message> message = nullptr)
    {
        m_events.push({.at = at, .order = ++m_order, .index = index, .message = std::move(message)});
    }

    void handle(event &next)
    {
        host &target = *m_hosts[next.index];
        if (!target.running) {
            return;
        }
        if (target.pausedUntil > m_now) {
            schedule(next.index, target.pausedUntil, next.message);
            return;
        }
        if (next.message) {
            perform(next.index, target.node.receive(*next.message, m_now));
        } else {
            tick(next.index);
        }
        if (m_onEvent) {
            m_onEvent(next.index);
        }
    }

    void tick(std::size_t index)
    {
        host &target = *m_hosts[index];
        if (target.node.nextWakeUp() <= m_now) {
            perform(index, target.node.tick(m_now));
        }
        // Messages may bring the next wake-up forward; a tick each quarter of the ping timeout is precise enough.
        schedule(
            index,
            std::min(std::max(target.node.nextWakeUp(), m_now + std::chrono::milliseconds(1)), m_now + std::chrono::milliseconds(100)));
    }

    void transmit(std::size_t from, const send_gossip &sending)
    {
        host &sender = *m_hosts[from];
        ++sender.messages;
        sender.bytes += m_messageSize ? m_messageSize(sending.message) : 0;
        const auto found = m_byAddress.find(sending.to.toString());
        if (found == m_byAddress.end() || (m_cut && m_cut(from, found->second))) {
            return;
        }
        const auto message = std::make_shared<const gossip_message>(sending.message);
        replayOldMessage(message);
        const int copies = randomEvent(m_options.duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (!randomEvent(m_options.loss)) {
                schedule(found->second, m_now + latency(), message);
            }
        }
    }

    /// Stores the message and, with the configured probability, replays a stored one.
    void replayOldMessage(const std::shared_ptr<const gossip_message> &message)
    {
        if (m_options.replay == 0) {
            return;
        }
        m_pastMessages.push_back(message);
        if (randomEvent(m_options.replay)) {
            schedule(m_random() % m_hosts.size(), m_now + latency(), m_pastMessages[m_random() % m_pastMessages.size()]);
        }
    }

    /// Simulates a fetch of the configuration over a stream between peers.
    void fetch(std::size_t index, const node_info &peer)
    {
        const std::size_t source = m_byAddress.at(peer.peerAddress.toString());
        ++m_hosts[index]->fetches;
        if (!m_hosts[source]->running || (m_cut && m_cut(index, source))) {
            return;
        }
        host &target = *m_hosts[index];
        if (target.history.applyUpdate(m_hosts[source]->history.since(target.history.version()))) {
            perform(index, target.node.configurationChanged(m_now));
        }
    }

    [[nodiscard]] bool randomEvent(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    [[nodiscard]] duration latency()
    {
        std::uniform_int_distribution<duration::rep> draw(m_options.minimumLatency.count(), m_options.maximumLatency.count());
        return duration(draw(m_random));
    }

    gossip_simulator_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::unordered_map<std::string, std::size_t> m_byAddress;
    std::priority_queue<event> m_events;
    std::vector<std::shared_ptr<const gossip_message>> m_pastMessages;
    std::function<bool(std::size_t, std::size_t)> m_cut;
    std::function<std::size_t(const gossip_message &)> m_messageSize;
    std::function<void(std::size_t)> m_onEvent;
    std::uint64_t m_order = 0;
    time_point m_now{std::chrono::seconds(1000)};
};

} // namespace banyan
