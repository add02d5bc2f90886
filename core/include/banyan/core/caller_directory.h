#pragma once

#include "banyan/core/configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace banyan {

/// Finds the caller that a key belongs to, for one configuration.
class caller_directory
{
public:
    explicit caller_directory(const configuration &source);

    /// The caller whose key @p key is; none if it is nobody's.
    [[nodiscard]] std::optional<caller_id> find(std::string_view key) const;

private:
    std::unordered_map<std::string, caller_id> m_callers; ///< By key hash.
};

} // namespace banyan
