#include "banyan/core/serving/claim_terms.h"

#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/route.h"
#include "banyan/core/serving/service_availability.h"

#include <algorithm>

namespace banyan {

claim_terms claimTermsFor(const claim_basis &basis, const service_availability &availability)
{
    const route &jobRoute = basis.jobRoute;
    const service_name &service = serviceFor(jobRoute, basis.item, availability);
    const bool continues = !basis.outputVersion.empty() && availability.isServed(service, basis.outputVersion);
    return {.service = service,
            .version = continues ? basis.outputVersion : std::string(),
            .priority = basis.priority,
            .target = basis.job.submittedAt + jobRoute.completionWindow,
            .deadline = basis.job.submittedAt + std::max(jobRoute.retention, jobRoute.completionWindow)};
}

} // namespace banyan
