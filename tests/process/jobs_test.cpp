#include "eventually.h"
#include "fleet.h"

#include "banyan/core/sha256.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <map>
#include <optional>
#include <sstream>

using namespace banyan;
using namespace banyan::process_tests;
namespace json = boost::json;

namespace {

constexpr int manyItems = 2000;
constexpr int largestCommit = 512; ///< As job_coordinator_options::resultsPerCommit.
constexpr int mostInFlight = 256; ///< As job_coordinator_options::itemsInFlight.
constexpr std::chrono::seconds jobPatience(120);

std::string messageOf(int number)
{
    return "plan visit " + std::to_string(number);
}

/// Orders for the plain service "orders", which are not to be repeated.
std::string orderLines(int count)
{
    std::string text;
    for (int number = 0; number < count; ++number) {
        const json::object line = {{"custom_id", std::to_string(number)},
                                   {"method", "POST"},
                                   {"url", "/v1/services/orders/orders"},
                                   {"body", json::object{{"order", messageOf(number)}}}};
        text += json::serialize(line) + "\n";
    }
    return text;
}

std::string linesOf(int count)
{
    std::string text;
    for (int number = 0; number < count; ++number) {
        const json::object line = {{"custom_id", std::to_string(number)},
                                   {"method", "POST"},
                                   {"url", "/v1/chat/completions"},
                                   {"body", chatBody(messageOf(number))}};
        text += json::serialize(line) + "\n";
    }
    return text;
}

/// One job of a fleet, seen through its callers' interface.
class batch_run
{
public:
    batch_run(fleet &running, std::size_t entries, int items)
        : batch_run(running, entries, items, linesOf(items), "/v1/chat/completions")
    {
    }

    batch_run(fleet &running, std::size_t entries, int items, const std::string &lines, const std::string &endpoint)
        : m_fleet(running)
        , m_entries(entries)
        , m_items(items)
    {
        const json::object file = {{"input_file_id", upload(lines)}, {"endpoint", endpoint}, {"completion_window", "24h"}};
        m_request = postJson("/v1/batches", callerKey, file);
        m_id = json::value_to<std::string>(json::parse(create(0).body).at("id"));
    }

    [[nodiscard]] http_response create(std::size_t entry) const
    {
        return call(m_fleet.callers(entry), m_request);
    }

    [[nodiscard]] http_response cancel(std::size_t entry) const
    {
        return call(m_fleet.callers(entry), postJson("/v1/batches/" + m_id + "/cancel", callerKey, json::object()));
    }

    /// The batch object; none if the entry VM cannot answer now.
    [[nodiscard]] std::optional<json::object> show(std::size_t entry) const
    {
        const http_response answer = call(m_fleet.callers(entry), getRequest("/v1/batches/" + m_id, callerKey));
        if (answer.status != 200) {
            return std::nullopt;
        }
        return json::parse(answer.body).as_object();
    }

    [[nodiscard]] std::string status(std::size_t entry) const
    {
        const auto batch = show(entry);
        return batch ? json::value_to<std::string>(batch->at("status")) : std::string();
    }

    [[nodiscard]] bool waitForStatus(std::size_t entry, const std::string &wanted) const
    {
        return eventually(
            [&] {
                return status(entry) == wanted;
            },
            jobPatience);
    }

    [[nodiscard]] bool waitForProgress(std::size_t entry) const
    {
        return eventually([&] {
            const auto batch = show(entry);
            return batch && batch->at("request_counts").at("completed").to_number<int>() > 0;
        });
    }

    /// The entry VM that began to coordinate the job last, as the logs tell, leaving out @p except.
    [[nodiscard]] std::optional<std::size_t> coordinator(std::optional<std::size_t> except = std::nullopt) const
    {
        for (std::size_t entry = 0; entry < m_entries; ++entry) {
            if (entry != except && m_fleet.entryLog(entry).find("event=job_coordination_started job=" + m_id) != std::string::npos) {
                return entry;
            }
        }
        return std::nullopt;
    }

