#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/io/log.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// What a banyand reads from its settings file at start. docs/OPERATIONS.md lists every key.
struct node_settings
{
    vm_id vm; ///< Key `vm`: name of this VM in the platform's list.
    failure_domain domain; ///< Key `failure_domain`.
    endpoint callerListen; ///< Key `caller_listen`: HTTP for callers.
    endpoint operatorListen; ///< Key `operator_listen`: HTTP for operators, metrics and health.
    endpoint peerListen; ///< Key `peer_listen`: UDP and TCP between nodes, same port.
    std::vector<endpoint> peers; ///< Key `peers`: peer addresses of some other VMs, needed for a start while the platform is down.
    endpoint platform; ///< Key `platform`: the platform's services.
    std::string fleetSecret; ///< Key `fleet_secret`: known to all nodes of a fleet and to nobody else.
    std::optional<std::string> bootstrapOperatorKeyHash; ///< Key `bootstrap_operator_key_hash`: SHA-256 of a key that always may edit.
    log_level logLevel = log_level::Info; ///< Key `log_level`: debug, info, warning or error.
    std::size_t maximumBody = std::size_t(4) << 20; ///< Key `maximum_body_bytes`: of a caller's request.
    duration drainTimeout = std::chrono::seconds(120); ///< Key `drain_timeout_seconds`: longest wait for work in progress at a stop.

    auto operator<=>(const node_settings &) const = default;
};

/// Reads and checks a settings file.
/// @throws settings_error naming file, line, what was expected and what was found
[[nodiscard]] node_settings readSettings(const std::string &path);

} // namespace banyan
