#include "banyan/core/serving/credit_keeper.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr double roundingAllowance = 1e-6; // For sums of fractions.
constexpr std::uint32_t spareDivisor = 8; // A node's spare credits are a small part of what is there, so that others find some.
constexpr duration shortestWait = std::chrono::milliseconds(20);
constexpr duration longestWait = std::chrono::milliseconds(300); // What comes together meanwhile is granted to the next that ask.
constexpr double waitPerFill = 0.5; // Part of the time in which the bucket becomes full, so that it does not overflow.
constexpr double waitPerDenial = 0.002; // Seconds. Bounds the asks a second for an organisation that has no credit.
constexpr duration unknownWait = std::chrono::milliseconds(100); // Until this node has read the configuration.

} // namespace

caller_key organisationKey(const caller_id &name)
{
    return XXH3_64bits(name.text().data(), name.text().size());
}

std::uint8_t poolOf(caller_key organisation)
{
    return static_cast<std::uint8_t>(organisation % limit_pools::poolCount);
}

void credit_keeper::configure(std::uint64_t version,
                              std::span<const organisation> organisations,
                              const limit_tolerance &tolerance,
                              time_point now)
{
    m_version = version;
    std::unordered_map<caller_key, account> accounts;
    for (const organisation &entry : organisations) {
        if (entry.requestsPerSecond <= 0) {
            continue;
        }
        const caller_key key = organisationKey(entry.name);
        const auto earlier = m_accounts.find(key);
        account next{.pool = poolOf(key), .rate = {}, .bucket = token_bucket::startingEmpty(0, 0, now), .deniedAt = now};
        if (earlier != m_accounts.end()) {
            next = earlier->second;
        }
        next.rate = pooledRateOf(entry, tolerance);
        const double share = m_shares[next.pool];
        next.bucket.setRate(next.rate.perSecond * share, next.rate.burst * share, now);
        accounts.emplace(key, next);
    }
    m_accounts = std::move(accounts);
}

void credit_keeper::setShare(std::uint8_t pool, double share, time_point now)
{
    if (m_shares[pool] == share) {
        return;
    }
    m_shares[pool] = share;
    for (auto &[key, entry] : m_accounts) {
        if (entry.pool == pool) {
            entry.bucket.setRate(entry.rate.perSecond * share, entry.rate.burst * share, now);
        }
    }
}

/// When the node that asked should ask again: when there is credit, and later the more nodes ask.
duration credit_keeper::deny(account &of, time_point now) const
{
    const double age = std::chrono::duration<double>(std::max(duration(0), now - of.deniedAt)).count();
    of.deniedLately = of.deniedLately * std::exp(-age) + 1;
    of.deniedAt = now;
    const time_point next = of.bucket.whenAvailable(1);
    if (next == time_point::max()) {
        return longestWait; // This node holds too small a part of the limit.
    }
    const double fill = waitPerFill * of.bucket.burst() / of.bucket.rate();
    const std::chrono::duration<double> queue(std::min(waitPerDenial * of.deniedLately, fill));
    return std::clamp(std::max(next - now, std::chrono::duration_cast<duration>(queue)), shortestWait, longestWait);
}

credit_grant credit_keeper::grant(const credit_ask &ask, time_point now)
{
    credit_grant answer{.id = ask.id};
    const auto found = m_accounts.find(ask.organisation);
    if (found == m_accounts.end()) {
        // A later configuration has ended the limit, or an earlier one does not know it yet.
        const bool hasEnded = m_version > ask.version;
        answer.granted = hasEnded ? ask.needed : 0;
        answer.wait = hasEnded ? duration(0) : unknownWait;
        return answer;
    }
    account &entry = found->second;
    const auto whole = static_cast<std::uint32_t>(std::max(0.0, std::floor(entry.bucket.available(now) + roundingAllowance)));
    if (whole < ask.needed) {
        answer.wait = deny(entry, now);
        return answer;
    }
    answer.granted = ask.needed + std::min(ask.spare, (whole - ask.needed) / spareDivisor);
    entry.bucket.spend(now, answer.granted);
    return answer;
}

} // namespace banyan
