#pragma once

#include <compare>
#include <string>
#include <utility>
#include <vector>

namespace banyan {

/// One item of a job, as its client submitted it.
struct job_item
{
    std::string id;
    std::string path; ///< Of the run at an upstream.
    std::vector<std::pair<std::string, std::string>> fields; ///< Header fields of the run.
    std::string body;

    auto operator<=>(const job_item &) const = default;
};

} // namespace banyan
