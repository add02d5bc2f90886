#include "run_cost.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double smoothingFactor = 0.01; ///< Weight of a new size in the moving average: sizes differ much from run to run.
constexpr double outputTokenWeight = 16; ///< A token of output takes a step of its own; tokens of the prompt are read many at once.
constexpr double leastCost = 0.1; ///< A stated size is a bound only, so no run is almost free,
constexpr double greatestCost = 10; ///< and none is charged without limit.

} // namespace

double stated_cost::costOf(const slot_request &request)
{
    const double tokens = request.size.promptTokens + outputTokenWeight * request.size.maximumOutputTokens;
    if (tokens <= 0) {
        return 1;
    }
    // One size without measure must not make all others seem small.
    const double counted = m_averageTokens > 0 ? std::min(tokens, greatestCost * m_averageTokens) : tokens;
    m_averageTokens = m_averageTokens > 0 ? m_averageTokens + smoothingFactor * (counted - m_averageTokens) : counted;
    return std::clamp(tokens / m_averageTokens, leastCost, greatestCost);
}

} // namespace banyan
