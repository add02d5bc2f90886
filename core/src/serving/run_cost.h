#pragma once

#include "banyan/core/serving/slot_request.h"

#include <concepts>

namespace banyan {

/// Estimates the work of a run before it begins, over that of a run of average size.
template<typename Estimator>
concept run_cost_estimator = requires(Estimator &estimator, const slot_request &request)
{
    {
        estimator.costOf(request)
        } -> std::convertible_to<double>;
};

/// Goes by the size that the caller states, over the average of the stated sizes. A run without a stated size costs 1.
class stated_cost
{
public:
    /// The run's cost; its size counts in later averages.
    [[nodiscard]] double costOf(const slot_request &request);

private:
    double m_averageTokens = 0; ///< 0 before the first stated size.
};

static_assert(run_cost_estimator<stated_cost>);

} // namespace banyan
