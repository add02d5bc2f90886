#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

/// The value of a lease's row in the table service.
///
/// Each commit of the holder writes the row, which thus serves as lease, heartbeat and commit sequence: its version is a
/// condition of each of the holder's transactions, and `transaction` identifies the last one that took effect.
struct lease_row
{
    std::string holder; ///< Name of the holder; empty if the lease is released.
    std::uint64_t fencingNumber = 0; ///< Fencing token; increases with each acquisition.
    bool idle = false; ///< Whether the holder owns no records, so that there is nothing to take over.
    std::string transaction; ///< Id of the last transaction that wrote the row.
    std::string previousTransaction; ///< Id of the last transaction under the previous fencing number.

    auto operator<=>(const lease_row &) const = default;
};

/// Encodes the text stored in the table service.
[[nodiscard]] std::string encodeLeaseRow(const lease_row &value);

/// Parses the text that encodeLeaseRow() produces. @throws std::invalid_argument if @p text is malformed.
[[nodiscard]] lease_row parseLeaseRow(std::string_view text);

} // namespace banyan
