#include "virtual_store.h"

#include "banyan/core/item_result.h"
#include "banyan/io/file_service.h"
#include "banyan/io/job_service.h"
#include "banyan/io/openai_error.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace banyan;
using namespace banyan::tests;

namespace {

const caller_id niebla("niebla");
constexpr std::size_t mostInFlight = 20;
constexpr std::size_t mostStartedOnce = 8;
constexpr std::size_t mostBuffered = 30;
constexpr duration retention = std::chrono::hours(1);
constexpr duration itemTime = std::chrono::milliseconds(100);

/// Runs of items, as the upstreams saw them.
struct run_log
{
    std::map<std::string, int> runs; ///< Ended with an answer, by request id.
    std::map<std::string, int> sent;
    std::size_t inFlight = 0;
    std::size_t mostInFlight = 0;
    std::size_t cancelled = 0;
};

/// What a fake run of an item does, told by words in its body.
run_answer answerTo(const run_request &request)
{
    if (request.message.body.find("impossible") != std::string::npos) {
        return {.result = {}, .response = {.status = 400, .body = R"({"error":{"message":"no"}})"}};
    }
    return {.result = {}, .response = {.status = 200, .body = request.message.body}};
}

request_runner makeRunner(virtual_store &world, const std::shared_ptr<run_log> &log)
{
    return [&world, log](run_request request, std::shared_ptr<run_cancellation> cancellation) -> task<run_answer> {
        const std::string id = request.dispatch.id.text();
        ++log->sent[id];
        log->mostInFlight = std::max(log->mostInFlight, ++log->inFlight);
        const auto timer = std::make_shared<asio::steady_timer>(world.context, asio::steady_timer::time_point::max());
        const auto wake = [timer] {
            timer->expires_at(asio::steady_timer::time_point::min());
        };
        cancellation->onCancel(wake);
        if (request.message.body.find("endless") == std::string::npos) {
            world.callAfter(itemTime, wake);
        }
        boost::system::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        --log->inFlight;
        if (cancellation->cancelled()) {
            ++log->cancelled;
            co_return run_answer{.result = {.what = disposition::Cancelled, .reason = end_reason::CancelledByCaller}};
        }
        ++log->runs[id];
        if (request.message.body.find("lossy") != std::string::npos) {
            co_return run_answer{.result = {.what = disposition::OutcomeUnknown, .reason = end_reason::AnswerLost}};
        }
        co_return answerTo(request);
    };
}

run_request buildRequest(const caller_id &, const batch_item &item)
{
    if (item.body.find("unknown model") != std::string::npos) {
        throw item_rejected("model_not_found", "no such model");
    }
    run_request request;
    request.message.body = item.body;
    request.dispatch.repeatable = item.url.find("/once") == std::string::npos;
    return request;
}

/// One node of the fleet.
struct node
{
    node(virtual_store &world,
         const std::shared_ptr<run_log> &log,
         const std::string &name,
         const std::shared_ptr<std::vector<node_info>> &live)
        : state(std::make_shared<virtual_store::faults>())
        , files(world.port(state), {.parts = {.partBytes = 2000}, .retention = retention, .seed = std::hash<std::string>()(name)})
        , jobs(world.context,
               world.port(state),
               files,
               {.run = makeRunner(world, log),
                .buildRequest = buildRequest,
                .self = {.id = node_id(name)},
                .nodes =
                    [live] {
                        return *live;
                    },
                .pushCancel = nullptr},
               {.coordinator = {.itemsInFlight = mostInFlight,
                                .nonRepeatableItems = mostStartedOnce,
                                .resultsPerCommit = 10,
                                .bufferedResults = mostBuffered},
                .retention = retention,
                .seed = std::hash<std::string>()(name)})
    {
        live->push_back({.id = node_id(name)});
    }

