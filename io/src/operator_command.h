#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/io/http_message.h"
#include "banyan/io/operator_tool.h"

#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// A command line that was read: what to call, where, and how to print the answer.
struct operator_command
{
    endpoint node;
    http_request request;
    bool json = false; ///< Print the answer as it is, not for people.
};

/// Reads a command line.
/// @throws usage_error if it is not valid, help_requested if it asks for help
[[nodiscard]] operator_command parseOperatorCommand(const std::vector<std::string> &arguments, const operator_tool_options &options);

} // namespace banyan
