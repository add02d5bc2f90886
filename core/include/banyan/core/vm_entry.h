#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"

#include <compare>
#include <vector>

namespace banyan {

/// What a VM of the platform's list is for.
enum class vm_role {
    Entry, ///< Runs a banyand.
    Upstream, ///< Runs a model engine or a plain service.
};

/// Whether a VM is to receive work, as far as the platform's lagging list knows.
enum class vm_state {
    Live,
    Leaving, ///< Will be stopped; receives no new work.
};

/// One line of the platform's list of VMs.
struct vm_entry
{
    vm_id id;
    vm_role role = vm_role::Entry;
    vm_state state = vm_state::Live;
    failure_domain domain;
    endpoint address; ///< Peer address (UDP and TCP) of an entry VM, HTTP address of an upstream.
    pool_name pool; ///< The pool that an upstream belongs to; empty for an entry VM.

    auto operator<=>(const vm_entry &) const = default;
};

/// The platform's list at one reading.
using vm_list = std::vector<vm_entry>;

} // namespace banyan
