#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

/// The value of a lease's row in the table service.
///
/// The row is written by each commit of its holder, so that it is lease, heartbeat and commit sequence in one: its
/// version is a condition of each of the holder's transactions, and `transaction` tells which of them was the last to
/// take effect.
struct lease_row
{
    std::string holder; ///< Empty: released.
    std::uint64_t fencingNumber = 0; ///< Fencing number; grows with each acquisition.
    bool idle = false; ///< The holder owns nothing that would have to be taken over.
    std::string transaction; ///< Id of the transaction that wrote the row last.
    std::string previousTransaction; ///< Id of the last transaction under the fencing number before.

    auto operator<=>(const lease_row &) const = default;
};

/// The text stored in the table service.
[[nodiscard]] std::string encodeLeaseRow(const lease_row &value);

/// Reads what encodeLeaseRow() wrote. @throws std::invalid_argument
[[nodiscard]] lease_row parseLeaseRow(std::string_view text);

} // namespace banyan
