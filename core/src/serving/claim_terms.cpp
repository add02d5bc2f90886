#include "banyan/core/serving/claim_terms.h"

#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/route.h"
#include "banyan/core/serving/service_availability.h"

#include <algorithm>

namespace banyan {

namespace {

/// Whether the route's services include the one that made the output, and that can continue it.
bool canContinue(const claim_basis &basis, const service_availability &availability)
{
    const std::vector<weighted_service> &services = basis.jobRoute.services;
    const bool isOfRoute = std::any_of(services.begin(), services.end(), [&](const weighted_service &part) {
        return part.service == basis.output.service;
    });
    return isOfRoute && !basis.output.version.empty() && availability.isServed(basis.output.service, basis.output.version);
}

} // namespace

claim_terms claimTermsFor(const claim_basis &basis, const service_availability &availability)
{
    const route &jobRoute = basis.jobRoute;
    claim_terms terms{.service = serviceFor(jobRoute, basis.item, availability),
                      .priority = basis.priority,
                      .target = basis.job.submittedAt + jobRoute.completionWindow,
                      .deadline = basis.job.submittedAt + std::max(jobRoute.retention, jobRoute.completionWindow)};
    claim_basis known = basis;
    if (known.output.service.text().empty()) {
        known.output.service = serviceFor(jobRoute, basis.item); // Checkpoints of earlier builds, which used no other, do not name it.
    }
    if (canContinue(known, availability)) {
        terms.service = known.output.service;
        terms.version = known.output.version;
    }
    return terms;
}

} // namespace banyan
