#include "child_process.h"
#include "temporary_directory.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace banyan::process_tests;

namespace {

const std::string goodSettings = "vm: e1\n"
                                 "failure_domain: sierra-a\n"
                                 "caller_listen: 127.0.0.1:0\n"
                                 "operator_listen: 127.0.0.1:0\n"
                                 "peer_listen: 127.0.0.1:0\n"
                                 "platform: 127.0.0.1:1\n"
                                 "fleet_secret: secret-of-the-test-fleet\n";

/// The end of a banyand that was given settings.
struct settings_result
{
    int exitCode = 0;
    std::string file;
    std::string errors;
};

settings_result runWith(const std::string &settings, const std::vector<std::string> &more)
{
    const temporary_directory directory;
    settings_result result{.file = directory.write("banyand.yaml", settings)};
    std::vector<std::string> arguments = {"--settings", result.file};
    arguments.insert(arguments.end(), more.begin(), more.end());
    child_process process({.program = "banyand", .arguments = arguments, .errorFile = directory.file("errors")});
    result.exitCode = process.waitForExit();
    std::ostringstream text;
    text << std::ifstream(directory.file("errors")).rdbuf();
    result.errors = text.str();
    return result;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

/// Settings with one fault: the line that must be named and what the message must contain.
struct settings_case
{
    std::string settings;
    int line;
    std::string expected;
};

std::vector<settings_case> badSettings()
{
    return {{goodSettings + "colour: red\n", 8, "colour"},
            {replaced(goodSettings, "platform: 127.0.0.1:1", "platform: [1, 2]"), 6, "platform"},
            {replaced(goodSettings, "caller_listen: 127.0.0.1:0", "caller_listen: localhost:80"), 3, "caller_listen"},
            {replaced(goodSettings, "peer_listen: 127.0.0.1:0", "peer_listen: 127.0.0.1"), 5, "peer_listen"},
            {replaced(goodSettings, "failure_domain: sierra-a\n", ""), 1, "failure_domain"},
            {goodSettings + "log_level: loud\n", 8, "log_level"},
            {goodSettings + "peers: 127.0.0.1:1\n", 8, "peers"},
            {goodSettings + "peers:\n  - 127.0.0.1:1\n  - e2\n", 10, "peers"},
            {replaced(goodSettings, "secret-of-the-test-fleet", "short"), 7, "fleet_secret"},
            {replaced(goodSettings, "vm: e1", "vm: [e1"), 2, "expected"}};
}

} // namespace

TEST_CASE("bad settings give one line with file, line and what was expected, and exit code 2")
{
    for (const settings_case &bad : badSettings()) {
        INFO(bad.settings);
        const settings_result result = runWith(bad.settings, {});
        INFO(result.errors);
        CHECK(result.exitCode == 2);
        CHECK(std::count(result.errors.begin(), result.errors.end(), '\n') == 1);
        CHECK(result.errors.find(result.file + ":" + std::to_string(bad.line)) != std::string::npos);
        CHECK(result.errors.find(bad.expected) != std::string::npos);
    }
}

TEST_CASE("the settings check accepts good settings and starts nothing")
{
    CHECK(runWith(goodSettings, {"--check"}).exitCode == 0);
}

TEST_CASE("the settings check refuses bad settings")
{
    CHECK(runWith(goodSettings + "colour: red\n", {"--check"}).exitCode == 2);
}
