#include "banyan/core/serving/route.h"

#include <xxhash.h>

#include <numeric>
#include <stdexcept>

namespace banyan {

const service_name &serviceFor(const route &requestRoute, const request_id &request)
{
    if (requestRoute.services.empty()) {
        throw std::invalid_argument("expected a route with a service, found route=" + requestRoute.name + " with none");
    }
    const std::uint64_t total = std::accumulate(
        requestRoute.services.begin(), requestRoute.services.end(), std::uint64_t(0), [](std::uint64_t sum, const weighted_service &part) {
            return sum + part.weight;
        });
    if (total == 0) {
        return requestRoute.services.front().service;
    }
    std::uint64_t point = XXH3_64bits(request.text().data(), request.text().size()) % total;
    for (const weighted_service &part : requestRoute.services) {
        if (point < part.weight) {
            return part.service;
        }
        point -= part.weight;
    }
    return requestRoute.services.back().service;
}

} // namespace banyan
