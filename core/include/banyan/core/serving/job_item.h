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
    std::string path; ///< Request path of the run at an upstream.
    std::vector<std::pair<std::string, std::string>> fields; ///< Header fields of the run.
    std::string body;
    std::uint64_t tokens = 0; ///< Tokens of the prompt and the longest output together, as declared by the client.

    auto operator<=>(const job_item &) const = default;
};

} // namespace banyan
