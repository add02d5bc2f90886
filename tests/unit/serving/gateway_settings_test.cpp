#include "banyan/io/serving/gateway_settings.h"

#include "banyan/io/settings_error.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

/// The settings of a file that has the necessary keys and these lines.
gateway_settings settingsWith(const std::string &lines)
{
    const std::filesystem::path file = std::filesystem::temp_directory_path() / ("gateway-settings-" + std::to_string(getpid()) + ".yaml");
    std::ofstream(file) << "vm: v\nfailure_domain: d\ncaller_listen: 127.0.0.1:1\nready_listen: 127.0.0.1:2\n"
                           "peer_listen: 127.0.0.1:3\nmetrics_listen: 127.0.0.1:4\nstore: 127.0.0.1:5\n"
                        << lines;
    return readGatewaySettings(file.string());
}

} // namespace

TEST_CASE("the revocation time is read in seconds, also with an exponent, and there is none by default")
{
    CHECK(settingsWith("").revocationTime == duration(0));
    CHECK(settingsWith("\nrevocation_seconds: 0\n").revocationTime == duration(0));
    CHECK(settingsWith("\nrevocation_seconds: 5000e-3\n\n").revocationTime == 5s);
    CHECK(settingsWith("revocation_seconds: 2.5\n").revocationTime == 2500ms);
}

TEST_CASE("a revocation time in which not every gateway can read the configuration is refused")
{
    for (const std::string wrong : {"0.5", "-1", "100000", "soon", "\"\""}) {
        CHECK_THROWS_AS(settingsWith("revocation_seconds: " + wrong + "\n"), settings_error);
    }
}

TEST_CASE("gateway settings say how far organisations may exceed their limits, and allow nothing beyond them if they do not")
{
    for (const std::string absent : {"", "limit_window_seconds: \nlimit_overage: \nlimit_slack: \n"}) {
        CHECK(settingsWith(absent).organisationLimits == limit_tolerance{.window = 5s, .overage = 0, .slack = 0});
    }
    const gateway_settings settings = settingsWith("limit_window_seconds: 2.5\nlimit_overage: 0.1\nlimit_slack: 20\n");
    CHECK(settings.organisationLimits == limit_tolerance{.window = 2500ms, .overage = 0.1, .slack = 20});
}

TEST_CASE("gateway settings name the key whose value is out of range")
{
    for (const std::string key : {"limit_window_seconds", "limit_overage", "limit_slack"}) {
        CHECK_THROWS_WITH(settingsWith(key + ": -1\n"), Catch::Contains(key));
    }
}

TEST_CASE("gateway settings name the placement policy, automatic by default")
{
    CHECK(settingsWith("").placement == placement_policy::Automatic);
    for (const placement_policy policy : {placement_policy::Automatic, placement_policy::ExpectedCost, placement_policy::LeastRuns}) {
        CHECK(settingsWith("placement: " + std::string(toString(policy)) + "\n").placement == policy);
    }
    CHECK_THROWS_AS(settingsWith("placement: cheapest\n"), settings_error);
}
