#pragma once

#include <compare>
#include <cstdint>
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
    std::uint64_t tokens = 0; ///< Of the prompt and the longest output together, as its client declares them.

    auto operator<=>(const job_item &) const = default;
};

} // namespace banyan
