#pragma once

#include <string_view>

namespace banyan {

/// The priority class of a request. Online work always has priority over batch work.
enum class work_class {
    Online, ///< Interactive: a client waits for the answer.
    Batch, ///< Deferred: uses the capacity that online work leaves free.
};

/// The class's name in settings, logs and metrics: "online" or "batch".
[[nodiscard]] constexpr std::string_view toString(work_class value)
{
    return value == work_class::Online ? "online" : "batch";
}

} // namespace banyan
