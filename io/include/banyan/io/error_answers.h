#pragma once

#include "banyan/core/final_result.h"
#include "banyan/io/http_message.h"

#include <optional>
#include <string_view>

namespace banyan {

class request_refused;

/// What an answer without a result promises about having run; sent as X-Banyan-Run.
enum class run_claim {
    NotRun, ///< "not-run": no upstream ran it, for sure.
    Unknown, ///< "unknown": it may have run.
    Ran, ///< "ran": an upstream answered.
};

[[nodiscard]] std::string_view toString(run_claim claim);

/// An error in the shape that clients of model servers read: {"error":{"message","type","param","code"}}.
[[nodiscard]] http_response errorAnswer(unsigned status,
                                        std::string_view code,
                                        std::string_view message,
                                        run_claim claim,
                                        std::optional<duration> retryAfter = std::nullopt);

/// The error of a request that was refused before anything ran.
[[nodiscard]] http_response errorAnswer(const request_refused &refusal);

/// The error of a request that ended without an answer. A request whose outcome is unknown tells clients not to send it
/// again by themselves (X-Should-Retry: false).
[[nodiscard]] http_response errorAnswer(const final_result &result);

} // namespace banyan
