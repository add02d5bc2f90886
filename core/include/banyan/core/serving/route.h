#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/request_kind.h"
#include "banyan/core/serving/weighted_service.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace banyan {

/// Requests of one host and path prefix, where they go and what they are owed.
struct route
{
    std::string name;
    std::string host; ///< In lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::AtMostOnce;
    bool resumable = false; ///< A stream can be continued after an event, also at another upstream.
    std::vector<weighted_service> services;
    duration timeout{}; ///< Longest time until the end of the answer.
    duration target{}; ///< Time to the answer, of streams to the first event, within which it is on time.
    duration gapTarget{}; ///< Longest pause between two events of a stream that is on time; 0 for none.
    std::uint32_t maximumAttempts = 1; ///< Upstreams that may run one request.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    duration completionWindow{}; ///< Of a job: time to its last result.
    std::uint64_t maximumWaitingTokens = 0; ///< Of a job route: of all its jobs' items without a result together; 0 for no limit.
    duration retention{}; ///< Of a job: time after which its items may be given up.

    /// Whether a request may run again after an attempt that may have run.
    [[nodiscard]] bool isRepeatable() const
    {
        return kind == request_kind::Idempotent || kind == request_kind::Job || (kind == request_kind::Stream && resumable);
    }

    auto operator<=>(const route &) const = default;
};

/// The service for one request of @p from: always the same for the same id, shared between the services by weight.
/// @throws std::invalid_argument if the route has no service
[[nodiscard]] const service_name &serviceFor(const route &requestRoute, const request_id &request);

} // namespace banyan
