#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/time.h"
#include "banyan/core/token_bucket.h"

#include <map>
#include <optional>

namespace banyan {

/// Holds callers and services to the request rates of the configuration, for one entry node.
class rate_limiter
{
public:
    /// Takes a request of @p caller to @p service in, or returns how long to wait before the next one would be.
    /// A request that the service's limit refuses does not count against the caller's.
    [[nodiscard]] std::optional<duration> admit(const caller_settings &caller, const service_settings &service, time_point now);

    /// Forgets the limits of callers and services that @p current does not have.
    void prune(const configuration &current);

private:
    std::map<caller_id, token_bucket> m_callers;
    std::map<service_name, token_bucket> m_services;
};

} // namespace banyan
