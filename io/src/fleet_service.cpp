#include "banyan/io/fleet_service.h"

#include "banyan/core/gossip_node.h"
#include "banyan/io/clock.h"
#include "banyan/io/gossip_transport.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_client.h"
#include "banyan/io/platform_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace banyan {

namespace {

/// Between tries to get a first list.
constexpr duration firstListInterval = std::chrono::milliseconds(500);

} // namespace

class fleet_service::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context &context, platform_client &platform, configuration_history &history, fleet_service_options options)
        : m_context(context)
        , m_platform(platform)
        , m_history(history)
        , m_options(std::move(options))
        , m_transport(context, m_options.self.peerAddress, m_options.secret)
        , m_tick(context)
        , m_poll(context)
        , m_random(m_options.seed)
    {
    }

    void start()
    {
        m_transport.open();
        m_options.self.peerAddress = m_transport.address();
        m_node.emplace(gossip_options{.self = m_options.self, .seed = m_options.seed}, m_history, currentTime());
        m_node->setListedAddresses(m_options.seeds);
        m_transport.onMessage([this](const gossip_message &message) {
            perform(m_node->receive(message, currentTime()));
            scheduleTick();
        });
        refreshNodes();
        scheduleTick();
        asio::co_spawn(m_context, pollList(shared_from_this()), asio::detached);
    }

    void stop()
    {
        m_stopped = true;
        m_tick.cancel();
        m_poll.cancel();
        m_transport.onMessage(nullptr);
        m_transport.close();
    }

    void leave()
    {
        perform(m_node->leave(currentTime()));
    }

    void announceDeparture()
    {
        perform(m_node->depart(currentTime()));
    }

    void configurationChanged()
    {
        if (m_node && !m_stopped) {
            perform(m_node->configurationChanged(currentTime()));
        }
    }

    [[nodiscard]] std::vector<node_info> reachableNodes() const
    {
        return m_node ? m_node->reachableNodes() : std::vector<node_info>();
    }

    [[nodiscard]] fleet_counters counters() const
    {
        fleet_counters result = m_transport.counters();
        if (m_node) {
            result.suspicionsRaised = m_node->counters().suspicionsRaised;
            result.deathsDeclared = m_node->counters().deathsDeclared;
            result.selfRefutations = m_node->counters().selfRefutations;
        }
        return result;
    }

    [[nodiscard]] endpoint address() const
    {
        return m_transport.address();
    }

    std::vector<node_info> nodes;
    vm_list vms;
    bool listRead = false;
    std::vector<std::function<void()>> changeHandlers;
    std::function<void()> configurationReceived;
    std::function<void(const node_info &)> configurationBehind;

