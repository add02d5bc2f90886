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

class service_availability;

/// The requests of one host and path prefix: the services that run them, their latency targets and their limits.
struct route
{
    std::string name;
    std::string host; ///< In lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::AtMostOnce;
    bool resumable = false; ///< A stream can be continued after an event, also at another upstream.
    std::vector<weighted_service> services;
    duration timeout{}; ///< Maximum time until the end of the answer.
    duration target{}; ///< Latency within which an answer, or the first event of a stream, counts as on time.
    duration gapTarget{}; ///< Maximum pause between two events of a stream that counts as on time; 0 for no limit.
    std::uint32_t maximumAttempts = 1; ///< Number of upstreams that may run one request.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    duration completionWindow{}; ///< Time from the submission of a job to its last result.
    std::uint64_t maximumWaitingTokens = 0; ///< Token limit for all items of a job route without a result; 0 for no limit.
    duration retention{}; ///< Time after which the items of a job may be abandoned.
    bool isPublic = false; ///< Serves requests without a key.

    /// Whether a request may be retried after an attempt that may have run.
    [[nodiscard]] bool isRepeatable() const
    {
        return kind == request_kind::Idempotent || kind == request_kind::Job || (kind == request_kind::Stream && resumable);
    }

    auto operator<=>(const route &) const = default;
};

/// The service for one request of @p requestRoute, chosen by weight; always the same for the same request id.
/// @throws std::invalid_argument if the route has no service
[[nodiscard]] const service_name &serviceFor(const route &requestRoute, const request_id &request);

/// The same, but if that service is not served, one of those that are, chosen by weight as well. If none is, the one above.
[[nodiscard]] const service_name &
serviceFor(const route &requestRoute, const request_id &request, const service_availability &availability);

} // namespace banyan
