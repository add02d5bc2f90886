#pragma once

#include "banyan/core/job_record.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

/// An upstream's answer to a batch item.
struct item_answer
{
    unsigned status = 200;
    std::string requestId;
    std::string body; ///< JSON; any other text is written as a JSON string.
};

/// The error of a batch item that has no answer.
struct item_error
{
    std::string code; ///< For example "batch_expired".
    std::string message;
};

/// The line of the output file with an item's answer, including the line feed:
/// {"id": …, "custom_id": …, "response": {"status_code": …, "request_id": …, "body": …}, "error": null}.
[[nodiscard]] std::string answerLine(const job_id &job, std::uint32_t item, std::string_view customId, const item_answer &answer);

/// The line of the error file with an item's error, including the line feed:
/// {"id": …, "custom_id": …, "response": null, "error": {"code": …, "message": …}}.
[[nodiscard]] std::string errorLine(const job_id &job, std::uint32_t item, std::string_view customId, const item_error &error);

} // namespace banyan
