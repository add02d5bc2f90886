#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace banyan {

/// What a request's runs have in common for finding the prompt parts that crash upstreams.
struct prompt_run
{
    std::uint64_t content = 0; ///< Hash of the request's target and body.
    std::vector<std::uint64_t> parts; ///< Hashes of the ids of the prompt parts that other requests may share.

    auto operator<=>(const prompt_run &) const = default;
};

} // namespace banyan
