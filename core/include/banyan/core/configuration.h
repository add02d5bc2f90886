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

/// Number of a configuration; each accepted patch makes the next one. 0: none yet.
using configuration_version = std::uint64_t;

/// A caller, known by its keys.
struct caller_settings
{
    caller_id id;
    std::vector<std::string> keyHashes; ///< SHA-256 of each key, in lower-case hexadecimal.
    std::optional<double> requestsPerSecond; ///< Limit over all services, for each entry node; none: unlimited.

    auto operator<=>(const caller_settings &) const = default;
};

/// What an operator may do.
enum class operator_role {
    Viewer, ///< Reads.
    Editor, ///< Reads and changes.
};

/// An operator, known by its keys.
struct operator_settings
{
    operator_id id;
    std::vector<std::string> keyHashes; ///< As of a caller.
    operator_role role = operator_role::Viewer;

    auto operator<=>(const operator_settings &) const = default;
};

/// What kind of upstream a service runs on.
enum class service_kind {
    Model, ///< Model engines, below /v1/chat/completions.
    Plain, ///< Plain HTTP services, below /v1/services/NAME.
};

/// Lets a caller reach a service.
struct access_rule
{
    caller_id caller;
    work_class urgency = work_class::Online; ///< Class of the caller's direct requests; items of batch jobs are always Batch.

    auto operator<=>(const access_rule &) const = default;
};

/// A service that operators create: models and adapters at a numbered version, and who reaches it.
struct service_settings
{
    service_name name;
    service_kind kind = service_kind::Model;
    std::uint32_t version = 1; ///< Of the models and adapters together.
    pool_name pool; ///< The upstreams that run it.
    std::vector<std::string> models; ///< Names that callers use; the first is the base model, the others are adapters.
    std::vector<access_rule> access;
    bool repeatable = true; ///< Default for requests that do not say.
    bool durable = false; ///< An accepted request is recorded and its result kept.
    bool resumable = false; ///< The engines can continue a cancelled stream.
    bool checksFencing = false; ///< The upstreams refuse an order with an old fencing number.
    duration defaultDeadline = std::chrono::seconds(60); ///< For requests that name none.
    std::optional<double> requestsPerSecond; ///< Limit over all callers, for each entry node; none: unlimited.

    auto operator<=>(const service_settings &) const = default;
};

/// The whole configuration at one version. Immutable once it is in force.
struct configuration
{
    configuration_version version = 0;
    std::map<caller_id, caller_settings> callers;
    std::map<operator_id, operator_settings> operators;
    std::map<service_name, service_settings> services;

    auto operator<=>(const configuration &) const = default;
};

} // namespace banyan
