#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <cstddef>
#include <optional>

namespace banyan {

/// How one run of a batch item ended.
enum class item_outcome {
    Answered, ///< The result is an answer; it goes to the output file.
    Rejected, ///< The result is an error that another run would not mend; it goes to the error file.
    NotRun, ///< No upstream ran it, for sure; it may be tried again.
    Lost, ///< It may have run and has no answer, and it may be repeated.
};

/// The end of one run of a batch item.
struct item_end
{
    item_outcome outcome = item_outcome::Answered;
    std::size_t bytes = 0; ///< Of the result's line, with Answered and Rejected.
    std::optional<duration> retryAfter; ///< The dispatcher's wish, with NotRun.

    auto operator<=>(const item_end &) const = default;
};

} // namespace banyan
