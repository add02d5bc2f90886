#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/work_class.h"
#include "banyan/io/http_message.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// A request as a caller made it, directly or as a batch item.
struct caller_request
{
    request_id id;
    caller_id caller;
    std::string method = "POST";
    std::string target; ///< For example "/v1/chat/completions" or "/v1/services/orders/orders?x=1".
    std::string contentType = "application/json";
    std::string body;
    std::optional<work_class> workClass; ///< None: as the caller's access rule says.
    std::optional<bool> repeatable; ///< None: as the service says.
    std::optional<duration> timeLeft; ///< Until the deadline; none: as the service says.
    std::vector<http_field> extraFields; ///< Sent to the upstream as well.

    auto operator<=>(const caller_request &) const = default;
};

} // namespace banyan
