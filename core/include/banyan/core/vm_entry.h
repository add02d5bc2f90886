#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"

#include <compare>
#include <vector>

namespace banyan {

/// The role of a VM in the platform's list.
enum class vm_role {
    Entry, ///< Runs a banyand process.
    Upstream, ///< Runs a model engine or a plain service.
};

/// Whether a VM may receive work, according to the platform's list, which may lag.
enum class vm_state {
    Live,
    Leaving, ///< Will be stopped; receives no new work.
};

/// An entry of the platform's list of VMs.
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

/// The platform's list of VMs as read at one time.
using vm_list = std::vector<vm_entry>;

} // namespace banyan
