#pragma once

#include <chrono>
#include <cstddef>
#include <sys/types.h>

namespace banyan::bench {

/// What a process has used, as the kernel counts it.
struct process_usage
{
    std::size_t residentBytes = 0;
    std::chrono::milliseconds processorTime{};

    /// Reads the usage of a process. @throws std::runtime_error if there is no such process
    [[nodiscard]] static process_usage of(pid_t process);
};

} // namespace banyan::bench