    /// The output file's content.
    [[nodiscard]] std::string output(std::size_t entry) const
    {
        const std::string file = json::value_to<std::string>(show(entry)->at("output_file_id"));
        return call(m_fleet.callers(entry), getRequest("/v1/files/" + file + "/content", callerKey)).body;
    }

    /// What is wrong with the output: each item is to be answered once, with its own answer. Empty: nothing.
    [[nodiscard]] std::string outputFault(std::size_t entry) const
    {
        std::map<std::string, int> found;
        std::istringstream lines(output(entry));
        for (std::string line; std::getline(lines, line);) {
            const json::value result = json::parse(line);
            const std::string id = json::value_to<std::string>(result.at("custom_id"));
            const json::value &message = result.at("response").at("body").at("choices").at(0).at("message");
            if (json::value_to<std::string>(message.at("content")) != "echo:" + messageOf(std::stoi(id))) {
                return "wrong answer: " + line;
            }
            if (++found[id] > 1) {
                return "two results for item " + id;
            }
        }
        const auto expected = static_cast<std::size_t>(m_items);
        return found.size() == expected ? "" : "expected " + std::to_string(expected) + " items, found " + std::to_string(found.size());
    }

    /// Runs begun at the engines beyond the first of each item.
    [[nodiscard]] int repeatedRuns(std::size_t engines) const
    {
        int runs = 0;
        for (std::size_t engine = 0; engine < engines; ++engine) {
            runs += fleet::log(m_fleet.engine(engine)).at("started").to_number<int>();
        }
        return runs - m_items;
    }

private:
    [[nodiscard]] std::string upload(const std::string &content) const
    {
        const std::string boundary = "boundary-of-the-test";
        http_request request{.method = "POST", .target = "/v1/files"};
        request.fields = {{"Authorization", "Bearer " + callerKey}, {"Content-Type", "multipart/form-data; boundary=" + boundary}};
        request.body = "--" + boundary + "\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--" + boundary
                       + "\r\nContent-Disposition: form-data; name=\"file\"; filename=\"plans.jsonl\"\r\n\r\n" + content + "\r\n--"
                       + boundary + "--\r\n";
        const http_response answer = call(m_fleet.callers(0), request);
        INFO(answer.body);
        REQUIRE(answer.status == 200);
        return json::value_to<std::string>(json::parse(answer.body).at("id"));
    }

    fleet &m_fleet;
    std::size_t m_entries;
    int m_items;
    http_request m_request;
    std::string m_id;
};

} // namespace

TEST_CASE("a job goes on when its coordinator is killed, and each item has one result")
{
    fleet running({.entries = 3, .services = 0});
    const batch_run job(running, 3, manyItems);
    REQUIRE(job.waitForProgress(0));
    const std::size_t first = job.coordinator().value();
    const std::size_t other = (first + 1) % 3;
    running.entryProcess(first).signal(SIGKILL);
    REQUIRE(job.waitForStatus(other, "completed"));
    CHECK(job.outputFault(other).empty());
    CHECK(job.coordinator(first).has_value());
    const int repeated = job.repeatedRuns(2);
    WARN("items run twice after the kill: " << repeated);
    CHECK(repeated <= largestCommit + 2 * mostInFlight);
}

TEST_CASE("a coordinator that is frozen past its lease does no harm when it goes on")
{
    fleet running({.entries = 3, .services = 0});
    const batch_run job(running, 3, manyItems);
    REQUIRE(job.waitForProgress(0));
    const std::size_t first = job.coordinator().value();
    const std::size_t other = (first + 1) % 3;
    running.entryProcess(first).signal(SIGSTOP);
    REQUIRE(eventually([&] {
        return job.coordinator(first).has_value();
    }));
    running.entryProcess(first).signal(SIGCONT);
    REQUIRE(job.waitForStatus(other, "completed"));
    const std::string completed = job.output(other);
    CHECK(eventually([&] {
        return running.entryLog(first).find("how=lease_lost") != std::string::npos;
    }));
    CHECK(job.outputFault(other).empty());
    const bool unchanged = job.output(first) == completed;
    CHECK(unchanged);
}

