#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/identifier.h"

#include <compare>
#include <optional>
#include <string>

namespace banyan {

/// Who an operator's request comes from, and what it may do.
struct operator_identity
{
    operator_id id;
    operator_role role = operator_role::Viewer;

    auto operator<=>(const operator_identity &) const = default;
};

/// Finds the operator that @p key belongs to; none if it belongs to nobody. The key whose hash is @p bootstrapKeyHash
/// belongs to the operator "bootstrap", who may edit whatever the configuration says.
[[nodiscard]] std::optional<operator_identity>
identifyOperator(const std::string &key, const configuration &current, const std::optional<std::string> &bootstrapKeyHash);

} // namespace banyan
