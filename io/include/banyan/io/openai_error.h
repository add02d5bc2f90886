#pragma once

#include "banyan/core/time.h"
#include "banyan/io/http_message.h"

#include <optional>
#include <stdexcept>
#include <string>

namespace banyan {

/// An error answer in the shape that the usual client of model serving expects.
class openai_error : public std::runtime_error
{
public:
    /// What the body and the head of the answer say.
    struct description
    {
        unsigned status = 400;
        std::string type = "invalid_request_error";
        std::string code; ///< Empty: null.
        std::string param; ///< Empty: null.
        std::optional<duration> retryAfter; ///< Sent as Retry-After, in whole seconds.
    };

    openai_error(const std::string &message, description what)
        : std::runtime_error(message)
        , m_description(std::move(what))
    {
    }

    [[nodiscard]] const description &details() const
    {
        return m_description;
    }

    /// {"error": {"message": …, "type": …, "param": …, "code": …}} with its status and what is promised about having run.
    [[nodiscard]] http_response toResponse() const;

private:
    description m_description;
};

/// The error for something that does not exist, or belongs to another caller.
[[nodiscard]] openai_error notFound(const std::string &kind, const std::string &id);

/// The error for a change that was not made because the platform's store does not answer: nothing was run.
[[nodiscard]] openai_error storeUnavailable(duration retryAfter);

} // namespace banyan
