#include "banyan/core/configuration_json.h"

#include "banyan/core/configuration_error.h"
#include "banyan/core/sha256.h"

#include <catch2/catch.hpp>

#include <string>

using namespace banyan;

namespace {

configuration example()
{
    const std::string hash = sha256Hex("key");
    return parseConfiguration(R"({"callers":{"niebla":{"key_hashes":[")" + hash + R"("],"requests_per_second":100.5}},
        "operators":{"ana":{"key_hashes":[")"
                                  + hash + R"("],"role":"editor"}},
        "services":{"advisory":{"kind":"model","version":3,"pool":"advisory","models":["advisor","advisor-es"],
            "access":[{"caller":"niebla","urgency":"batch"}],"repeatable":false,"durable":true,"resumable":true,
            "checks_fencing":true,"default_deadline_ms":1500,"requests_per_second":500}}})",
                              7);
}

std::string errorOf(const std::string &patch)
{
    try {
        static_cast<void>(applyPatch(example(), patch));
    } catch (const configuration_error &error) {
        return error.what();
    }
    return "accepted";
}

} // namespace

TEST_CASE("parseConfiguration reads each field")
{
    const configuration value = example();
    const service_settings expected{.name = service_name("advisory"),
                                    .kind = service_kind::Model,
                                    .version = 3,
                                    .pool = pool_name("advisory"),
                                    .models = {"advisor", "advisor-es"},
                                    .access = {{.caller = caller_id("niebla"), .urgency = work_class::Batch}},
                                    .repeatable = false,
                                    .durable = true,
                                    .resumable = true,
                                    .checksFencing = true,
                                    .defaultDeadline = std::chrono::milliseconds(1500),
                                    .requestsPerSecond = 500};
    CHECK(value.version == 7);
    CHECK(value.services.at(service_name("advisory")) == expected);
    CHECK(value.callers.at(caller_id("niebla")).requestsPerSecond == 100.5);
    CHECK(value.operators.at(operator_id("ana")).role == operator_role::Editor);
}

TEST_CASE("parseConfiguration reads the output of toJson")
{
    CHECK(parseConfiguration(toJson(example()), 7) == example());
}

TEST_CASE("a patch merges objects, replaces values and removes members that are null")
{
    const configuration patched =
        applyPatch(example(), R"({"callers":{"hakata":{}},"services":{"advisory":{"version":4,"requests_per_second":null}}})");
    CHECK(patched.version == 8);
    CHECK(patched.callers.size() == 2);
    CHECK(patched.services.at(service_name("advisory")).version == 4);
    CHECK_FALSE(patched.services.at(service_name("advisory")).requestsPerSecond.has_value());
    CHECK(patched.services.at(service_name("advisory")).durable);
}

TEST_CASE("an invalid patch is rejected with the field, the expected value and the value found")
{
    struct rejected_patch
    {
        std::string patch;
        std::string message;
    };
    const std::vector<rejected_patch> cases{
        {R"({"callers":{"niebla":null}})", "services.advisory.access: expected a caller of this configuration, found \"niebla\""},
        {R"({"services":{"advisory":{"verson":4}}})", "services.advisory.verson: expected no such field, found 4"},
        {R"({"services":{"advisory":{"version":"4"}}})",
         "services.advisory.version: expected an integer from 1 to 4000000000, found \"4\""},
        {R"({"services":{"advisory":{"version":0}}})", "services.advisory.version: expected an integer from 1 to 4000000000, found 0"},
        {R"({"services":{"advisory":{"version":1.5}}})",
         "services.advisory.version: expected an integer from 1 to 4000000000, found 1.5E0"},
        {R"({"services":{"advisory":{"pool":null}}})", "services.advisory.pool: expected a text, found nothing"},
        {R"({"services":{"advisory":{"models":[]}}})",
         "services.advisory.models: expected at least one model for a service of kind \"model\", found none"},
        {R"({"services":{"other":{"kind":"model","pool":"p","models":["advisor"]}}})",
         "services.other.models: expected names that occur once, found \"advisor\" again"},
        {R"({"services":{"advisory":{"durable":1}}})", "services.advisory.durable: expected true or false, found 1"},
        {R"({"services":{"advisory":{"requests_per_second":-1}}})",
         "services.advisory.requests_per_second: expected a positive number up to 1000000, found -1"},
        {R"({"services":{"advisory":{"access":[{"caller":"niebla"},{"caller":"niebla"}]}}})",
         "services.advisory.access: expected each caller once, found \"niebla\" twice"},
        {R"({"services":{"a/b":{}}})", "services: expected a name of 1 to 64 letters, digits and -_.:, found \"a/b\""},
        {R"({"operators":{"ana":{"role":"root"}}})", "operators.ana.role: expected \"viewer\" or \"editor\", found \"root\""},
        {R"({"callers":{"niebla":{"key_hashes":["secret"]}}})",
         "callers.niebla.key_hashes: expected SHA-256 hashes of 64 lower-case hexadecimal digits, found \"secret\""},
        {R"({"services":[]})", "services: expected an object, found []"},
        {R"([])", "patch: expected an object, found []"},
        {R"({"callers":)", "patch: expected JSON, found incomplete JSON"},
        {std::string(300000, ' '), "patch: expected at most 262144 bytes, found 300000"},
    };
    for (const rejected_patch &entry : cases) {
        CHECK(errorOf(entry.patch) == entry.message);
    }
}

TEST_CASE("a key cannot belong to two callers")
{
    const std::string patch = R"({"callers":{"other":{"key_hashes":[")" + sha256Hex("key") + R"("]}}})";
    CHECK(errorOf(patch).find("callers.other.key_hashes: expected keys of no other entry") == 0);
}
