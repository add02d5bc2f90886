#pragma once

#include "banyan/core/node_info.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace banyan {

/// What is thought of a node. Of two reports of the same incarnation, the later one in this order stands.
enum class member_state : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer a probe; dead unless it refutes this in time.
    Dead, ///< Did not refute a suspicion in time. It may come back under a higher incarnation.
    Left, ///< Said itself that it ended, or the process that took over its address said so. Final.
};

/// A report on a node, as nodes pass it on.
struct member_update
{
    node_info node;
    std::uint32_t incarnation = 0; ///< Raised by the node itself only, in order to refute what others say of it.
    member_state state = member_state::Alive;
    bool leaving = false; ///< The node has begun a planned drain; never taken back.

    auto operator<=>(const member_update &) const = default;
};

/// Whether the node takes part, as far as the report goes.
[[nodiscard]] constexpr bool isRunning(member_state state)
{
    return state == member_state::Alive || state == member_state::Suspect;
}

/// An upper estimate of the report's bytes within a message.
[[nodiscard]] std::size_t encodedSize(const member_update &update);

} // namespace banyan
