#include "banyan/core/serving/placement_policy.h"

namespace banyan {

std::string_view toString(placement_policy value)
{
    switch (value) {
    case placement_policy::Automatic:
        return "automatic";
    case placement_policy::ExpectedCost:
        return "expected_cost";
    case placement_policy::LeastRuns:
        return "least_runs";
    }
    return "unknown";
}

} // namespace banyan
