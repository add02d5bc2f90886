#pragma once

#include "banyan/core/gossip_message.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace banyan {

/// Longest datagram that is sent or taken; stays below the usual MTU of 1,500 bytes, so that none is fragmented.
inline constexpr std::size_t maximumDatagram = 1450;

/// The message's bytes on the wire, without authentication.
[[nodiscard]] std::string encodeGossip(const gossip_message &message);

/// Reads what encodeGossip() made, and checks every field.
/// @throws gossip_error
[[nodiscard]] gossip_message decodeGossip(std::string_view bytes);

} // namespace banyan
