#include "banyan/core/serving/node_load.h"

namespace banyan {

std::string_view toString(placing_state value)
{
    switch (value) {
    case placing_state::Ready:
        return "ready";
    case placing_state::UpstreamsUncertain:
        return "upstreams_uncertain";
    case placing_state::Stopping:
        return "stopping";
    }
    return "unknown";
}

} // namespace banyan
