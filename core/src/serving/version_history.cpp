#include "banyan/core/serving/version_history.h"

#include "banyan/core/serving/replica.h"

#include <algorithm>

namespace banyan {

version_history::version_history(const version_history_options &options)
    : m_options(options)
{
}

void version_history::setUpstreams(std::span<const replica> upstreams, std::optional<duration> storeNow)
{
    m_hasUpstreams = true;
    std::map<service_name, std::set<std::string>> registered;
    for (const replica &upstream : upstreams) {
        registered[upstream.service].insert(upstream.softwareVersion);
        m_services.try_emplace(upstream.service);
    }
    for (auto &[name, service] : m_services) {
        std::set<std::string> now = registered[name];
        for (const std::string &version : service.registered) {
            if (!now.contains(version) && storeNow) {
                service.left[version] = *storeNow;
            }
        }
        service.registered = std::move(now);
    }
}

void version_history::applyRecord(const service_name &service, const std::vector<served_version> &versions)
{
    m_services[service].recorded = versions;
}

void version_history::setLoaded()
{
    m_hasRecords = true;
}

/// The versions in service, and those whose streams may still be taken up.
std::vector<served_version> version_history::versionsOf(const service_versions &service, duration storeNow) const
{
    std::map<std::string, std::optional<duration>> ended;
    for (const served_version &known : service.recorded) {
        // The upstreams of a version that is recorded as in service have left unnoticed.
        ended[known.version] = known.endedAt.value_or(storeNow);
    }
    for (const auto &[version, at] : service.left) {
        const auto known = ended.find(version);
        ended[version] = known == ended.end() ? at : std::max(at, *known->second);
    }
    for (const std::string &version : service.registered) {
        ended[version] = std::nullopt;
    }
    std::vector<served_version> result;
    for (const auto &[version, at] : ended) {
        if (!at || storeNow - *at <= m_options.retention) {
            result.push_back({.version = version, .endedAt = at});
        }
    }
    return result;
}

std::optional<std::string> version_history::onlyVersion(const service_name &service, duration storeNow) const
{
    const auto found = m_services.find(service);
    if (!isLoaded() || found == m_services.end()) {
        return std::nullopt;
    }
    const std::vector<served_version> versions = versionsOf(found->second, storeNow);
    // Without a record no node knows which versions there were before this one started.
    if (versions.size() != 1 || versions.front().version.empty() || found->second.recorded.empty()) {
        return std::nullopt;
    }
    return versions.front().version;
}

std::optional<std::vector<served_version>> version_history::dueRecord(const service_name &service, duration storeNow) const
{
    const auto found = m_services.find(service);
    if (!isLoaded() || found == m_services.end()) {
        return std::nullopt;
    }
    std::vector<served_version> versions = versionsOf(found->second, storeNow);
    const std::vector<served_version> &recorded = found->second.recorded;
    const auto sameState = [](const served_version &left, const served_version &right) {
        return left.version == right.version && left.endedAt.has_value() == right.endedAt.has_value();
    };
    const bool upToDate = std::equal(versions.begin(), versions.end(), recorded.begin(), recorded.end(), sameState);
    return upToDate || versions.empty() ? std::nullopt : std::optional(std::move(versions));
}

std::vector<service_name> version_history::services() const
{
    std::vector<service_name> result;
    for (const auto &[name, service] : m_services) {
        result.push_back(name);
    }
    return result;
}

} // namespace banyan
