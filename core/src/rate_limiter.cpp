#include "banyan/core/rate_limiter.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double burstSeconds = 1; // The burst, in seconds of the rate.

/// The bucket of @p key, set to @p rate and created if necessary.
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
void eraseUnknown(std::map<Key, token_bucket> &buckets, const std::map<Key, Settings> &configured)
{
    std::erase_if(buckets, [&](const auto &entry) {
        return !configured.contains(entry.first);
    });
}

} // namespace

std::optional<duration> rate_limiter::admit(const caller_settings &caller, const service_settings &service, time_point now)
{
    token_bucket *callerBucket = caller.requestsPerSecond ? &bucketOf(m_callers, caller.id, *caller.requestsPerSecond, now) : nullptr;
    token_bucket *serviceBucket =
        service.requestsPerSecond ? &bucketOf(m_services, service.name, *service.requestsPerSecond, now) : nullptr;
    if (callerBucket != nullptr && callerBucket->nextToken(now) > now) {
        return waitOf(*callerBucket, now);
    }
    if (serviceBucket != nullptr && !serviceBucket->take(now)) {
        return waitOf(*serviceBucket, now);
    }
    if (callerBucket != nullptr && !callerBucket->take(now)) {
        return waitOf(*callerBucket, now);
    }
    return std::nullopt;
}

void rate_limiter::prune(const configuration &current)
{
    eraseUnknown(m_callers, current.callers);
    eraseUnknown(m_services, current.services);
}

} // namespace banyan
