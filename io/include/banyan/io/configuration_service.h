#pragma once

#include "banyan/core/audit_filter.h"
#include "banyan/core/audit_record.h"
#include "banyan/core/configuration.h"
#include "banyan/core/configuration_update.h"
#include "banyan/core/node_info.h"
#include "banyan/core/patch_request.h"
#include "banyan/core/patch_result.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace banyan {

class configuration_history;
class fleet_service;
class platform_client;

/// Asks a peer what brings a node from a version (0: none yet) to the peer's; the peer answers with its
/// configuration_service::updateSince(). Throws any std::exception if the peer cannot be asked.
using configuration_fetcher = std::function<task<configuration_update>(node_info peer, configuration_version version)>;

/// Options of a configuration_service.
struct configuration_service_options
{
    configuration_fetcher fetchFromPeer; ///< Unset: peers are not asked beyond what gossip brings.
    std::uint64_t seed = 1; ///< For jitter and random choices; give each process another one.
    duration minimumPollInterval = std::chrono::seconds(2); ///< Between two readings of the head row.
    double headReadsPerSecond = 100; ///< Of the whole fleet together: more nodes read the head less often.
    duration submissionTimeout = std::chrono::seconds(20); ///< For a patch to be settled.
};

/// Keeps the newest configuration in force on this node, and commits operators' patches.
///
/// Take current() once for each request and use that value to its end: one request then sees one version.
///
/// @code
/// configuration_service configurations(context, platform, fleet, history, {.fetchFromPeer = fetch, .seed = seed});
/// configurations.start();
/// const patch_result result = co_await configurations.submitPatch({.author = ana, .baseVersion = 7, .mergePatch = text, .reason = why});
/// @endcode
class configuration_service
{
public:
    configuration_service(asio::io_context &context,
                          platform_client &platform,
                          fleet_service &fleet,
                          configuration_history &history,
                          configuration_service_options options);
    ~configuration_service();

    /// Begins to read the configuration from the platform, or from peers while the platform is down.
    void start();
    void stop();

    /// The configuration in force; null until there is one. Its version never decreases.
    [[nodiscard]] std::shared_ptr<const configuration> current() const;

    /// Whether there is a configuration. A node that has none must not take requests.
    [[nodiscard]] bool ready() const;

    /// Calls @p handler, from the Asio thread, after a newer configuration came into force. Several may be added.
    void onChange(std::function<void(const std::shared_ptr<const configuration> &)> handler);

    /// Commits a patch, or tells why not; see patch_outcome. Never throws. An empty submissionId gets a new one.
    /// Refused patches are put in the audit trail as well, as far as the platform can be reached.
    [[nodiscard]] task<patch_result> submitPatch(patch_request request);

    /// What brings a peer from @p version (0: it has none) to the version in force here. Answers the peers' fetchFromPeer.
    [[nodiscard]] configuration_update updateSince(configuration_version version) const;

    /// Reads the audit trail, the oldest first.
    /// @throws platform_unavailable
    [[nodiscard]] task<std::vector<audit_record>> readAudit(audit_filter filter);

    /// Adds to the audit trail what is not part of another transaction, for example a drain. Failures are logged.
    [[nodiscard]] task<> recordAudit(audit_record record);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
