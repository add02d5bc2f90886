#include "token_budget.h"

#include <algorithm>

namespace banyan {

token_budget::token_budget(const token_budget_options &options)
    : m_options(options)
    , m_tokens(options.burst)
{
}

void token_budget::deposit()
{
    m_tokens = std::min(m_options.burst, m_tokens + m_options.share);
}

bool token_budget::withdraw(time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
    m_tokens = std::min(m_options.burst, m_tokens + elapsed * m_options.perSecond);
    m_filledAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace banyan
