#include "start_budget.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double limitBurst = 2; // Starts within the limit that are kept for later; batch runs may then start together with an online run.
constexpr double oneStart = 1 - 1e-6; // Allows for rounding in sums of fractions.

} // namespace

start_budget::start_budget(const allowed_rate &allowed, time_point now)
    : m_limit(token_bucket::startingEmpty(allowed.perSecond, limitBurst, now))
    , m_tolerated(token_bucket::startingEmpty(allowed.toleratedPerSecond, allowed.toleratedBurst, now))
{
}

void start_budget::setRate(const allowed_rate &allowed, time_point now)
{
    m_limit.setRate(allowed.perSecond, now);
    m_tolerated.setRate(allowed.toleratedPerSecond, allowed.toleratedBurst, now);
}

bool start_budget::isWithinLimit(time_point now) const
{
    return m_limit.available(now) >= oneStart;
}

bool start_budget::mayStart(work_class workClass, time_point now) const
{
    return m_tolerated.available(now) >= oneStart && (workClass == work_class::Online || isWithinLimit(now));
}

time_point start_budget::whenMayStart(work_class workClass) const
{
    const time_point tolerated = m_tolerated.whenAvailable(oneStart);
    return workClass == work_class::Online ? tolerated : std::max(tolerated, m_limit.whenAvailable(oneStart));
}

void start_budget::recordStart(time_point now)
{
    m_tolerated.spend(now);
    (void)m_limit.take(now);
}

} // namespace banyan
