#pragma once

#include "banyan/core/serving/stream_event.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Divides the bytes of an event stream into events, however they are cut on the way.
class event_splitter
{
public:
    static constexpr std::size_t maximumEventSize = std::size_t(1) << 20; ///< Bytes; some hundred times what upstreams send.

    /// Takes in the next bytes. Returns the events that are complete now, in order.
    [[nodiscard]] std::vector<stream_event> add(std::string_view bytes);

    /// Whether an event has begun and is not complete.
    [[nodiscard]] bool hasPartialEvent() const
    {
        return !m_pending.empty();
    }

    /// Whether the event that has begun is longer than any that an upstream makes: the rest of the stream is of no use.
    [[nodiscard]] bool isTooLong() const
    {
        return m_pending.size() > maximumEventSize;
    }

private:
    std::string m_pending;
};

} // namespace banyan
