#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace banyan::standins {

/// How many times a stand-in ran each piece of work: what tests of "exactly once" read.
struct run_log
{
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::map<std::string, std::uint64_t> runsByKey; ///< By the header field that names the request.
    std::map<std::string, std::uint64_t> runsByContent;

    /// Counts one run that begins. Returns how many times work of that content has begun.
    std::uint64_t start(const std::string &key, const std::string &content)
    {
        ++started;
        if (!key.empty()) {
            ++runsByKey[key];
        }
        return ++runsByContent[content];
    }

    [[nodiscard]] boost::json::object toJson() const
    {
        return {{"started", started},
                {"completed", completed},
                {"cancelled", cancelled},
                {"keys", boost::json::value_from(runsByKey)},
                {"contents", boost::json::value_from(runsByContent)}};
    }
};

} // namespace banyan::standins
