#include "banyan/io/serving/gateway_settings.h"
#include "banyan/io/settings_error.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <string>

using namespace banyan;

namespace {

/// The settings of a file with the needed keys and @p lines.
gateway_settings settingsWith(const std::string &lines)
{
    const std::filesystem::path path = std::filesystem::temp_directory_path() / "gateway_settings_test.yaml";
    std::ofstream(path) << "vm: n1\nfailure_domain: d\ncaller_listen: 127.0.0.1:1\nready_listen: 127.0.0.1:2\npeer_listen: 127.0.0.1:3\n"
                           "metrics_listen: 127.0.0.1:4\nstore: 127.0.0.1:5\n"
                        << lines;
    return readGatewaySettings(path.string());
}

} // namespace

TEST_CASE("gateway settings name the placement policy, automatic by default")
{
    CHECK(settingsWith("").placement == placement_policy::Automatic);
    for (const placement_policy policy : {placement_policy::Automatic, placement_policy::ExpectedCost, placement_policy::LeastRuns}) {
        CHECK(settingsWith("placement: " + std::string(toString(policy)) + "\n").placement == policy);
    }
    CHECK_THROWS_AS(settingsWith("placement: cheapest\n"), settings_error);
}
