#include "fleet_nodes.h"

#include "eventually.h"

#include <stdexcept>

namespace banyan::process_tests {

namespace {

const std::string secret = "secret of the test fleet";

node_info infoOf(std::size_t index)
{
    const std::string name = "entry-" + std::to_string(index);
    return {.id = node_id(name + "-1"),
            .vm = vm_id(name),
            .domain = failure_domain("d" + std::to_string(index % 3)),
            .peerAddress = {.address = "127.0.0.1", .port = 0}};
}

} // namespace

fleet_nodes::node::node(fleet_nodes &owner, std::size_t index, const endpoint &platformAddress, std::vector<endpoint> seeds)
    : client(owner.m_context, {})
    , platform(client, {.address = platformAddress})
    , history({})
    , fleet(owner.m_context, platform, history, {.self = infoOf(index), .secret = secret, .seeds = std::move(seeds), .seed = index + 1})
    , configurations(owner.m_context,
                     platform,
                     fleet,
                     history,
                     {.fetchFromPeer = [&owner](node_info peer, configuration_version version) -> task<configuration_update> {
                          for (const auto &other : owner.m_nodes) {
                              if (other->fleet.address() == peer.peerAddress) {
                                  co_return other->configurations.updateSince(version);
                              }
                          }
                          throw std::runtime_error("no such peer");
                      },
                      .seed = index + 1})
{
    fleet.start();
    configurations.start();
}

fleet_nodes::fleet_nodes(const endpoint &platform)
    : m_platform(platform)
{
}

fleet_nodes::node &fleet_nodes::start()
{
    std::vector<endpoint> seeds;
    for (const auto &running : m_nodes) {
        seeds.push_back(running->fleet.address());
    }
    m_nodes.push_back(std::make_unique<node>(*this, m_nodes.size(), m_platform, std::move(seeds)));
    return *m_nodes.back();
}

bool fleet_nodes::runUntil(const std::function<bool()> &condition)
{
    constexpr std::chrono::milliseconds slice(5);
    const auto end = std::chrono::steady_clock::now() + defaultPatience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        m_context.run_for(slice);
    }
    return true;
}

bool fleet_nodes::allAt(configuration_version version)
{
    for (const auto &each : m_nodes) {
        if (each->history.version() != version) {
            return false;
        }
    }
    return true;
}

} // namespace banyan::process_tests
