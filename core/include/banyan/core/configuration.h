#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/work_class.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// Version number of a configuration. Each accepted patch increments it by one; 0 is the empty configuration of a new system.
using configuration_version = std::uint64_t;

/// A caller, identified by its API keys.
struct caller_settings
{
    caller_id id;
    std::vector<std::string> keyHashes; ///< SHA-256 hash of each key, in lower-case hexadecimal.
    std::optional<double> requestsPerSecond; ///< Rate limit over all services, enforced by each entry node separately; unset: unlimited.

    auto operator<=>(const caller_settings &) const = default;
};

/// Permissions of an operator.
enum class operator_role {
    Viewer, ///< May read only.
    Editor, ///< May read and change.
};

/// An operator, identified by its API keys.
struct operator_settings
{
    operator_id id;
    std::vector<std::string> keyHashes; ///< SHA-256 hash of each key, in lower-case hexadecimal.
    operator_role role = operator_role::Viewer;

    auto operator<=>(const operator_settings &) const = default;
};

/// Kind of upstream that a service runs on.
enum class service_kind {
    Model, ///< Model engines, served under /v1/chat/completions.
    Plain, ///< Plain HTTP services, served under /v1/services/NAME.
};

/// Grants a caller access to a service.
struct access_rule
{
    caller_id caller;
    work_class urgency = work_class::Online; ///< Work class of the caller's direct requests; items of batch jobs are always Batch.

    auto operator<=>(const access_rule &) const = default;
};

/// A service that operators define: its models and adapters at a numbered version, and the callers that may use it.
struct service_settings
{
    service_name name;
    service_kind kind = service_kind::Model;
    std::uint32_t version = 1; ///< Version of the models and adapters as a whole.
    pool_name pool; ///< Pool of the upstreams that run the service.
    std::vector<std::string> models; ///< Model names in requests; the first is the base model, the others are adapters.
    std::vector<access_rule> access; ///< Callers that may use the service, each at most once.
    bool repeatable = true; ///< Whether requests may be executed more than once, unless a request specifies it.
    bool durable = false; ///< Whether accepted requests are recorded and their results stored.
    bool resumable = false; ///< Whether the engines can continue a cancelled stream.
    bool checksFencing = false; ///< Whether the upstreams reject requests with an outdated fencing number.
    duration defaultDeadline = std::chrono::seconds(60); ///< Deadline of requests that specify none.
    std::optional<double> requestsPerSecond; ///< Rate limit over all callers, enforced by each entry node separately; unset: unlimited.

    auto operator<=>(const service_settings &) const = default;
};

/// The complete configuration at one version. Immutable once it is in effect.
struct configuration
{
    configuration_version version = 0;
    std::map<caller_id, caller_settings> callers;
    std::map<operator_id, operator_settings> operators;
    std::map<service_name, service_settings> services;

    auto operator<=>(const configuration &) const = default;
};

} // namespace banyan
