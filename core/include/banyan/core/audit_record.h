#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

/// One line of the audit trail: who did what, when, and whether it was accepted.
struct audit_record
{
    time_point time;
    std::string kind; ///< For example "patch", "lease_takeover", "drain", "model_order".
    operator_id actor; ///< The operator, or the node that acted on its own.
    std::string what; ///< For a patch the changed fields; else what it was done to.
    std::uint64_t fromVersion = 0; ///< Of the configuration, or a fencing number.
    std::uint64_t toVersion = 0; ///< As fromVersion; 0 if nothing changed.
    bool accepted = true;
    std::string reason; ///< The actor's reason, or why it was refused.

    auto operator<=>(const audit_record &) const = default;
};

/// Key prefix of all audit rows; they sort by time.
inline constexpr std::string_view auditPrefix = "audit/";

/// The row that keeps @p record. Write it in the same transaction as the change that it tells of.
/// @param unique tells apart records of the same microsecond, for example a transaction id
[[nodiscard]] row_write auditRow(const audit_record &record, std::string_view unique);

/// Reads a row that auditRow() made.
/// @throws configuration_error
[[nodiscard]] audit_record parseAuditRow(const row &stored);

/// The record as one JSON object, as the row and `banyanctl audit` have it.
[[nodiscard]] std::string toJson(const audit_record &record);

} // namespace banyan
