#pragma once

#include "banyan/core/time.h"

namespace banyan {

/// Options of a token_budget.
struct token_budget_options
{
    double share = 0.1; ///< Tokens added by one deposit.
    double burst = 64; ///< Initial and maximum number of tokens.
    double perSecond = 0; ///< Tokens added per second, so that the budget recovers without traffic.
};

/// A token bucket filled by traffic. Limits extra work such as retries to a fraction of the traffic, whatever fails.
class token_budget
{
public:
    explicit token_budget(const token_budget_options &options);

    /// Adds tokens for a unit of normal traffic.
    void deposit();

    /// Takes a token for a unit of extra work; returns whether one was available.
    [[nodiscard]] bool withdraw(time_point now);

private:
    token_budget_options m_options;
    double m_tokens;
    time_point m_filledAt;
};

} // namespace banyan
