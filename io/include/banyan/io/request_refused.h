#pragma once

#include "banyan/core/time.h"

#include <optional>
#include <stdexcept>
#include <string>

namespace banyan {

/// A caller's request that was refused before anything ran.
class request_refused : public std::runtime_error
{
public:
    /// @param status HTTP status of the answer
    /// @param code the `code` of the error body, for example "model_not_found"
    request_refused(unsigned status, std::string code, const std::string &text, std::optional<duration> retryAfter = std::nullopt)
        : std::runtime_error(text)
        , m_status(status)
        , m_code(std::move(code))
        , m_retryAfter(retryAfter)
    {
    }

    [[nodiscard]] unsigned status() const
    {
        return m_status;
    }

    [[nodiscard]] const std::string &code() const
    {
        return m_code;
    }

    /// When to come back, if that can help.
    [[nodiscard]] std::optional<duration> retryAfter() const
    {
        return m_retryAfter;
    }

private:
    unsigned m_status;
    std::string m_code;
    std::optional<duration> m_retryAfter;
};

} // namespace banyan
