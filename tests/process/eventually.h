#pragma once

#include "child_process.h"

#include <chrono>
#include <thread>

namespace banyan::process_tests {

/// Waits until @p condition holds. Returns false if it does not within @p patience.
template<typename Condition>
[[nodiscard]] bool eventually(Condition condition, std::chrono::milliseconds patience = defaultPatience)
{
    constexpr std::chrono::milliseconds pause(10);
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return true;
}

} // namespace banyan::process_tests