    std::shared_ptr<virtual_store::faults> state;
    file_service files;
    job_service jobs;
};

/// Some nodes over one store.
struct fleet
{
    explicit fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<node>(world, log, "node-" + std::to_string(i), live));
        }
        for (const auto &each : nodes) {
            each->jobs.start();
        }
    }

    ~fleet()
    {
        for (const auto &each : nodes) {
            each->jobs.stop();
        }
    }

    file_id upload(const std::string &content, std::size_t at = 0)
    {
        file_service &files = nodes[at]->files;
        const auto work = [&files, content]() -> task<file_record> {
            file_service::upload upload = co_await files.beginUpload(niebla);
            co_await upload.write(content);
            co_return co_await upload.commit("plans.jsonl", "batch");
        };
        return world.get(work()).id;
    }

    job_record create(const file_id &input, const std::string &key = {}, std::size_t at = 0)
    {
        job_request request{.inputFile = input, .endpoint = "/v1/services/rota", .completionWindow = "24h", .idempotencyKey = key};
        return world.get(nodes[at]->jobs.create(niebla, request));
    }

    job_record show(const job_id &job, std::size_t at = 0)
    {
        return world.get(nodes[at]->jobs.show(niebla, job));
    }

    job_record runToEnd(const job_id &job, std::size_t at = 0)
    {
        world.runUntil([&] {
            const auto found = world.table.read(jobKey(job));
            return found && isFinal(job_record::fromJson(found->value).status);
        });
        return show(job, at);
    }

    /// The custom ids in a result file, sorted.
    std::vector<std::string> customIds(const file_id &file, std::size_t at = 0)
    {
        std::string text;
        world.get(nodes[at]->files.read(niebla, file, [&text](std::string piece) -> task<> {
            text += piece;
            co_return;
        }));
        std::vector<std::string> ids;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            ids.push_back(boost::json::value_to<std::string>(boost::json::parse(line).at("custom_id")));
        }
        std::sort(ids.begin(), ids.end());
        return ids;
    }

    /// The node that coordinates a job.
    std::size_t coordinatorOf(const job_id &job)
    {
        const std::string owner = show(job).owner;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (owner.find("node-" + std::to_string(i)) != std::string::npos) {
                return i;
            }
        }
        return nodes.size();
    }

    void waitForProgress(const job_id &job)
    {
        world.runUntil([&] {
            const auto found = world.table.read(jobKey(job));
            return found && job_record::fromJson(found->value).done.size() > 0;
        });
    }

    virtual_store world;
    std::shared_ptr<run_log> log = std::make_shared<run_log>();
    std::shared_ptr<std::vector<node_info>> live = std::make_shared<std::vector<node_info>>();
    std::vector<std::unique_ptr<node>> nodes;
};

std::string itemName(int number)
{
    std::string digits = std::to_string(number);
    return "item-" + std::string(4 - digits.size(), '0') + digits;
}

std::string line(const std::string &id, const std::string &body, const std::string &path = "/plan")
{
    return R"({"custom_id":")" + id + R"(","method":"POST","url":"/v1/services/rota)" + path + R"(","body":{"plan":")" + body + "\"}}\n";
}

std::string lines(int count, const std::string &path = "/plan")
{
    std::string text;
    for (int number = 0; number < count; ++number) {
        text += line(itemName(number), "visit " + std::to_string(number), path);
    }
    return text;
}

std::vector<std::string> itemNames(int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        names.push_back(itemName(number));
    }
    return names;
}

/// The status of the openai_error that @p call throws; 0 if it throws none.
template<typename Call>
unsigned refusalOf(Call call)
{
    try {
        call();
    } catch (const openai_error &error) {
        return error.details().status;
    }
    return 0;
}

} // namespace

