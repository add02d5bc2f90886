#pragma once

#include "banyan/core/serving/share_lease.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace banyan {

/// Lets a node use the sender's share of the limits of a pool's organisations.
struct pool_lease
{
    std::uint8_t pool = 0;
    std::uint16_t heard = 0; ///< Low bits of the sequence of the holder's last report that the sender has heard.
    node_key holder = 0;

    auto operator<=>(const pool_lease &) const = default;
};

/// The part of the limits of a pool's organisations that the sender holds.
struct pool_share
{
    std::uint8_t pool = 0;
    float share = 0; ///< From 0 to 1.

    auto operator<=>(const pool_share &) const = default;
};

/// What a load report says about the limits of organisations; empty where no organisation has one.
struct limit_pool_report
{
    duration leaseTime{}; ///< From the sending of the holder's report that the lease names.
    std::vector<pool_lease> leases;
    std::vector<pool_share> shares;

    auto operator<=>(const limit_pool_report &) const = default;
};

} // namespace banyan
