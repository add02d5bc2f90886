#pragma once

#include "banyan/core/record_changes.h"

#include <string>

namespace banyan {

/// A result that another node holds while the store is down.
struct result_copy
{
    record_end end; ///< With the whole answer in its row.

    auto operator<=>(const result_copy &) const = default;
};

/// The form that goes to the other node.
[[nodiscard]] std::string encodeResultCopy(const result_copy &copy);

/// Reads what encodeResultCopy() wrote. @throws std::invalid_argument
[[nodiscard]] result_copy parseResultCopy(const std::string &text);

} // namespace banyan
