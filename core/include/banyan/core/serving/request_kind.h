#pragma once

#include <string_view>

namespace banyan {

/// Whether the requests of a route may be repeated, and how they are answered.
enum class request_kind {
    Idempotent, ///< May run more than once; the answer is sent as a whole.
    AtMostOnce, ///< Runs at most once each time it is sent; the answer is sent as a whole.
    Stream, ///< Events are sent as they are produced; runs at most once unless its route is resumable.
    Job, ///< A batch of items that are accepted together and run later.
};

/// The kind's name in logs and metrics, for example "idempotent".
[[nodiscard]] constexpr std::string_view toString(request_kind value)
{
    switch (value) {
    case request_kind::Idempotent:
        return "idempotent";
    case request_kind::AtMostOnce:
        return "at_most_once";
    case request_kind::Stream:
        return "stream";
    case request_kind::Job:
        return "job";
    }
    return "unknown";
}

} // namespace banyan
