#pragma once

#include "banyan/io/run_answer.h"
#include "banyan/io/run_request.h"

#include <string>

namespace banyan {

/// The text under which a request is kept in its record; any bytes may be in its body.
[[nodiscard]] std::string encodeRunRequest(const run_request &request);

/// Reads what encodeRunRequest() wrote. @throws std::invalid_argument
[[nodiscard]] run_request parseRunRequest(const std::string &text);

/// The text under which an answer is kept in its record; any bytes may be in its body.
[[nodiscard]] std::string encodeRunAnswer(const run_answer &answer);

/// Reads what encodeRunAnswer() wrote. @throws std::invalid_argument
[[nodiscard]] run_answer parseRunAnswer(const std::string &text);

} // namespace banyan
