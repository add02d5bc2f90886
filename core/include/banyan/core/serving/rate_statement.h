#pragma once

#include <compare>

namespace banyan {

/// What one answer of an upstream says about the rate at which the upstream accepts requests.
struct rate_statement
{
    enum class content {
        Nothing, ///< The answer is not the upstream's own, or its statement cannot be read. What was known before stays valid.
        Unlimited, ///< The answer names no limit, so that an earlier one has ended.
        Limited,
    };

    content what = content::Nothing;
    double perSecond = 0; ///< Requests per second from all nodes together; set with Limited.
    bool malformed = false; ///< Whether the answer holds a value that cannot be read.

    auto operator<=>(const rate_statement &) const = default;
};

} // namespace banyan
