#include "banyan/core/serving/service_availability.h"

#include "banyan/core/serving/replica.h"

namespace banyan {

service_availability::service_availability(std::span<const replica> upstreams)
{
    for (const replica &upstream : upstreams) {
        if (!upstream.draining) {
            m_versions[upstream.service].insert(upstream.softwareVersion);
        }
    }
}

bool service_availability::isServed(const service_name &service) const
{
    return m_versions.contains(service);
}

bool service_availability::isServed(const service_name &service, const std::string &version) const
{
    const auto versions = m_versions.find(service);
    return versions != m_versions.end() && versions->second.contains(version);
}

} // namespace banyan
