#include "banyan/io/serving/gateway_settings.h"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <string>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

/// Reads settings with these lines beside the needed ones.
gateway_settings readWith(const std::string &lines)
{
    std::string path = "/tmp/gateway-settings-XXXXXX";
    const int file = mkstemp(path.data());
    REQUIRE(file >= 0);
    const std::string text = "vm: n1\nfailure_domain: a\ncaller_listen: 127.0.0.1:1\nready_listen: 127.0.0.1:2\npeer_listen: 127.0.0.1:3\n"
                             "metrics_listen: 127.0.0.1:4\nstore: 127.0.0.1:5\n"
                             + lines;
    const bool isWritten = write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size());
    close(file);
    struct removal
    {
        const std::string &path;
        ~removal()
        {
            unlink(path.c_str());
        }
    } const removed{path};
    REQUIRE(isWritten);
    return readGatewaySettings(path);
}

} // namespace

TEST_CASE("gateway settings say how far organisations may exceed their limits, and allow nothing beyond them if they do not")
{
    for (const std::string absent : {"", "limit_window_seconds: \nlimit_overage: \nlimit_slack: \n"}) {
        CHECK(readWith(absent).organisationLimits == limit_tolerance{.window = 5s, .overage = 0, .slack = 0});
    }
    const gateway_settings settings = readWith("limit_window_seconds: 2.5\nlimit_overage: 0.1\nlimit_slack: 20\n");
    CHECK(settings.organisationLimits == limit_tolerance{.window = 2500ms, .overage = 0.1, .slack = 20});
}

TEST_CASE("gateway settings name the key whose value is out of range")
{
    for (const std::string key : {"limit_window_seconds", "limit_overage", "limit_slack"}) {
        CHECK_THROWS_WITH(readWith(key + ": -1\n"), Catch::Contains(key));
    }
}
