#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace banyan {

/// Exit codes of banyanctl.
enum class tool_exit {
    Done = 0,
    Refused = 1, ///< The node refused the call or could not do it.
    Usage = 2, ///< The command line is not valid.
    Unreachable = 3, ///< No answer from the node; a change may or may not have been made.
};

/// Options of an operator_tool.
struct operator_tool_options
{
    std::optional<std::string> environmentUrl; ///< Taken if --operator-url is not given.
    std::optional<std::string> environmentKey; ///< Taken if --key is not given.
};

/// The operators' command line: turns arguments into one call of the operators' interface and prints its answer.
///
/// @code
/// operator_tool tool({}, std::cout, std::cerr);
/// const tool_exit code = tool.run({"config", "show", "--operator-url", "http://127.0.0.1:7002", "--key", "..."});
/// @endcode
///
/// "explain ID --log FILE" needs no node: it tells the story of a request from the log lines of gateways.
class operator_tool
{
public:
    operator_tool(operator_tool_options options, std::ostream &output, std::ostream &errors);

    /// Runs one command. @p arguments are those of the command line, without the program's name.
    [[nodiscard]] tool_exit run(const std::vector<std::string> &arguments);

private:
    [[nodiscard]] tool_exit explainFromLogs(std::vector<std::string> arguments);
    [[nodiscard]] tool_exit countCauses(std::vector<std::string> arguments);

    operator_tool_options m_options;
    std::ostream &m_output;
    std::ostream &m_errors;
};

} // namespace banyan
