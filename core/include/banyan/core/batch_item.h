#pragma once

#include <compare>
#include <stdexcept>
#include <string>
#include <string_view>

namespace banyan {

/// One line of a batch job's input.
struct batch_item
{
    std::string customId; ///< Identifier chosen by the caller.
    std::string method; ///< "POST".
    std::string url; ///< For example "/v1/chat/completions" or "/v1/services/rota/plan".
    std::string body; ///< JSON.

    auto operator<=>(const batch_item &) const = default;
};

/// Thrown if an item cannot be run on any node. It becomes the item's error result; the job continues.
class item_rejected : public std::runtime_error
{
public:
    /// @p code is the machine-readable error code shown to the caller, for example "model_not_found".
    item_rejected(std::string code, const std::string &message)
        : std::runtime_error(message)
        , m_code(std::move(code))
    {
    }

    [[nodiscard]] const std::string &code() const
    {
        return m_code;
    }

private:
    std::string m_code;
};

/// Parses one input line: {"custom_id": …, "method": "POST", "url": …, "body": {…}}. @throws item_rejected
[[nodiscard]] batch_item parseBatchItem(std::string_view line);

/// The custom_id of an input line; empty if the line has none or cannot be parsed.
[[nodiscard]] std::string customIdOf(std::string_view line);

} // namespace banyan
