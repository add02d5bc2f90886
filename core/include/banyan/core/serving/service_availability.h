#pragma once

#include "banyan/core/identifier.h"

#include <compare>
#include <map>
#include <set>
#include <span>
#include <string>

namespace banyan {

struct replica;

/// Which services have upstreams that accept new work, and of which software versions, by one node's list of upstreams.
class service_availability
{
public:
    service_availability() = default;
    explicit service_availability(std::span<const replica> upstreams);

    /// Whether a run can be sent to an upstream of the service.
    [[nodiscard]] bool isServed(const service_name &service) const;

    /// Whether a run that needs @p version can be sent to an upstream of the service.
    [[nodiscard]] bool isServed(const service_name &service, const std::string &version) const;

    auto operator<=>(const service_availability &) const = default;

private:
    std::map<service_name, std::set<std::string>> m_versions; ///< Software versions of the upstreams, by service.
};

} // namespace banyan
