#include "banyan/core/rate_limits.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double burstSeconds = 1; // Requests of this time may come at once.

/// The bucket of @p key with the rate now in force.
template<typename Key>
token_bucket &bucketOf(std::map<Key, token_bucket> &buckets, const Key &key, double rate, time_point now)
{
    const auto [entry, added] = buckets.try_emplace(key, rate, std::max(1.0, rate * burstSeconds));
    if (!added) {
        entry->second.setRate(rate, now);
    }
    return entry->second;
}

duration waitOf(const token_bucket &bucket, time_point now)
{
    return std::max(bucket.nextToken(now) - now, duration::zero());
}

template<typename Key, typename Settings>
void keepKnown(std::map<Key, token_bucket> &buckets, const std::map<Key, Settings> &known)
{
    std::erase_if(buckets, [&](const auto &entry) {
        return !known.contains(entry.first);
    });
}

} // namespace

std::optional<duration> rate_limits::admit(const caller_settings &caller, const service_settings &service, time_point now)
{
    token_bucket *ofCaller = caller.requestsPerSecond ? &bucketOf(m_callers, caller.id, *caller.requestsPerSecond, now) : nullptr;
    token_bucket *ofService = service.requestsPerSecond ? &bucketOf(m_services, service.name, *service.requestsPerSecond, now) : nullptr;
    if (ofCaller != nullptr && ofCaller->nextToken(now) > now) {
        return waitOf(*ofCaller, now);
    }
    if (ofService != nullptr && !ofService->take(now)) {
        return waitOf(*ofService, now);
    }
    if (ofCaller != nullptr && !ofCaller->take(now)) {
        return waitOf(*ofCaller, now);
    }
    return std::nullopt;
}

void rate_limits::prune(const configuration &current)
{
    keepKnown(m_callers, current.callers);
    keepKnown(m_services, current.services);
}

} // namespace banyan
