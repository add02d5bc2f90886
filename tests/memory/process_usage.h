#pragma once

#include <cstddef>
#include <cstdint>
#include <sys/types.h>

namespace banyan::process_tests {

/// The most memory that a process had resident so far, in KiB, by the kernel (VmHWM); 0 if there is no such process.
[[nodiscard]] std::size_t peakResidentOf(pid_t process);

/// How many descriptors a process has open now.
[[nodiscard]] std::size_t descriptorsOf(pid_t process);

/// Bytes that the system keeps for the TCP connections to a port of this machine: sent by one side, not read by the other.
[[nodiscard]] std::size_t queuedBytesAt(std::uint16_t port);

} // namespace banyan::process_tests
