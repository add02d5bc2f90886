#pragma once

#include "banyan/core/serving/caller_key.h"
#include "banyan/core/serving/credit_message.h"
#include "banyan/core/serving/limit_pools.h"
#include "banyan/core/serving/limit_tolerance.h"
#include "banyan/core/serving/organisation.h"
#include "banyan/core/time.h"
#include "banyan/core/token_bucket.h"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace banyan {

/// Hands out the credits of the organisations whose pools a node keeps: from one token bucket for each, with the part of the rate
/// and of the burst that the node holds. What is granted is never given back.
class credit_keeper
{
public:
    /// Replaces the limits. An organisation that is new begins with no credit.
    void configure(std::uint64_t version, std::span<const organisation> organisations, const limit_tolerance &tolerance, time_point now);

    /// Sets the part of a pool that this node holds from @p now on. Credit beyond the smaller burst is dropped.
    void setShare(std::uint8_t pool, double share, time_point now);

    [[nodiscard]] credit_grant grant(const credit_ask &ask, time_point now);

private:
    /// One organisation with a limit.
    struct account
    {
        std::uint8_t pool = 0;
        pooled_rate rate; ///< Of all nodes together.
        token_bucket bucket = token_bucket::startingEmpty(0, 0, time_point());
        double deniedLately = 0; ///< Asks, weighted by their age.
        time_point deniedAt;
    };

    [[nodiscard]] duration deny(account &of, time_point now) const;

    std::uint64_t m_version = 0;
    std::unordered_map<caller_key, account> m_accounts;
    std::array<double, limit_pools::poolCount> m_shares{};
};

/// The key of an organisation in asks for credits.
[[nodiscard]] caller_key organisationKey(const caller_id &name);

/// The pool of an organisation.
[[nodiscard]] std::uint8_t poolOf(caller_key organisation);

} // namespace banyan
