#pragma once

#include "banyan/core/serving/stream_event.h"

#include <cstdint>
#include <optional>

namespace banyan {

/// How far a stream has come, over all runs that make it up.
class stream_position
{
public:
    /// @p after is the last event that the reader has from before; none for a stream from its beginning.
    explicit stream_position(std::optional<std::uint64_t> after = std::nullopt)
        : m_last(after)
    {
    }

    /// What is to be done with an event.
    enum class action {
        Forward,
        Drop, ///< The reader has it already.
        Gap, ///< Events before it are missing: the run cannot be used.
    };

    /// Takes in the next event of the current run.
    [[nodiscard]] action advance(const stream_event &event);

    /// The last event that was passed on; a next run continues after it.
    [[nodiscard]] std::optional<std::uint64_t> last() const
    {
        return m_last;
    }

private:
    std::optional<std::uint64_t> m_last;
};

} // namespace banyan