TEST_CASE("a job ends complete with each item's answer or error, readable from each node")
{
    fleet running(3);
    const std::string bad = line("bad-1", "impossible") + line("bad-2", "unknown model") + R"({"custom_id":"bad-3"})" + "\n";
    const job_record job = running.create(running.upload(lines(100) + bad));
    const job_record ended = running.runToEnd(job.id, 2);
    CHECK(ended.status == job_state::Completed);
    CHECK(ended.completed == 100);
    CHECK(ended.failed == 3);
    for (std::size_t at = 0; at < 3; ++at) {
        CHECK(running.customIds(outputFileId(job.id), at) == itemNames(100));
        CHECK(running.customIds(errorFileId(job.id), at) == std::vector<std::string>{"bad-1", "bad-2", "bad-3"});
    }
    CHECK(running.log->mostInFlight <= mostInFlight);
    CHECK(std::all_of(running.log->runs.begin(), running.log->runs.end(), [](const auto &entry) {
        return entry.second == 1;
    }));
}

TEST_CASE("results can be read while the job runs")
{
    fleet running(1);
    const job_record job = running.create(running.upload(lines(60) + line("last", "endless")));
    running.world.runFor(std::chrono::seconds(60));
    CHECK(running.show(job.id).status == job_state::InProgress);
    CHECK(running.customIds(outputFileId(job.id)) == itemNames(60));
}

TEST_CASE("another node takes a job over within seconds and no item has two results")
{
    fleet running(3);
    const job_record job = running.create(running.upload(lines(400)));
    running.waitForProgress(job.id);
    const std::size_t first = running.coordinatorOf(job.id);
    const std::size_t other = (first + 1) % 3;
    running.nodes[first]->state->down = true;
    const auto live = std::remove_if(running.live->begin(), running.live->end(), [&](const node_info &info) {
        return info.id.text() == "node-" + std::to_string(first);
    });
    running.live->erase(live, running.live->end());
    const time_point cut = running.world.now();
    running.world.runUntil([&] {
        return running.show(job.id, other).fencingNumber > job.fencingNumber + (job.owner.empty() ? 1 : 0);
    });
    CHECK(running.world.now() - cut < std::chrono::seconds(12));
    running.nodes[first]->state->down = false; // The old coordinator goes on and must be stopped at the store.
    const job_record ended = running.runToEnd(job.id, other);
    CHECK(ended.completed == 400);
    CHECK(running.customIds(outputFileId(job.id), other) == itemNames(400));
    running.world.runFor(std::chrono::seconds(60));
    CHECK(running.nodes[first]->jobs.coordinated() == 0);
    const auto runs = std::count_if(running.log->runs.begin(), running.log->runs.end(), [](const auto &entry) {
        return entry.second > 1;
    });
    CHECK(static_cast<std::size_t>(runs) <= mostInFlight + mostBuffered); // What was in flight or finished without a commit.
}

TEST_CASE("an item not to be repeated is sent at most once, also across a takeover")
{
    fleet running(2);
    const job_record job = running.create(running.upload(lines(100, "/once")));
    running.waitForProgress(job.id);
    const std::size_t first = running.coordinatorOf(job.id);
    running.nodes[first]->state->down = true;
    running.live->erase(running.live->begin() + static_cast<std::ptrdiff_t>(first));
    const job_record ended = running.runToEnd(job.id, 1 - first);
    CHECK(ended.completed + ended.failed == 100);
    CHECK(ended.failed > 0);
    CHECK(ended.failed <= mostStartedOnce);
    CHECK(std::all_of(running.log->sent.begin(), running.log->sent.end(), [](const auto &entry) {
        return entry.second == 1;
    }));
}

TEST_CASE("items that fail again and again end with an error and cost little more than one run each")
{
    constexpr int items = 200;
    fleet running(1);
    std::string content;
    for (int number = 0; number < items; ++number) {
        content += line(itemName(number), "lossy");
    }
    const job_record ended = running.runToEnd(running.create(running.upload(content)).id);
    CHECK(ended.status == job_state::Completed);
    CHECK(ended.failed == items);
    int sent = 0;
    for (const auto &[id, count] : running.log->sent) {
        sent += count;
    }
    const job_coordinator_options limits;
    CHECK(sent <= items * (1 + limits.lostRunShare) + limits.lostRunReserve + 1);
    CHECK(sent > items);
}

