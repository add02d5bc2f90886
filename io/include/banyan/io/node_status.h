#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/identifier.h"

#include <compare>
#include <cstddef>

namespace banyan {

/// The state of one node, for operators.
struct node_status
{
    vm_id vm;
    node_id node;
    failure_domain domain;
    configuration_version version = 0; ///< In force here.
    bool ready = false;
    bool draining = false;
    bool platformReachable = false;
    std::size_t liveNodes = 0; ///< That this node sees, itself included.
    std::size_t requestsInProgress = 0;

    auto operator<=>(const node_status &) const = default;
};

} // namespace banyan
