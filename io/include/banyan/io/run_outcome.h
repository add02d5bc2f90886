#pragma once

#include "banyan/core/cell_load.h"
#include "banyan/core/final_result.h"

#include <compare>
#include <string>

namespace banyan {

/// How a request ended at a cell's dispatcher.
struct run_outcome
{
    final_result result;
    cell_load load; ///< Of the cell, after the request.
    bool startRecorded = false; ///< The start of a request not to be repeated was committed; see run_request.
    std::string trace; ///< What was decided and when, one "key=value …" line a step.

    auto operator<=>(const run_outcome &) const = default;
};

} // namespace banyan
