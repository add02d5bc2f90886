#pragma once

#include <string>
#include <string_view>

namespace banyan {

/// Tracks whether the bytes of an event stream seen so far end between two events. Cheaper than an event_splitter, which keeps
/// the events.
class event_boundary
{
public:
    /// Adds the next bytes.
    void add(std::string_view bytes);

    /// Whether no event is incomplete; true before the first byte.
    [[nodiscard]] bool isBetweenEvents() const;

private:
    std::string m_tail; ///< The last bytes, as many as the longest end of an event has.
};

} // namespace banyan
