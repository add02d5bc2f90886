#include "banyan/core/serving/route.h"

#include "banyan/core/serving/service_availability.h"

#include <xxhash.h>

#include <concepts>
#include <stdexcept>

namespace banyan {

namespace {

/// The service that a request's hash selects by weight among those that @p isCandidate admits; null if these have no weight.
template<std::predicate<const service_name &> Predicate>
const service_name *selectByWeight(const route &requestRoute, const request_id &request, Predicate isCandidate)
{
    std::uint64_t total = 0;
    for (const weighted_service &part : requestRoute.services) {
        total += isCandidate(part.service) ? part.weight : 0;
    }
    if (total == 0) {
        return nullptr;
    }
    std::uint64_t point = XXH3_64bits(request.text().data(), request.text().size()) % total;
    for (const weighted_service &part : requestRoute.services) {
        if (!isCandidate(part.service)) {
            continue;
        }
        if (point < part.weight) {
            return &part.service;
        }
        point -= part.weight;
    }
    return nullptr;
}

} // namespace

const service_name &serviceFor(const route &requestRoute, const request_id &request)
{
    if (requestRoute.services.empty()) {
        throw std::invalid_argument("expected a route with a service, found route=" + requestRoute.name + " with none");
    }
    const service_name *const selected = selectByWeight(requestRoute, request, [](const service_name &) {
        return true;
    });
    return selected == nullptr ? requestRoute.services.front().service : *selected;
}

const service_name &serviceFor(const route &requestRoute, const request_id &request, const service_availability &availability)
{
    const service_name &usual = serviceFor(requestRoute, request);
    if (availability.isServed(usual)) {
        return usual;
    }
    const service_name *const served = selectByWeight(requestRoute, request, [&](const service_name &service) {
        return availability.isServed(service);
    });
    return served == nullptr ? usual : *served;
}

} // namespace banyan
