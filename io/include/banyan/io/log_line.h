#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyan {

/// A line of a gateway's log, read back.
struct log_line
{
    std::string source; ///< What stands before the line, for example the name of the VM that a collector puts there.
    double seconds = 0; ///< Of the day.
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// The value of a field; empty if there is none of that name.
    [[nodiscard]] std::string value(std::string_view name) const;

    /// The upstream that the line is about; empty for none.
    [[nodiscard]] std::string upstream() const;

    /// Reads a line; none if it is no log line.
    [[nodiscard]] static std::optional<log_line> parse(std::string_view line);
};

} // namespace banyan
