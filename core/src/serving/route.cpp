#include "banyan/core/serving/route.h"

#include <xxhash.h>

#include <numeric>
#include <stdexcept>

namespace banyan {

const service_name &serviceFor(const route &from, const request_id &request)
{
    if (from.services.empty()) {
        throw std::invalid_argument("expected a route with a service, found route=" + from.name + " with none");
    }
    const std::uint64_t total =
        std::accumulate(from.services.begin(), from.services.end(), std::uint64_t(0), [](std::uint64_t sum, const weighted_service &part) {
            return sum + part.weight;
        });
    if (total == 0) {
        return from.services.front().service;
    }
    std::uint64_t point = XXH3_64bits(request.text().data(), request.text().size()) % total;
    for (const weighted_service &part : from.services) {
        if (point < part.weight) {
            return part.service;
        }
        point -= part.weight;
    }
    return from.services.back().service;
}

} // namespace banyan
