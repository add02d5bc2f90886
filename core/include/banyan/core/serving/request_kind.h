#pragma once

#include <string_view>

namespace banyan {

/// What may be repeated of the requests of a route, and how they are answered.
enum class request_kind {
    Idempotent, ///< May run more than once; answered whole.
    AtMostOnce, ///< Runs at most once for each sending; answered whole.
    Stream, ///< Answered by events as they are made; runs at most once unless its route is resumable.
    Job, ///< Many items that are accepted together and run later.
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
