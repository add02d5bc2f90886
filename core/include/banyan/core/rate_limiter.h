#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/time.h"
#include "banyan/core/token_bucket.h"

#include <map>
#include <optional>

namespace banyan {

/// Enforces the request rates that the configuration sets for callers and services, for one entry node.
class rate_limiter
{
public:
    /// Admits a request of @p caller to @p service, or returns how long to wait until the next one would be admitted.
    /// A request that the service's limit rejects does not count against the caller's limit.
    [[nodiscard]] std::optional<duration> admit(const caller_settings &caller, const service_settings &service, time_point now);

    /// Removes the state of callers and services that are not in @p current.
    void prune(const configuration &current);

private:
    std::map<caller_id, token_bucket> m_callers;
    std::map<service_name, token_bucket> m_services;
};

} // namespace banyan