TEST_CASE("a resent job is the same job, and a key cannot be used for another")
{
    fleet running(2);
    const file_id input = running.upload(lines(5));
    const file_id again = running.upload(lines(5), 1);
    const file_id other = running.upload(lines(6));
    const job_record job = running.create(input);
    CHECK(running.create(again, {}, 1).id == job.id);
    const job_record keyed = running.create(input, "tonight");
    CHECK(keyed.id != job.id);
    CHECK(running.create(again, "tonight", 1).id == keyed.id);
    CHECK(refusalOf([&] {
              (void)running.create(other, "tonight");
          })
          == 422);
}

TEST_CASE("a cancel through any node stops a job within seconds and keeps what was committed")
{
    fleet running(3);
    const job_record job = running.create(running.upload(lines(400)));
    running.waitForProgress(job.id);
    const std::size_t other = (running.coordinatorOf(job.id) + 1) % 3;
    const std::vector<std::string> before = running.customIds(outputFileId(job.id));
    running.world.get(running.nodes[other]->jobs.cancel(niebla, job.id));
    running.world.runFor(std::chrono::seconds(2));
    const std::size_t sent = running.log->sent.size();
    CHECK(running.show(job.id).status == job_state::Cancelled);
    CHECK(running.log->inFlight == 0);
    running.world.runFor(std::chrono::seconds(30));
    CHECK(running.log->sent.size() == sent);
    CHECK(sent < 400);
    const std::vector<std::string> after = running.customIds(outputFileId(job.id));
    CHECK(std::includes(after.begin(), after.end(), before.begin(), before.end()));
    CHECK(refusalOf([&] {
              running.world.get(running.nodes[0]->jobs.cancel(niebla, job.id));
          })
          == 0);
    CHECK(running.world.table.scan("job-cancel/").empty());
    CHECK(running.world.table.scan("job-active/").empty());
}

TEST_CASE("a cancel reaches a coordinator that has nothing to commit, and stops items in flight")
{
    fleet running(2);
    std::string content;
    for (int number = 0; number < 30; ++number) {
        content += line(itemName(number), "endless");
    }
    const job_record job = running.create(running.upload(content));
    running.world.runFor(std::chrono::seconds(5));
    REQUIRE(running.log->inFlight == mostInFlight);
    const std::size_t other = 1 - running.coordinatorOf(job.id);
    running.world.get(running.nodes[other]->jobs.cancel(niebla, job.id));
    running.world.runFor(std::chrono::seconds(2));
    CHECK(running.log->cancelled == mostInFlight);
    CHECK(running.show(job.id).status == job_state::Cancelled);
}

TEST_CASE("a coordinator that others do not see any more keeps its job as long as it renews its lease")
{
    fleet running(2);
    const job_record job = running.create(running.upload(lines(20) + line("last", "endless")));
    running.world.runFor(std::chrono::seconds(10));
    const std::size_t first = running.coordinatorOf(job.id);
    running.live->erase(running.live->begin() + static_cast<std::ptrdiff_t>(first));
    const std::uint64_t number = running.show(job.id).fencingNumber;
    running.world.runFor(std::chrono::minutes(2));
    CHECK(running.show(job.id).fencingNumber == number);
    CHECK(running.coordinatorOf(job.id) == first);
}

TEST_CASE("without the store a job or a cancel is refused, and results are kept until it returns")
{
    fleet running(1);
    const file_id input = running.upload(lines(300));
    const job_record job = running.create(input, "one");
    running.waitForProgress(job.id);
    running.nodes[0]->state->down = true;
    CHECK(refusalOf([&] {
              (void)running.create(input, "two");
          })
          == 503);
    CHECK(refusalOf([&] {
              running.world.get(running.nodes[0]->jobs.cancel(niebla, job.id));
          })
          == 503);
    running.world.runFor(std::chrono::minutes(5));
    running.nodes[0]->state->down = false;
    CHECK(running.runToEnd(job.id).completed == 300);
    CHECK(running.customIds(outputFileId(job.id)) == itemNames(300));
    CHECK(std::all_of(running.log->runs.begin(), running.log->runs.end(), [](const auto &entry) {
        return entry.second == 1;
    }));
}

