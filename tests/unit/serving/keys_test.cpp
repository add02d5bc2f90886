#include "banyan/core/serving/caller_key.h"
#include "banyan/core/serving/job_access.h"
#include "banyan/core/serving/key_check.h"
#include "banyan/core/serving/key_digester.h"
#include "banyan/core/serving/key_directory.h"
#include "banyan/core/serving/key_lease.h"
#include "banyan/core/serving/route_table.h"

#include <catch2/catch.hpp>
#include <openssl/hmac.h>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr duration revocationTime = 5s;
const time_point start(1000h);
const key_digester digester({1, 2, 3});

std::vector<organisation> organisations()
{
    return {{.name = caller_id("a"), .keys = {digester.digest("a1"), digester.digest("a2")}},
            {.name = caller_id("b"), .keys = {digester.digest("b1"), digester.digest("a2")}, .priority = 1}};
}

/// A directory of these organisations and a lease that was renewed at @ref start.
struct check_fixture
{
    std::vector<organisation> known = organisations();
    key_directory keys{known, true};
    key_lease lease{revocationTime};

    check_fixture()
    {
        lease.recordReading(start);
    }

    [[nodiscard]] key_check check(const std::string &key, time_point arrivedAt, time_point now, bool isPublic = false) const
    {
        const presented_key presented{.digest = key.empty() ? std::nullopt : std::optional(digester.digest(key)), .arrivedAt = arrivedAt};
        return checkKey(keys, lease, presented, isPublic, now);
    }
};

} // namespace

TEST_CASE("the digest of a key is its HMAC-SHA256 under the secret, however often the digester is used")
{
    const key_digester::secret secret{7, 8, 9};
    const key_digester own(secret);
    for (const std::string key : {"", "k", "ftimaj3nr26tta828m82", "k"}) {
        key_digest expected{};
        HMAC(EVP_sha256(),
             secret.data(),
             secret.size(),
             reinterpret_cast<const unsigned char *>(key.data()),
             key.size(),
             expected.data(),
             nullptr);
        CHECK(own.digest(key) == expected);
        CHECK(digester.digest(key) != expected);
    }
}

TEST_CASE("a key directory finds the holder of a key, the first one if several name it")
{
    const std::vector<organisation> known = organisations();
    const key_directory keys(known, true);
    CHECK(keys.find(digester.digest("a1")) == &known[0]);
    CHECK(keys.find(digester.digest("a2")) == &known[0]);
    CHECK(keys.find(digester.digest("b1")) == &known[1]);
    CHECK(keys.find(digester.digest("c1")) == nullptr);
}

TEST_CASE("a lease ends before the revocation time has passed since the begin of the last reading")
{
    key_lease lease(revocationTime);
    CHECK_FALSE(lease.isValid(start));
    lease.recordReading(start);
    CHECK(lease.isValid(start + 4800ms));
    CHECK_FALSE(lease.isValid(start + 4950ms));
    lease.recordReading(start - 1s); // An earlier call whose answer came later.
    CHECK(lease.isValid(start + 4800ms));
    lease.recordReading(start + 1s);
    CHECK(lease.isValid(start + 5800ms));
    CHECK(lease.age(start + 3s) == 2s);
    CHECK(lease.knowsAllBefore(start + 999ms));
    CHECK_FALSE(lease.knowsAllBefore(start + 1s));
}

TEST_CASE("without a revocation time a lease never ends")
{
    CHECK(key_lease().isValid(start));
}

TEST_CASE_METHOD(check_fixture, "a request under a known key is taken as its holder's while the lease is valid")
{
    CHECK(check("b1", start + 1s, start + 1s).holder->name == caller_id("b"));
    CHECK(check("b1", start + 1s, start + 4800ms).verdict == key_verdict::Taken);
    CHECK(check("b1", start + 1s, start + 5s).verdict == key_verdict::LeaseOver);
    CHECK(check("b1", start + 1s, start + 5s).holder == nullptr);
}

TEST_CASE_METHOD(check_fixture, "a request is refused for its key only if the configuration was read after its arrival")
{
    CHECK(check("c1", start - 1ms, start + 1s).verdict == key_verdict::Unknown);
    CHECK(check("", start - 1ms, start + 1s).verdict == key_verdict::Missing);
    CHECK(check("c1", start + 1ms, start + 1s).verdict == key_verdict::Unproven);
    CHECK(check("", start + 1ms, start + 1s).verdict == key_verdict::Unproven);
}

TEST_CASE_METHOD(check_fixture, "a public route takes every request, and names a caller only if that is certain")
{
    CHECK(check("", start, start + 1s, true).verdict == key_verdict::Taken);
    CHECK(check("c1", start + 1s, start + 1s, true).holder == nullptr);
    CHECK(check("a1", start, start + 1s, true).holder->name == caller_id("a"));
    const key_check late = check("a1", start, start + 1h, true);
    CHECK(late.verdict == key_verdict::Taken);
    CHECK(late.holder == nullptr);
}

TEST_CASE("without organisations every request is taken, as nobody's")
{
    const key_directory keys({}, false);
    const presented_key presented{.digest = digester.digest("a1"), .arrivedAt = start};
    const key_check checked = checkKey(keys, key_lease(revocationTime), presented, false, start);
    CHECK(checked.verdict == key_verdict::Taken);
    CHECK(checked.holder == nullptr);
}

TEST_CASE("a job is open to its own organisation, and to all if nobody's key submitted it")
{
    const job_entry ofA{.id = job_id("1"), .organisation = caller_id("a")};
    const job_entry ofNobody{.id = job_id("2")};
    CHECK(job_access{caller_id("a")}.allows(ofA));
    CHECK_FALSE(job_access{caller_id("b")}.allows(ofA));
    CHECK_FALSE(job_access{caller_id()}.allows(ofA));
    CHECK(job_access{}.allows(ofA));
    CHECK(job_access{caller_id("b")}.allows(ofNobody));
}

TEST_CASE("a route table finds organisations by name and tells whether a host's jobs are public")
{
    route job{.name = "j", .host = "h", .pathPrefix = "/j/", .kind = request_kind::Job, .isPublic = true};
    route other{.name = "s", .host = "h", .pathPrefix = "/s/", .kind = request_kind::Stream};
    serving_configuration configuration{.routes = {job, other}, .organisations = organisations(), .requiresKeys = true};
    const route_table table(configuration);
    CHECK(table.findOrganisation(caller_id("b"))->priority == 1);
    CHECK(table.findOrganisation(caller_id("c")) == nullptr);
    CHECK(table.hasPublicJobs("H:80"));
    CHECK_FALSE(table.hasPublicJobs("other"));
    configuration.routes[0].isPublic = false;
    CHECK_FALSE(route_table(configuration).hasPublicJobs("h"));
}

TEST_CASE("organisations differ in their caller keys, and nobody's is 0")
{
    CHECK(callerKeyOf(caller_id()) == 0);
    CHECK(callerKeyOf(caller_id("a")) != callerKeyOf(caller_id("b")));
}
