#pragma once

#include "banyan/core/time.h"

#include <stdexcept>
#include <string>

namespace banyan {

/// The platform's store did not take what was to be recorded: for sure nothing was recorded, so nothing will run.
class store_unavailable : public std::runtime_error
{
public:
    store_unavailable(const std::string &text, duration retryAfter)
        : std::runtime_error(text)
        , m_retryAfter(retryAfter)
    {
    }

    /// When to come back.
    [[nodiscard]] duration retryAfter() const
    {
        return m_retryAfter;
    }

private:
    duration m_retryAfter;
};

/// Whether a request was recorded could not be settled in time. If it was, it runs once; sending it again under the
/// same key finds out. Its caller must not be told that it was not run.
class record_outcome_unknown : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace banyan
