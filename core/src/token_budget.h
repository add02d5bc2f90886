#pragma once

#include "banyan/core/time.h"

namespace banyan {

/// Options of a token_budget.
struct token_budget_options
{
    double share = 0.1; ///< Tokens that one deposit adds.
    double burst = 64; ///< Tokens at the start and at most.
    double perSecond = 0; ///< Tokens that time adds, so that a cell without traffic recovers.
};

/// A token bucket that is filled by traffic: extra work stays a share of it, whatever fails.
class token_budget
{
public:
    explicit token_budget(const token_budget_options &options);

    /// Notes a unit of normal traffic.
    void deposit();

    /// Takes a token for a unit of extra work; returns whether there was one.
    [[nodiscard]] bool withdraw(time_point now);

private:
    token_budget_options m_options;
    double m_tokens;
    time_point m_filledAt;
};

} // namespace banyan
