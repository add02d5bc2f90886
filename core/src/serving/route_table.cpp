#include "banyan/core/serving/route_table.h"

#include <algorithm>
#include <cctype>

namespace banyan {

namespace {

std::string hostWithoutPort(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return result;
}

} // namespace

route_table::route_table(serving_configuration configuration)
    : m_configuration(std::move(configuration))
    , m_keys(m_configuration.organisations, m_configuration.requiresKeys)
{
    for (const route &entry : m_configuration.routes) {
        m_routesByHost[entry.host].push_back(&entry);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const route *left, const route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(hostWithoutPort(host));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    const auto match = std::find_if(found->second.begin(), found->second.end(), [&](const route *entry) {
        return path.starts_with(entry->pathPrefix);
    });
    return match == found->second.end() ? nullptr : *match;
}

bool route_table::hasPublicJobs(std::string_view host) const
{
    bool found = false;
    const auto routes = m_routesByHost.find(hostWithoutPort(host));
    if (routes == m_routesByHost.end()) {
        return false;
    }
    for (const route *const entry : routes->second) {
        if (entry->kind == request_kind::Job && !entry->isPublic) {
            return false;
        }
        found = found || entry->kind == request_kind::Job;
    }
    return found;
}

const organisation *route_table::findOrganisation(const caller_id &name) const
{
    const std::vector<organisation> &all = m_configuration.organisations;
    const auto found = std::lower_bound(all.begin(), all.end(), name, [](const organisation &entry, const caller_id &wanted) {
        return entry.name < wanted;
    });
    return found == all.end() || found->name != name ? nullptr : &*found;
}

const route *route_table::findByName(std::string_view name) const
{
    const auto match = std::find_if(m_configuration.routes.begin(), m_configuration.routes.end(), [&](const route &entry) {
        return entry.name == name;
    });
    return match == m_configuration.routes.end() ? nullptr : &*match;
}

} // namespace banyan
