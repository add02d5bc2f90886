#include "eventually.h"
#include "fleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace banyan;
using namespace banyan::process_tests;
namespace json = boost::json;

namespace {

/// The version in force on an entry VM; 0 if it has none.
std::uint64_t versionAt(const fleet &running, std::size_t entry)
{
    const http_response answer = running.operate(entry, {.target = "/operator/v1/configuration"});
    return answer.status == 200 ? json::parse(answer.body).at("version").to_number<std::uint64_t>() : 0;
}

bool allReach(const fleet &running, std::size_t entries, std::uint64_t version)
{
    return eventually([&] {
        for (std::size_t entry = 0; entry < entries; ++entry) {
            if (versionAt(running, entry) != version) {
                return false;
            }
        }
        return true;
    });
}

json::value newCaller(const std::string &name)
{
    return {{"callers", {{name, json::object()}}}};
}

http_response submit(const fleet &running, std::size_t entry, std::uint64_t base, const std::string &caller)
{
    const json::object submission = {{"base_version", base}, {"patch", newCaller(caller)}, {"reason", "test"}};
    return running.operate(entry, postJson("/operator/v1/configuration/patches", operatorKey, submission));
}

void setPlatformDown(const fleet &running, bool down)
{
    fleet::setFaults(running.platform(), {{"down", down}});
}

} // namespace

TEST_CASE("when the platform goes down right after a patch, every VM gets it, also one that starts or was frozen meanwhile")
{
    fleet running({.entries = 3, .engines = 1});
    const std::uint64_t base = versionAt(running, 0);
    REQUIRE(allReach(running, 3, base));
    running.entryProcess(2).signal(SIGSTOP);
    REQUIRE(submit(running, 0, base, "late").status == 200);
    setPlatformDown(running, true);
    running.entryProcess(2).signal(SIGCONT);
    CHECK(allReach(running, 3, base + 1));
    const std::size_t started = running.startEntry();
    running.waitUntilReady();
    CHECK(versionAt(running, started) == base + 1);
}

TEST_CASE("while the platform is down a patch is refused and changes nothing")
{
    fleet running({.entries = 2, .engines = 1});
    const std::uint64_t base = versionAt(running, 0);
    setPlatformDown(running, true);
    CHECK(submit(running, 1, base, "refused").status == 503);
    setPlatformDown(running, false);
    REQUIRE(submit(running, 0, base, "accepted").status == 200);
    CHECK(allReach(running, 2, base + 1));
}

TEST_CASE("a patch whose commit takes effect but is not answered is accepted, once")
{
    fleet running({.entries = 2, .engines = 1});
    const std::uint64_t base = versionAt(running, 0);
    fleet::setFaults(running.platform(), {{"lose_answers", 1}});
    CHECK(submit(running, 0, base, "lost").status == 200);
    CHECK(allReach(running, 2, base + 1));
}
