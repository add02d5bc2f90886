#pragma once

#include <array>
#include <string_view>

namespace banyan {

/// What the bytes that a process holds for others are held as.
enum class memory_holder {
    Connections, ///< Accepted connections and the bytes read ahead on them.
    Bodies, ///< Bodies of requests, and their copies on the way to an upstream.
    Answers, ///< Answers that their readers have not taken yet.
    Jobs, ///< Items and results of jobs in progress, and the copies of items on the way to upstreams.
};

constexpr std::array memoryHolders = {memory_holder::Connections, memory_holder::Bodies, memory_holder::Answers, memory_holder::Jobs};

/// The holder's name in metrics and logs, for example "bodies".
[[nodiscard]] std::string_view toString(memory_holder holder);

} // namespace banyan
