#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/time.h"
#include "banyan/io/caller_request.h"
#include "banyan/io/run_request.h"

namespace banyan {

/// A caller's request with the service that serves it.
struct resolved_request
{
    service_settings service;
    run_request run;
    bool streamed = false; ///< The caller wants the answer as it is generated.
    bool recorded = false; ///< The service is durable and the request changes something.

    auto operator<=>(const resolved_request &) const = default;
};

/// Finds the service of a request, checks that the caller may use it and makes the upstream's message.
///
/// "/v1/chat/completions" goes to the model service that has the body's model; "/v1/services/NAME/PATH" goes to the
/// plain service NAME as "/PATH". GET and HEAD are repeatable and never recorded.
/// @throws request_refused for an unknown model, service or path, and for a body that is not a chat request
[[nodiscard]] resolved_request resolveRequest(const configuration &current, const caller_request &request, time_point now);

} // namespace banyan
