#include "banyan/core/serving/claim_terms.h"

#include "banyan/core/serving/item_checkpoint.h"
#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/route.h"
#include "banyan/core/serving/service_availability.h"
#include "banyan/io/serving/serving_codec.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr int items = 2000;

route splitRoute(std::vector<weighted_service> services)
{
    return {.name = "jobs",
            .kind = request_kind::Job,
            .services = std::move(services),
            .priority = 2,
            .completionWindow = 18s,
            .retention = 60s};
}

weighted_service part(const std::string &service, std::uint32_t weight)
{
    return {.service = service_name(service), .weight = weight};
}

replica upstreamOf(const std::string &service, const std::string &version = "v1", bool draining = false)
{
    return {
        .id = upstream_id("of-" + service + version), .service = service_name(service), .softwareVersion = version, .draining = draining};
}

service_availability availabilityOf(const std::vector<replica> &upstreams)
{
    return service_availability(upstreams);
}

/// The number of items that each service gets.
std::map<std::string, int> countByService(const route &jobRoute, const service_availability &availability)
{
    std::map<std::string, int> counts;
    const job_entry job;
    for (int item = 0; item < items; ++item) {
        const claim_basis basis{.job = job, .jobRoute = jobRoute, .item = request_id("item-" + std::to_string(item))};
        ++counts[claimTermsFor(basis, availability).service.text()];
    }
    return counts;
}

claim_terms termsWithOutput(const route &jobRoute, const stream_origin &output, const service_availability &availability)
{
    const job_entry job;
    return claimTermsFor({.job = job, .jobRoute = jobRoute, .item = request_id("item"), .output = output}, availability);
}

} // namespace

TEST_CASE("claimTermsFor keeps the weights of a split while all of its services are served")
{
    const route jobRoute = splitRoute({part("a", 60), part("b", 30), part("c", 10)});
    auto counts = countByService(jobRoute, availabilityOf({upstreamOf("a"), upstreamOf("b"), upstreamOf("c")}));
    CHECK(counts["a"] == Approx(0.6 * items).epsilon(0.1));
    CHECK(counts["b"] == Approx(0.3 * items).epsilon(0.1));
    CHECK(counts["c"] == Approx(0.1 * items).epsilon(0.2));
}

TEST_CASE("claimTermsFor gives the items of a service that is not served to the others by their weights, and moves no others")
{
    const route jobRoute = splitRoute({part("a", 60), part("b", 30), part("c", 10)});
    const service_availability all = availabilityOf({upstreamOf("a"), upstreamOf("b"), upstreamOf("c")});
    const service_availability without = availabilityOf({upstreamOf("a", "v1", true), upstreamOf("b"), upstreamOf("c")});
    auto counts = countByService(jobRoute, without);
    CHECK(counts["a"] == 0);
    CHECK(counts["b"] == Approx(0.75 * items).epsilon(0.1));
    const job_entry job;
    for (int item = 0; item < items; ++item) {
        const claim_basis basis{.job = job, .jobRoute = jobRoute, .item = request_id("item-" + std::to_string(item))};
        const service_name usual = claimTermsFor(basis, all).service;
        if (usual != service_name("a")) {
            CHECK(claimTermsFor(basis, without).service == usual);
        }
    }
}

TEST_CASE("claimTermsFor waits for the usual services if none is served, and for none without a weight")
{
    const route jobRoute = splitRoute({part("a", 60), part("b", 40)});
    CHECK(countByService(jobRoute, {}) == countByService(jobRoute, availabilityOf({upstreamOf("a"), upstreamOf("b")})));
    auto counts = countByService(splitRoute({part("a", 1), part("b", 0)}), availabilityOf({upstreamOf("b")}));
    CHECK(counts["b"] == 0);
}

TEST_CASE("claimTermsFor takes priority, target and deadline from the job and its route")
{
    const job_entry job{.submittedAt = time_point(100s)};
    const route jobRoute = splitRoute({part("a", 1)});
    const claim_terms terms = claimTermsFor({.job = job, .jobRoute = jobRoute, .item = request_id("item"), .priority = 2}, {});
    CHECK(terms
          == claim_terms{
              .service = service_name("a"), .version = {}, .priority = 2, .target = time_point(118s), .deadline = time_point(160s)});
}

TEST_CASE("claimTermsFor continues an output only at the service and version that made it, while the route has that service")
{
    const service_availability served = availabilityOf({upstreamOf("a"), upstreamOf("b")});
    const stream_origin output{.service = service_name("b"), .version = "v1"};
    const claim_terms continued = termsWithOutput(splitRoute({part("a", 1000), part("b", 1)}), output, served);
    CHECK(continued.service == service_name("b"));
    CHECK(continued.version == "v1");
    // Another service of the same version, another version of the same service, and an output whose version is not known.
    CHECK(termsWithOutput(splitRoute({part("a", 1)}), output, served).version.empty());
    CHECK(termsWithOutput(splitRoute({part("b", 1)}), output, availabilityOf({upstreamOf("b", "v2")})).version.empty());
    CHECK(termsWithOutput(splitRoute({part("b", 1)}), {.service = service_name("b")}, served).version.empty());
}

TEST_CASE("claimTermsFor continues an output of an earlier build's checkpoint, which names no service, by its version")
{
    const stream_origin output{.service = {}, .version = "v1"};
    const claim_terms terms = termsWithOutput(splitRoute({part("a", 1)}), output, availabilityOf({upstreamOf("a")}));
    CHECK(terms.service == service_name("a"));
    CHECK(terms.version == "v1");
    // Not at the other service of a split, which the earlier build would not have used.
    const route split = splitRoute({part("a", 1), part("b", 1)});
    const service_name usual = serviceFor(split, request_id("item"));
    const std::string other = usual == service_name("a") ? "b" : "a";
    const claim_terms moved = termsWithOutput(split, output, availabilityOf({upstreamOf(other)}));
    CHECK(moved.service == service_name(other));
    CHECK(moved.version.empty());
}

TEST_CASE("an item_checkpoint keeps the service and the version that made its output")
{
    const item_checkpoint stored{.item = "i", .lastEvent = 3, .output = "text", .origin = {.service = service_name("s"), .version = "v1"}};
    CHECK(decodeItemCheckpoint(encode(stored)) == stored);
}
