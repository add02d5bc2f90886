#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/record_state.h"
#include "banyan/core/stored_payload.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

/// The value of a record's row in the table service.
struct record_row
{
    caller_id caller;
    std::string idempotencyKey;
    std::string contentHash;
    bool repeatable = true;
    bool mayHaveRun = false; ///< A former owner may have run it, so that it must not be called not run any more.
    record_state state = record_state::Accepted;
    std::string owner; ///< Lease holder that runs it and may finish it.
    std::uint64_t fencingNumber = 1; ///< Grows whenever the request is run anew.
    std::string attempt; ///< Names the recorded start, for audit.
    stored_payload request; ///< In the row only until the record is final.
    stored_payload answer; ///< Once it is final.
    time_point changedAt;

    auto operator<=>(const record_row &) const = default;
};

/// The row's key: the same for each request of a caller under one idempotency key.
[[nodiscard]] std::string recordKeyOf(const caller_id &caller, std::string_view idempotencyKey);

/// Common prefix of the keys of all records.
inline constexpr std::string_view recordPrefix = "record/";

/// The text stored in the table service.
[[nodiscard]] std::string encodeRecordRow(const record_row &value);

/// Reads what encodeRecordRow() wrote. @throws std::invalid_argument
[[nodiscard]] record_row parseRecordRow(std::string_view text);

} // namespace banyan
