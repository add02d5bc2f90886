#pragma once

#include "banyan/core/serving/stream_event.h"

#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Divides the bytes of an event stream into events, however they are cut on the way.
class event_splitter
{
public:
    /// Takes in the next bytes. Returns the events that are complete now, in order.
    [[nodiscard]] std::vector<stream_event> add(std::string_view bytes);

    /// Whether an event has begun and is not complete.
    [[nodiscard]] bool hasPartialEvent() const
    {
        return !m_pending.empty();
    }

private:
    std::string m_pending;
};

} // namespace banyan
