#pragma once

#include "fault_proxy.h"

#include "banyan/core/endpoint.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace banyan::soak {

/// Gives each gateway of a fleet ways of its own to the store and to the replicas: gateway N reaches each of them at an address
/// of its own and the same port, by a proxy that listens there. The store stand-in names these addresses to the gateway.
///
/// @code
/// gateway_ways ways;
/// gateway_fleet fleet({.route = [&](const endpoint &target) { return ways.add(target); },
///                      .storeRoute = [&](std::size_t gateway, const endpoint &target) { return ways.store(gateway, target); }});
/// ways.lose(0, proxy_mode::Hang);
/// @endcode
class gateway_ways
{
public:
    /// Adds the store, which is to be the first one, or a replica. Returns its own address.
    endpoint add(const endpoint &target);
    /// The address of the store for a gateway, which it adds.
    endpoint store(std::size_t gateway, const endpoint &target);

    /// Changes the ways of a gateway to all replicas.
    void setMode(std::size_t gateway, proxy_mode mode, std::chrono::milliseconds delay = std::chrono::milliseconds(0));
    /// Changes its way to one replica.
    void setMode(std::size_t gateway, std::size_t replica, proxy_mode mode);
    void setStoreMode(std::size_t gateway, proxy_mode mode);
    /// Resets what is open, and refuses what is new.
    void resetAndRefuse(std::size_t gateway);

private:
    void connect(std::size_t gateway, const endpoint &target);

    std::vector<endpoint> m_targets;
    std::map<std::size_t, std::vector<std::unique_ptr<fault_proxy>>> m_proxies; ///< By gateway, in the order of the targets.
};

} // namespace banyan::soak
