#include "banyan/core/serving/node_load.h"

namespace banyan {

std::string_view toString(scheduling_state value)
{
    switch (value) {
    case scheduling_state::Ready:
        return "ready";
    case scheduling_state::UpstreamsUncertain:
        return "upstreams_uncertain";
    case scheduling_state::ShuttingDown:
        return "stopping";
    }
    return "unknown";
}

} // namespace banyan
