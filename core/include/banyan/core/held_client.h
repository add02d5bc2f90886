#pragma once

#include "banyan/core/progress_meter.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

/// What a client's connection is busy with.
enum class client_phase {
    Idle, ///< Between two requests.
    Head, ///< A head has begun to arrive.
    Body, ///< The client is awaited with more of a body.
    Run, ///< The client is not awaited.
    Answer, ///< The client is awaited to read.
    Closing, ///< The last answer is written.
};

/// The phase's name in logs, for example "body".
[[nodiscard]] std::string_view toString(client_phase phase);

/// What is known of a client by its connection.
struct held_client
{
    std::uint64_t serial = 0; ///< Grows from connection to connection.
    std::string address; ///< Without the port.
    client_phase phase = client_phase::Idle;
    time_point since; ///< The phase began then.
    std::size_t bytes = 0; ///< Held for the client.
    progress_meter progress; ///< Of the bytes that it sends or takes.
    bool wasServed = false; ///< It has sent a whole request.
    bool yields = false; ///< Its connection was chosen to end.

    /// Begins a phase in which the client is awaited.
    void await(client_phase next, time_point now);
    /// Begins the phase in which it is not.
    void run();
};

} // namespace banyan
