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

/// The recorded state of a request, stored as the value of one row in the table service.
struct record_row
{
    caller_id caller;
    std::string idempotencyKey;
    std::string contentHash;
    bool repeatable = true;
    bool mayHaveRun = false; ///< An earlier owner may have run the request, so that it must not be reported as not run.
    record_state state = record_state::Accepted;
    std::string owner; ///< Lease of the node that runs the request and may finish the record.
    std::uint64_t fencingNumber = 1; ///< Incremented whenever the request is run again.
    std::string attempt; ///< Identifies the recorded start, for audits.
    stored_payload request; ///< The request; its text is removed from the row when the record becomes final.
    stored_payload answer; ///< The answer; set when the record becomes final.
    time_point changedAt;

    auto operator<=>(const record_row &) const = default;
};

/// The key of a record's row; the same for all requests of a caller with the same idempotency key.
[[nodiscard]] std::string recordKeyOf(const caller_id &caller, std::string_view idempotencyKey);

/// Prefix of the keys of all records.
inline constexpr std::string_view recordPrefix = "record/";

/// Serializes a record for the table service.
[[nodiscard]] std::string encodeRecordRow(const record_row &value);

/// Parses the output of encodeRecordRow(). @throws std::invalid_argument
[[nodiscard]] record_row parseRecordRow(std::string_view text);

} // namespace banyan
