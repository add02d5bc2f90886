#pragma once

#include "banyan/core/identifier.h"

#include <cstdint>
#include <string_view>

namespace banyan {

/// The id under which a run claims its slot: the id of its request or item and two numbers that make it unique at its node.
/// Ids are never reused, since the release of one run may arrive after the claim of the next.
/// @param serial serial number of the request or job at the node
/// @param run number of the run within the request or job
[[nodiscard]] request_id runId(std::string_view request, std::uint64_t serial, std::uint32_t run);

/// The id of the request or item that the run with id @p run belongs to.
[[nodiscard]] request_id requestOf(const request_id &run);

/// A key of the job that the batch run with id @p run of the node @p holder belongs to; never 0. For claims that do not state the
/// origin of their run: gateways before this field was added do not.
[[nodiscard]] std::uint64_t originOfRun(const node_id &holder, const request_id &run);

} // namespace banyan
