#pragma once

#include "banyan/core/node_info.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace banyan {

/// The state of a node. Of two updates with the same incarnation, the one with the later state in this order wins.
enum class member_state : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer a probe; declared dead unless it refutes the suspicion in time.
    Dead, ///< Did not refute a suspicion in time; may return with a higher incarnation.
    Left, ///< Announced its own end, or a process that now uses its address announced it. Final.
};

/// The state of a node as distributed by gossip.
struct member_update
{
    node_info node;
    std::uint32_t incarnation = 0; ///< Raised only by the node itself, to refute a suspicion or to announce that it leaves.
    member_state state = member_state::Alive;
    bool leaving = false; ///< The node has begun a planned drain; never reset.

    auto operator<=>(const member_update &) const = default;
};

/// Whether a node in this state counts as running.
[[nodiscard]] constexpr bool isRunning(member_state state)
{
    return state == member_state::Alive || state == member_state::Suspect;
}

/// An upper estimate of the bytes of @p update in a message.
[[nodiscard]] std::size_t encodedSize(const member_update &update);

} // namespace banyan
