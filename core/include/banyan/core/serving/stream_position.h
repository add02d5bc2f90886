#pragma once

#include "banyan/core/serving/stream_event.h"

#include <cstdint>
#include <optional>

namespace banyan {

/// Tracks the last event forwarded to the reader of a stream across the runs that produce it.
class stream_position
{
public:
    /// @p after is the last event that the reader already has; none if the stream starts at its beginning.
    explicit stream_position(std::optional<std::uint64_t> after = std::nullopt)
        : m_last(after)
    {
    }

    /// What to do with an event.
    enum class action {
        Forward,
        Drop, ///< The reader already has the event.
        Gap, ///< Events before this one are missing: the run cannot be used.
    };

    /// Decides on the next event of the current run, and advances the position if it is to be forwarded.
    [[nodiscard]] action advance(const stream_event &event);

    /// Id of the last forwarded event, after which the next run continues.
    [[nodiscard]] std::optional<std::uint64_t> last() const
    {
        return m_last;
    }

private:
    std::optional<std::uint64_t> m_last;
};

} // namespace banyan
