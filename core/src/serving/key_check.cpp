#include "banyan/core/serving/key_check.h"

#include "banyan/core/serving/key_directory.h"
#include "banyan/core/serving/key_lease.h"

namespace banyan {

std::string_view toString(key_verdict verdict)
{
    switch (verdict) {
    case key_verdict::Taken:
        return "taken";
    case key_verdict::Missing:
        return "key_missing";
    case key_verdict::Unknown:
        return "key_unknown";
    case key_verdict::Unproven:
        return "key_unproven";
    case key_verdict::LeaseOver:
        return "key_lease_over";
    }
    return "unknown";
}

key_check checkKey(const key_directory &keys, const key_lease &lease, const presented_key &presented, bool isPublic, time_point now)
{
    if (!keys.requiresKeys()) {
        return {};
    }
    const organisation *const holder = presented.digest ? keys.find(*presented.digest) : nullptr;
    if (holder != nullptr && lease.isValid(now)) {
        return {.holder = holder};
    }
    if (isPublic) {
        return {};
    }
    if (holder != nullptr) {
        return {.verdict = key_verdict::LeaseOver};
    }
    if (!lease.knowsAllBefore(presented.arrivedAt)) {
        return {.verdict = key_verdict::Unproven};
    }
    return {.verdict = presented.digest ? key_verdict::Unknown : key_verdict::Missing};
}

} // namespace banyan