private:
    void perform(const gossip_actions &actions)
    {
        for (const gossip_action &action : actions) {
            std::visit(
                [this](const auto &value) {
                    performOne(value);
                },
                action);
        }
    }

    void performOne(const send_gossip &action)
    {
        m_transport.send(action.to, action.message);
    }

    void performOne(const view_changed &)
    {
        refreshNodes();
        notify();
    }

    void performOne(const configuration_advanced &)
    {
        if (configurationReceived) {
            configurationReceived();
        }
    }

    void performOne(const fetch_configuration &action)
    {
        if (configurationBehind) {
            configurationBehind(action.peer);
        }
    }

    void refreshNodes()
    {
        const std::vector<node_info> before = std::exchange(nodes, m_node->nodes());
        if (before.size() != nodes.size()) {
            logEvent(log_level::Info, "view_changed", {{"nodes", std::to_string(nodes.size())}});
        }
    }

    void notify()
    {
        for (const auto &handler : changeHandlers) {
            handler();
        }
    }

    void scheduleTick()
    {
        const duration wait = std::max(m_node->nextWakeUp() - currentTime(), duration::zero());
        m_tick.expires_after(wait);
        m_tick.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (error || !self || self->m_stopped) {
                return;
            }
            self->perform(self->m_node->tick(currentTime()));
            self->scheduleTick();
        });
    }

    /// Time until the next reading: the fleet's rate divided by its nodes, with jitter so that nodes spread.
    duration pollInterval()
    {
        if (!listRead) {
            return firstListInterval;
        }
        const double count = static_cast<double>(std::max<std::size_t>(nodes.size(), 1));
        const auto share = std::chrono::duration_cast<duration>(std::chrono::duration<double>(count / m_options.listReadsPerSecond));
        std::uniform_real_distribution<double> jitter(0.75, 1.25);
        return std::chrono::duration_cast<duration>(std::max(share, m_options.minimumListInterval) * jitter(m_random));
    }

    static task<> pollList(std::shared_ptr<implementation> self)
    {
        while (!self->m_stopped) {
            co_await self->readList();
            self->m_poll.expires_after(self->pollInterval());
            boost::system::error_code ignored;
            co_await self->m_poll.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    task<> readList()
    {
        std::optional<vm_list> list = co_await listFromPlatform();
        if (!list && !listRead) {
            list = co_await listFromPeer();
        }
        if (m_stopped || !list || (listRead && *list == vms)) {
            co_return;
        }
        useList(std::move(*list));
    }

    task<std::optional<vm_list>> listFromPlatform()
    {
        std::string failure;
        try {
            vm_list list = co_await m_platform.listVms();
            co_return list;
        } catch (const std::exception &error) {
            failure = error.what();
        }
        logEvent(log_level::Warning, "vm_list_unavailable", {{"reason", failure}});
        co_return std::nullopt;
    }

    /// A start while the platform is down: an older list is better than none.
    task<std::optional<vm_list>> listFromPeer()
    {
        std::vector<node_info> peers = m_node->reachableNodes();
        std::erase_if(peers, [this](const node_info &peer) {
            return peer.id == m_options.self.id;
        });
        if (peers.empty() || !m_options.fetchListFromPeer) {
            co_return std::nullopt;
        }
        const node_info peer = peers[m_random() % peers.size()];
        std::string failure;
        try {
            vm_list list = co_await m_options.fetchListFromPeer(peer);
            co_return list.empty() ? std::nullopt : std::optional(std::move(list));
        } catch (const std::exception &error) {
            failure = error.what();
        }
        logEvent(log_level::Warning, "vm_list_not_fetched", {{"peer", peer.id.text()}, {"reason", failure}});
        co_return std::nullopt;
    }

    void useList(vm_list list)
    {
        vms = std::move(list);
        listRead = true;
        m_node->setListedAddresses(peerAddresses());
        notify();
    }

    /// Where other entry VMs are expected: those of the list and the seeds of the settings.
    [[nodiscard]] std::vector<endpoint> peerAddresses() const
    {
        std::vector<endpoint> result = m_options.seeds;
        for (const vm_entry &vm : vms) {
            if (vm.role == vm_role::Entry) {
                result.push_back(vm.address);
            }
        }
        std::sort(result.begin(), result.end());
        result.erase(std::unique(result.begin(), result.end()), result.end());
        return result;
    }

    asio::io_context &m_context;
    platform_client &m_platform;
    configuration_history &m_history;
    fleet_service_options m_options;
    gossip_transport m_transport;
    std::optional<gossip_node> m_node;
    asio::steady_timer m_tick;
    asio::steady_timer m_poll;
    std::mt19937_64 m_random;
    bool m_stopped = false;
};

fleet_service::fleet_service(asio::io_context &context,
                             platform_client &platform,
                             configuration_history &history,
                             const fleet_service_options &options)
    : m_implementation(std::make_shared<implementation>(context, platform, history, options))
{
}

fleet_service::~fleet_service()
{
    stop();
}

void fleet_service::start()
{
    m_implementation->start();
}

void fleet_service::stop()
{
    m_implementation->stop();
}

endpoint fleet_service::address() const
{
    return m_implementation->address();
}

const std::vector<node_info> &fleet_service::nodes() const
{
    return m_implementation->nodes;
}

std::vector<node_info> fleet_service::reachableNodes() const
{
    return m_implementation->reachableNodes();
}

const vm_list &fleet_service::vms() const
{
    return m_implementation->vms;
}

bool fleet_service::hasList() const
{
    return m_implementation->listRead;
}

void fleet_service::onChange(std::function<void()> handler)
{
    m_implementation->changeHandlers.push_back(std::move(handler));
}

void fleet_service::leave()
{
    m_implementation->leave();
}

void fleet_service::announceDeparture()
{
    m_implementation->announceDeparture();
}

fleet_counters fleet_service::counters() const
{
    return m_implementation->counters();
}

void fleet_service::configurationChanged()
{
    m_implementation->configurationChanged();
}

void fleet_service::onConfigurationReceived(std::function<void()> handler)
{
    m_implementation->configurationReceived = std::move(handler);
}

void fleet_service::onConfigurationBehind(std::function<void(const node_info &)> handler)
{
    m_implementation->configurationBehind = std::move(handler);
}

} // namespace banyan
