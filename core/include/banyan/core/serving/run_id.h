#pragma once

#include "banyan/core/identifier.h"

#include <cstdint>
#include <string_view>

namespace banyan {

/// The id under which a run asks for its slot: that of its request or item, and two numbers that make it unique at its node. No id is
/// used twice, since the release of one run may arrive after the claim of the next.
/// @param serial number of the request or job at the node
/// @param run number of the run within it
[[nodiscard]] request_id runId(std::string_view request, std::uint64_t serial, std::uint32_t run);

/// The request or item that a run is of.
[[nodiscard]] request_id requestOf(const request_id &run);

} // namespace banyan
