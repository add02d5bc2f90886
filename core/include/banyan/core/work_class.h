#pragma once

#include <string_view>

namespace banyan {

/// How urgent a request is. Online work always goes before batch work.
enum class work_class {
    Online, ///< Somebody waits for the answer.
    Batch, ///< Due later; fills capacity that online work leaves.
};

/// The class's name in settings, logs and metrics: "online" or "batch".
[[nodiscard]] constexpr std::string_view toString(work_class value)
{
    return value == work_class::Online ? "online" : "batch";
}

} // namespace banyan
