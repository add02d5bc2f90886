#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/served_version.h"
#include "banyan/core/time.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace banyan {

struct replica;

/// Options of a version_history.
struct version_history_options
{
    /// How long after the last upstream of a version has left its streams may be taken up.
    duration retention = std::chrono::seconds(60);
};

/// Which software versions of each service may have begun streams that clients still take up.
///
/// Nodes record the versions of a service in the store, so that one that has just started knows those whose upstreams have left
/// before. Times are those of the store's clock.
class version_history
{
public:
    explicit version_history(const version_history_options &options = {});

    /// Replaces the registered upstreams, also those that leave.
    void setUpstreams(std::span<const replica> upstreams, std::optional<duration> storeNow);

    /// Replaces what is recorded of a service.
    void applyRecord(const service_name &service, const std::vector<served_version> &versions);

    /// To be called when the records of all services have been read.
    void setLoaded();

    /// The only version that may have begun a stream of the service that is still taken up. None if there are several, if an
    /// upstream does not say its version, or if this node cannot know.
    [[nodiscard]] std::optional<std::string> onlyVersion(const service_name &service, duration storeNow) const;

    /// What has to be recorded of a service in place of its record; none if the record is up to date.
    [[nodiscard]] std::optional<std::vector<served_version>> dueRecord(const service_name &service, duration storeNow) const;

    /// The services that have upstreams or a record.
    [[nodiscard]] std::vector<service_name> services() const;

private:
    struct service_versions
    {
        std::set<std::string> registered;
        std::map<std::string, duration> left; ///< Versions that were registered here before, and when they were last.
        std::vector<served_version> recorded;
    };

    [[nodiscard]] bool isLoaded() const
    {
        return m_hasUpstreams && m_hasRecords;
    }
    [[nodiscard]] std::vector<served_version> versionsOf(const service_versions &service, duration storeNow) const;

    version_history_options m_options;
    std::map<service_name, service_versions> m_services;
    bool m_hasUpstreams = false; ///< Whether the registered upstreams are known.
    bool m_hasRecords = false; ///< Whether the records of all services have been read.
};

} // namespace banyan
