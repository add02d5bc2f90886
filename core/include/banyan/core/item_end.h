#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <cstddef>
#include <optional>

namespace banyan {

/// How one run of a batch item ended.
enum class item_outcome {
    Answered, ///< The result is an answer; it goes to the output file.
    Rejected, ///< The result is an error that another run would not fix; it goes to the error file.
    NotRun, ///< Certainly no upstream ran it; it may be tried again.
    Lost, ///< It may have run, its answer was lost, and it is repeatable.
};

/// The end of one run of a batch item.
struct item_end
{
    item_outcome outcome = item_outcome::Answered;
    std::size_t bytes = 0; ///< Size of the result line; set with Answered and Rejected.
    std::optional<duration> retryAfter; ///< Shortest delay before the next try that the dispatcher asks for; only with NotRun.

    auto operator<=>(const item_end &) const = default;
};

} // namespace banyan
