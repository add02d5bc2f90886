#pragma once

#include "site_run.h"

#include <ostream>
#include <string>
#include <vector>

namespace banyan::bench {

/// A run with its name in the plot.
struct named_result
{
    std::string name;
    site_result result;
};

/// Draws the course of some runs as an SVG document: credit of online requests, waiting runs, refusals and batch runs over
/// time, one panel each, one line a run.
void plot(const std::vector<named_result> &runs, std::ostream &out);

} // namespace banyan::bench
