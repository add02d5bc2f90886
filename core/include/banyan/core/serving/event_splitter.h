#pragma once

#include "banyan/core/serving/stream_event.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Splits the bytes of an event stream into events, regardless of how the transport divides the bytes.
class event_splitter
{
public:
    static constexpr std::size_t maximumEventSize = std::size_t(1)
                                                    << 20; ///< In bytes; about a hundred times the size of the events that upstreams send.

    /// Adds the next bytes. Returns the events that they complete, in order.
    [[nodiscard]] std::vector<stream_event> add(std::string_view bytes);

    /// Whether an incomplete event is buffered.
    [[nodiscard]] bool hasPartialEvent() const
    {
        return !m_pending.empty();
    }

    /// Whether the incomplete event is longer than any that an upstream sends, so that the rest of the stream is unusable.
    [[nodiscard]] bool isTooLong() const
    {
        return m_pending.size() > maximumEventSize;
    }

private:
    std::string m_pending;
};

} // namespace banyan
