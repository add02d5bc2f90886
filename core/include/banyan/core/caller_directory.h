#pragma once

#include "banyan/core/configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace banyan {

/// Looks up callers by API key within one configuration.
class caller_directory
{
public:
    explicit caller_directory(const configuration &source);

    /// The caller that @p key belongs to; none if the key is unknown.
    [[nodiscard]] std::optional<caller_id> find(std::string_view key) const;

private:
    std::unordered_map<std::string, caller_id> m_callers; ///< By key hash.
};

} // namespace banyan
