#include "gateway_ways.h"

#include <string>

namespace banyan::soak {

namespace {

std::string addressOf(std::size_t gateway)
{
    return "127.0.1." + std::to_string(gateway + 1);
}

} // namespace

endpoint gateway_ways::add(const endpoint &target)
{
    m_targets.push_back(target);
    for (const auto &[gateway, proxies] : m_proxies) {
        connect(gateway, target);
    }
    return target;
}

endpoint gateway_ways::store(std::size_t gateway, const endpoint &target)
{
    if (m_proxies[gateway].empty()) {
        for (const endpoint &known : m_targets) {
            connect(gateway, known);
        }
    }
    return {.address = addressOf(gateway), .port = target.port};
}

void gateway_ways::connect(std::size_t gateway, const endpoint &target)
{
    const endpoint listen{.address = addressOf(gateway), .port = target.port};
    m_proxies[gateway].push_back(std::make_unique<fault_proxy>(target, listen));
}

void gateway_ways::setMode(std::size_t gateway, proxy_mode mode, std::chrono::milliseconds delay)
{
    for (std::size_t index = 1; index < m_targets.size(); ++index) {
        m_proxies.at(gateway)[index]->setMode(mode, delay);
    }
}

void gateway_ways::setMode(std::size_t gateway, std::size_t replica, proxy_mode mode)
{
    m_proxies.at(gateway).at(replica + 1)->setMode(mode);
}

void gateway_ways::setStoreMode(std::size_t gateway, proxy_mode mode)
{
    m_proxies.at(gateway).front()->setMode(mode);
}

void gateway_ways::resetAndRefuse(std::size_t gateway)
{
    setMode(gateway, proxy_mode::Reset);
    setMode(gateway, proxy_mode::Refuse);
}

} // namespace banyan::soak
