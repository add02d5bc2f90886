#include "banyan/core/configuration_error.h"
#include "banyan/core/configuration_json.h"
#include "banyan/core/sha256.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace banyan;
namespace json = boost::json;

namespace {

/// Applies a merge patch (RFC 7396) to the complete document: the reference implementation for applyPatch().
void mergeDocument(json::value &target, const json::value &patch)
{
    if (!patch.is_object()) {
        target = patch;
        return;
    }
    if (!target.is_object()) {
        target = json::object();
    }
    for (const auto &member : patch.get_object()) {
        if (member.value().is_null()) {
            target.get_object().erase(member.key());
        } else {
            mergeDocument(target.get_object()[member.key()], member.value());
        }
    }
}

std::string anyName()
{
    return *rc::gen::weightedElement<std::string>({{5, "a"}, {5, "b"}, {5, "c"}, {1, "not/allowed"}});
}

json::value anyCaller()
{
    json::object result;
    if (*rc::gen::arbitrary<bool>()) {
        result["key_hashes"] = json::array{json::value(sha256Hex(anyName()))};
    }
    if (*rc::gen::arbitrary<bool>()) {
        result["requests_per_second"] = *rc::gen::element<json::value>(1, 2.5, nullptr, 0, "x");
    }
    return result;
}

json::value anyService()
{
    json::object result{{"kind", "model"}, {"pool", anyName()}, {"models", json::array{json::value(anyName())}}};
    const int removed = *rc::gen::inRange(0, 8);
    if (removed < 3) {
        result.erase(std::array{"kind", "pool", "models"}[static_cast<std::size_t>(removed)]);
    }
    if (*rc::gen::arbitrary<bool>()) {
        result["access"] = json::array{json::object{{"caller", anyName()}, {"urgency", "batch"}}};
    }
    if (*rc::gen::arbitrary<bool>()) {
        result["version"] = *rc::gen::element<json::value>(1, 7, nullptr, "x");
    }
    return result;
}

json::value anySection(const std::function<json::value()> &anyEntry)
{
    json::object result;
    const int entries = *rc::gen::inRange(0, 3);
    for (int count = 0; count < entries; ++count) {
        result[anyName()] = *rc::gen::inRange(0, 5) == 0 ? json::value(nullptr) : anyEntry();
    }
    return *rc::gen::weightedElement<json::value>({{12, result}, {1, json::value(nullptr)}, {1, json::value(1)}});
}

json::value anyPatch()
{
    json::object result;
    if (*rc::gen::inRange(0, 3) != 0) {
        result["callers"] = anySection(anyCaller);
    }
    if (*rc::gen::inRange(0, 3) != 0) {
        result["services"] = anySection(anyService);
    }
    if (*rc::gen::inRange(0, 6) == 0) {
        result["operators"] = anySection(anyCaller);
    }
    if (*rc::gen::inRange(0, 20) == 0) {
        result["unknown"] = *rc::gen::element<json::value>(1, nullptr);
    }
    return result;
}

std::optional<configuration> patchedNaively(const configuration &base, const json::value &patch)
{
    json::value whole = json::parse(toJson(base));
    mergeDocument(whole, patch);
    try {
        return parseConfiguration(json::serialize(whole), base.version + 1);
    } catch (const configuration_error &) {
        return std::nullopt;
    }
}

std::optional<configuration> patched(const configuration &base, const json::value &patch)
{
    try {
        return applyPatch(base, json::serialize(patch));
    } catch (const configuration_error &) {
        return std::nullopt;
    }
}

} // namespace

TEST_CASE("applyPatch agrees with a merge of complete documents, or both reject the patch")
{
    rc::prop("a sequence of random patches", [] {
        configuration current;
        int accepted = 0;
        const int patches = *rc::gen::inRange(1, 20);
        for (int count = 0; count < patches; ++count) {
            const json::value patch = anyPatch();
            const std::optional<configuration> expected = patchedNaively(current, patch);
            const std::optional<configuration> found = patched(current, patch);
            RC_ASSERT((found == expected));
            accepted += found ? 1 : 0;
            current = found.value_or(current);
        }
        RC_TAG(accepted > 0);
    });
}

TEST_CASE("a patched configuration can be parsed from its snapshot up to the maximum size")
{
    configuration current;
    bool rejected = false;
    for (int round = 0; round < 200 && !rejected; ++round) {
        json::object callers;
        for (int number = 0; number < 50; ++number) {
            json::array keys;
            for (int key = 0; key < 16; ++key) {
                keys.emplace_back(sha256Hex(std::to_string(round * 10000 + number * 100 + key)));
            }
            callers["caller-" + std::to_string(round * 50 + number)] = json::object{{"key_hashes", keys}};
        }
        const std::optional<configuration> next = patched(current, json::object{{"callers", callers}});
        rejected = !next;
        current = next.value_or(current);
    }
    CHECK(rejected);
    CHECK(parseConfiguration(toJson(current), current.version) == current);
}