TEST_CASE("lost answers of the store neither lose nor double a job or an item")
{
    const auto every = GENERATE(1U, 2U, 3U);
    fleet running(2);
    const file_id input = running.upload(lines(100));
    for (const auto &each : running.nodes) {
        each->state->loseEvery = every;
    }
    const job_record job = running.create(input);
    CHECK(running.create(input).id == job.id);
    CHECK(running.runToEnd(job.id).completed == 100);
    CHECK(running.customIds(outputFileId(job.id)) == itemNames(100));
    CHECK(running.world.table.scan("job/").size() == 1);
}

TEST_CASE("a cancel whose answer is lost is settled")
{
    fleet running(1);
    const job_record job = running.create(running.upload(lines(400)));
    running.waitForProgress(job.id);
    running.nodes[0]->state->loseEvery = 1;
    const job_record cancelled = running.world.get(running.nodes[0]->jobs.cancel(niebla, job.id));
    CHECK(cancelled.cancellingAt);
    CHECK(running.runToEnd(job.id).status == job_state::Cancelled);
}

TEST_CASE("a drained node gives its jobs back without cutting an item")
{
    fleet running(2);
    const job_record job = running.create(running.upload(lines(400)));
    running.waitForProgress(job.id);
    const std::size_t first = running.coordinatorOf(job.id);
    running.world.get(running.nodes[first]->jobs.drain(std::chrono::seconds(30)));
    running.live->erase(running.live->begin() + static_cast<std::ptrdiff_t>(first));
    CHECK(running.log->cancelled == 0);
    CHECK(running.runToEnd(job.id).completed == 400);
    CHECK(std::all_of(running.log->runs.begin(), running.log->runs.end(), [](const auto &entry) {
        return entry.second == 1;
    }));
}

TEST_CASE("files and jobs of another caller are not found")
{
    fleet running(1);
    const file_id input = running.upload(lines(3));
    const job_record job = running.create(input);
    running.runToEnd(job.id);
    node &entry = *running.nodes[0];
    const caller_id other("rota");
    CHECK(refusalOf([&] {
              (void)running.world.get(entry.files.show(other, input));
          })
          == 404);
    CHECK(refusalOf([&] {
              (void)running.world.get(entry.files.show(other, outputFileId(job.id)));
          })
          == 404);
    CHECK(refusalOf([&] {
              running.world.get(entry.files.remove(other, input));
          })
          == 404);
    CHECK(refusalOf([&] {
              (void)running.world.get(entry.jobs.show(other, job.id));
          })
          == 404);
    CHECK(refusalOf([&] {
              (void)running.world.get(entry.jobs.cancel(other, job.id));
          })
          == 404);
    CHECK(running.world.get(entry.jobs.list(other, {}, 10)).jobs.empty());
    CHECK(running.world.get(entry.jobs.list(niebla, {}, 10)).jobs.size() == 1);
}

TEST_CASE("a file cannot be removed while a job reads it")
{
    fleet running(1);
    const file_id input = running.upload(lines(3) + line("last", "endless"));
    const job_record job = running.create(input);
    node &entry = *running.nodes[0];
    CHECK(refusalOf([&] {
              running.world.get(entry.files.remove(niebla, input));
          })
          == 409);
    running.world.get(entry.jobs.cancel(niebla, job.id));
    running.runToEnd(job.id);
    CHECK(refusalOf([&] {
              running.world.get(entry.files.remove(niebla, input));
          })
          == 0);
}

TEST_CASE("nothing of a job is left after the retention period")
{
    fleet running(2);
    const job_record job = running.create(running.upload(lines(50) + line("bad", "impossible")));
    running.runToEnd(job.id);
    running.world.runFor(std::chrono::hours(3));
    CHECK(running.world.objects.empty());
    for (const row &left : running.world.table.scan("")) {
        FAIL_CHECK("expected no row, found " << left.key << " = " << left.value);
    }
}
