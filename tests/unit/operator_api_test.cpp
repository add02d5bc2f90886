#include "banyan/io/operator_api.h"

#include "banyan/core/sha256.h"
#include "banyan/io/http_server.h"
#include "banyan/io/operator_tool.h"
#include "banyan/io/platform_error.h"
#include "directories.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <thread>

using namespace banyan;

namespace {

constexpr const char *editorKey = "key-of-ana";
constexpr const char *viewerKey = "key-of-vera";
constexpr const char *bootstrapKey = "key-of-the-first";

configuration sampleConfiguration()
{
    configuration sample;
    sample.version = 7;
    const operator_settings editor{.id = operator_id("ana"), .keyHashes = {sha256Hex(editorKey)}, .role = operator_role::Editor};
    const operator_settings viewer{.id = operator_id("vera"), .keyHashes = {sha256Hex(viewerKey)}, .role = operator_role::Viewer};
    sample.operators = {{editor.id, editor}, {viewer.id, viewer}};
    return sample;
}

/// An operators' interface on a thread of its own, whose hooks record what they were asked.
class running_api
{
public:
    explicit running_api(patch_result answer = {})
        : m_answer(std::move(answer))
        , m_api({.bootstrapKeyHash = sha256Hex(bootstrapKey), .hooks = hooks()})
        , m_server(m_context, {.listen = {.address = "127.0.0.1", .port = 0}})
    {
        m_api.addRoutes(m_server);
        m_server.start();
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~running_api()
    {
        m_context.stop();
        m_thread.join();
    }

    /// Runs the command line tool against this interface.
    tool_exit run(std::vector<std::string> arguments, const std::string &key)
    {
        arguments.insert(arguments.end(), {"--operator-url", "http://" + m_server.address().toString(), "--key", key});
        std::ostringstream outputStream;
        std::ostringstream errorStream;
        const tool_exit code = operator_tool({}, outputStream, errorStream).run(arguments);
        output = outputStream.str();
        errors = errorStream.str();
        return code;
    }

    std::optional<patch_request> submitted;
    std::optional<audit_filter> asked;
    std::string output;
    std::string errors;

private:
    operator_api_hooks hooks()
    {
        operator_api_hooks result;
        result.currentConfiguration = [] {
            return std::make_shared<const configuration>(sampleConfiguration());
        };
        result.submitPatch = [this](patch_request request) -> task<patch_result> {
            submitted = std::move(request);
            co_return m_answer;
        };
        result.readAudit = [this](audit_filter filter) -> task<std::vector<audit_record>> {
            asked = std::move(filter);
            co_return std::vector<audit_record>(1);
        };
        result.findJob = [](job_id) -> task<std::optional<job_summary>> {
            co_return std::nullopt;
        };
        result.listJobs = [](std::optional<caller_id>) -> task<std::vector<job_summary>> {
            throw platform_unavailable("down");
            co_return std::vector<job_summary>();
        };
        return result;
    }

    patch_result m_answer;
    asio::io_context m_context;
    operator_api m_api;
    http_server m_server;
    std::thread m_thread;
};

std::vector<std::string> patchCommand()
{
    return {"config", "patch", "--base", "7", "--patch", R"({"callers":{"niebla":null}})", "--reason", "left us"};
}

} // namespace

TEST_CASE("a patch reaches the hook with its author, base version and reason")
{
    running_api api({.outcome = patch_outcome::Accepted, .version = 8, .submissionId = "p-1"});
    CHECK(api.run(patchCommand(), editorKey) == tool_exit::Done);
    CHECK(api.output == "version: 8\nsubmission_id: p-1\n");
    CHECK(api.submitted
          == patch_request{
              .author = operator_id("ana"), .baseVersion = 7, .mergePatch = R"({"callers":{"niebla":null}})", .reason = "left us"});
}

TEST_CASE("a patch against another version is refused with the current one")
{
    running_api api(
        {.outcome = patch_outcome::Conflict, .version = 9, .message = "the base is not current", .contestedFields = {"callers.niebla"}});
    CHECK(api.run(patchCommand(), bootstrapKey) == tool_exit::Refused);
    CHECK(api.errors.find("version_conflict") != std::string::npos);
    CHECK(api.errors.find("current_version: 9") != std::string::npos);
    CHECK(api.errors.find("callers.niebla") != std::string::npos);
    CHECK(api.output.empty());
}

TEST_CASE("a viewer reads but cannot change")
{
    running_api api;
    CHECK(api.run({"config", "show"}, viewerKey) == tool_exit::Done);
    CHECK(api.run(patchCommand(), viewerKey) == tool_exit::Refused);
    CHECK(api.errors.find("editor_required") != std::string::npos);
    CHECK_FALSE(api.submitted);
}

TEST_CASE("a wrong operator key is refused and reaches no hook")
{
    running_api api;
    CHECK(api.run({"audit"}, "another key") == tool_exit::Refused);
    CHECK(api.errors.find("status 401") != std::string::npos);
    CHECK_FALSE(api.asked);
}

TEST_CASE("audit filters are passed on")
{
    running_api api;
    CHECK(
        api.run({"audit", "--kind", "patch", "--operator", "ana & co", "--from", "1970-01-01T00:00:02.000005Z", "--limit", "3"}, viewerKey)
        == tool_exit::Done);
    const time_point from(std::chrono::microseconds(2000005));
    CHECK(api.asked == audit_filter{.from = from, .kind = "patch", .actor = operator_id("ana & co"), .limit = 3});
}

TEST_CASE("the operators' interface tells an unknown job, a store that is down and a call it lacks apart")
{
    running_api api;
    const auto [arguments, status] = GENERATE(table<std::vector<std::string>, std::string>(
        {{{"job", "show", "j-1"}, "status 404"}, {{"jobs"}, "status 503"}, {{"job", "cancel", "j-1"}, "status 501"}}));
    CHECK(api.run(arguments, editorKey) == tool_exit::Refused);
    CHECK(api.errors.find(status) != std::string::npos);
}

TEST_CASE("a wrong command line is told apart from a node that does not answer")
{
    std::ostringstream output;
    std::ostringstream errors;
    operator_tool tool({.environmentUrl = "http://127.0.0.1:1", .environmentKey = "k"}, output, errors);
    CHECK(tool.run({"status"}) == tool_exit::Unreachable);
    for (const std::vector<std::string> &arguments :
         {std::vector<std::string>{}, {"unknown"}, {"job", "show"}, {"audit", "--limit"}, {"status", "--output", "xml"}}) {
        CHECK(tool.run(arguments) == tool_exit::Usage);
    }
    CHECK(output.str().empty());
}

TEST_CASE("each command explains itself")
{
    std::ostringstream output;
    std::ostringstream errors;
    operator_tool tool({}, output, errors);
    for (const std::vector<std::string> &arguments :
         {std::vector<std::string>{"--help"}, {"config", "patch", "--help"}, {"drain", "--help"}}) {
        CHECK(tool.run(arguments) == tool_exit::Done);
    }
    CHECK(output.str().find("--reason") != std::string::npos);
}

TEST_CASE("explain tells a request's story from log files, without a node")
{
    std::ostringstream output;
    std::ostringstream errors;
    operator_tool tool({}, output, errors);
    const std::string log = tests::sourceDirectory() + "/tests/data/gateway-day.log";
    CHECK(tool.run({"explain", "37d01c312f105f27", "--log", log}) == tool_exit::Done);
    CHECK(output.str().find("cause: answered with 200 after a failed attempt") != std::string::npos);
    CHECK(tool.run({"explain", "unknown", "--log", log}) == tool_exit::Refused);
    CHECK(tool.run({"explain", "unknown", "--log", log + ".missing"}) == tool_exit::Usage);
    CHECK(tool.run({"explain", "--log", log}) == tool_exit::Usage);
    CHECK(tool.run({"explain", "--log", log, "--help"}) == tool_exit::Done);
}

TEST_CASE("causes counts late requests from log files, without a node")
{
    std::ostringstream output;
    std::ostringstream errors;
    operator_tool tool({}, output, errors);
    const std::string log = tests::sourceDirectory() + "/tests/data/gateway-day.log";
    CHECK(tool.run({"causes", "--log", log}) == tool_exit::Done);
    CHECK(output.str().find("cause=\"refused: overloaded\"") != std::string::npos);
    CHECK(tool.run({"causes", "--log", log + ".missing"}) == tool_exit::Usage);
    CHECK(tool.run({"causes"}) == tool_exit::Usage);
    CHECK(tool.run({"causes", "--help"}) == tool_exit::Done);
}