TEST_CASE("items not to be repeated run at most once when the coordinator is killed, and each has a result")
{
    constexpr int orders = 600;
    fleet running({.entries = 3, .engines = 0, .serviceArguments = {"--work-ms", "100"}});
    const batch_run job(running, 3, orders, orderLines(orders), "/v1/services/orders");
    const auto log = [&] {
        return fleet::log(running.service(0));
    };
    REQUIRE(eventually([&] {
        return log().at("completed").to_number<int>() > orders / 10;
    }));
    const std::size_t first = job.coordinator().value();
    const std::size_t other = (first + 1) % 3;
    running.entryProcess(first).signal(SIGKILL);
    REQUIRE(job.waitForStatus(other, "completed"));
    const json::object counts = job.show(other)->at("request_counts").as_object();
    CHECK(counts.at("completed").to_number<int>() + counts.at("failed").to_number<int>() == orders);
    int repeated = 0;
    const json::object runs = log().at("contents").as_object();
    for (const json::key_value_pair &entry : runs) {
        repeated += entry.value().to_number<int>() - 1;
    }
    CHECK(repeated == 0);
    WARN("orders with an unknown outcome after the kill: " << counts.at("failed"));
}

TEST_CASE("a planned stop of the coordinator gives its job back and repeats nothing")
{
    fleet running({.entries = 3, .services = 0});
    const batch_run job(running, 3, manyItems);
    REQUIRE(job.waitForProgress(0));
    const std::size_t first = job.coordinator().value();
    const std::size_t other = (first + 1) % 3;
    running.entryProcess(first).signal(SIGTERM);
    CHECK(running.entryProcess(first).waitForExit() == 0);
    REQUIRE(job.waitForStatus(other, "completed"));
    CHECK(job.outputFault(other).empty());
    CHECK(job.repeatedRuns(2) == 0);
}

TEST_CASE("a job runs through an outage of the platform and lost answers, and no item runs twice")
{
    fleet running({.entries = 2, .services = 0});
    const batch_run job(running, 2, manyItems);
    REQUIRE(job.waitForProgress(0));
    fleet::setFaults(running.platform(), {{"down", true}});
    const http_response refused = job.create(0);
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.field("Retry-After").empty());
    CHECK(job.cancel(0).status == 503);
    fleet::setFaults(running.platform(), {{"down", false}, {"lose_answers", 3}});
    REQUIRE(job.waitForStatus(0, "completed"));
    CHECK(job.outputFault(0).empty());
    CHECK(job.repeatedRuns(2) == 0);
}

TEST_CASE("a resent job is the same job through any entry VM")
{
    fleet running({.entries = 2, .services = 0});
    const batch_run job(running, 2, 10);
    const json::value first = json::parse(job.create(0).body);
    const json::value second = json::parse(job.create(1).body);
    CHECK(first.at("id") == second.at("id"));
    REQUIRE(job.waitForStatus(1, "completed"));
    CHECK(job.repeatedRuns(2) == 0);
}

TEST_CASE("a cancel through another entry VM stops the job's runs at the engines")
{
    fleet running({.entries = 3, .services = 0, .engineArguments = {"--token-ms", "2000"}});
    const batch_run job(running, 3, manyItems);
    const auto startedRuns = [&] {
        return fleet::log(running.engine(0)).at("started").to_number<int>() + fleet::log(running.engine(1)).at("started").to_number<int>();
    };
    const auto cancelledRuns = [&] {
        return fleet::log(running.engine(0)).at("cancelled").to_number<int>()
               + fleet::log(running.engine(1)).at("cancelled").to_number<int>();
    };
    REQUIRE(eventually([&] {
        return startedRuns() > 0;
    }));
    const std::size_t other = (job.coordinator().value() + 1) % 3;
    const http_response answer = job.cancel(other);
    CHECK(answer.status == 200);
    REQUIRE(job.waitForStatus(other, "cancelled"));
    CHECK(eventually([&] {
        return cancelledRuns() == startedRuns();
    }));
    CHECK(startedRuns() < manyItems);
    CHECK(job.cancel(0).status == 200);
}
