#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

/// One entry of the audit trail: the actor, the action, its time and whether it was accepted.
struct audit_record
{
    time_point time;
    std::string kind; ///< Kind of action, for example "patch", "lease_takeover", "drain", "model_order".
    operator_id actor; ///< The operator, or the node if it acted by itself.
    std::string what; ///< For a patch the changed fields, otherwise the object of the action.
    std::uint64_t fromVersion = 0; ///< Configuration version or fencing number before the action.
    std::uint64_t toVersion = 0; ///< Configuration version or fencing number after the action; 0 if nothing changed.
    bool accepted = true;
    std::string reason; ///< Reason given by the actor, or the reason for the rejection.

    auto operator<=>(const audit_record &) const = default;
};

/// Key prefix of all audit rows, which sort by time.
inline constexpr std::string_view auditPrefix = "audit/";

/// Returns the row that stores @p record. Write it in the same transaction as the change that it describes.
/// @param unique distinguishes records of the same microsecond, for example a transaction id
[[nodiscard]] row_write auditRow(const audit_record &record, std::string_view unique);

/// Parses a row that auditRow() created.
/// @throws configuration_error
[[nodiscard]] audit_record parseAuditRow(const row &stored);

/// Serializes the record to the JSON object that the row and the output of `banyanctl audit` contain.
[[nodiscard]] std::string toJson(const audit_record &record);

} // namespace banyan
