#pragma once

#include "banyan/core/serving/job_entry.h"
#include "banyan/io/serving/listed_job_service.h"
#include "banyan/io/serving/serving_codec.h"
#include "serving_fixture.h"

#include <catch2/catch.hpp>

namespace banyan::tests {

inline constexpr std::uint64_t tokensOfItem = 100;

inline std::shared_ptr<const route_table> jobRoutes(std::uint64_t waitingTokens = 0)
{
    return std::make_shared<const route_table>(serving_configuration{.version = 1,
                                                                     .routes = {{.name = "jobs",
                                                                                 .host = "h",
                                                                                 .pathPrefix = "/j/",
                                                                                 .kind = request_kind::Job,
                                                                                 .resumable = true,
                                                                                 .services = {{.service = service_name("s")}},
                                                                                 .maximumAttempts = 2,
                                                                                 .completionWindow = std::chrono::seconds(18),
                                                                                 .maximumWaitingTokens = waitingTokens,
                                                                                 .retention = std::chrono::seconds(60)}}});
}

/// A listed_job_service with an in-memory store.
struct job_fixture : serving_fixture
{
    std::unique_ptr<listed_job_service> service = makeService(*nodes.front());

    std::unique_ptr<listed_job_service> makeService(serving_node &node,
                                                    duration checkpointInterval = std::chrono::hours(1),
                                                    duration eventTimeout = listed_job_options().eventTimeout)
    {
        auto result = std::make_unique<listed_job_service>(
            listed_job_ports{.context = context,
                             .store = store.port(),
                             .slots = node.slots,
                             .sender = node.sender,
                             .parts = node.parts,
                             .metrics = node.metrics},
            listed_job_options{.self = node.id, .eventTimeout = eventTimeout, .checkpointInterval = checkpointInterval});
        result->configure(jobRoutes());
        return result;
    }

    static job_submission submission(const std::string &id, int items)
    {
        job_submission result{.id = job_id(id), .route = "jobs", .host = "h"};
        for (int number = 0; number < items; ++number) {
            result.items.push_back(
                {.id = id + "-" + std::to_string(number), .path = "/j/1", .fields = {}, .body = "question", .tokens = tokensOfItem});
        }
        return result;
    }

    job_acceptance accept(listed_job_service &target, const std::string &id, int items, const std::string &organisation = {})
    {
        job_acceptance acceptance = job_acceptance::Unknown;
        run([&]() -> task<> {
            job_submission job = submission(id, items);
            job.organisation = caller_id(organisation);
            const submission_answer answer = co_await target.accept(std::move(job));
            acceptance = answer.acceptance;
        });
        return acceptance;
    }

    /// Number of items that have a stored checkpoint.
    std::size_t checkpoints()
    {
        std::size_t count = 0;
        for (int part = 0; part < 8; ++part) {
            count += store.tables.read({.table = "job_progress", .part = "p" + std::to_string(part), .from = {}, .to = {}, .limit = 100})
                         .rows.size();
        }
        return count;
    }

    /// Runs until the first node has received events of the only run; its scheduler then waits for no first byte.
    void awaitFirstEvents(const scripted_upstream &upstream)
    {
        while (upstream.requests.empty() || nodes.front()->scheduler.scheduler().nextWakeUp().has_value()) {
            runFor(std::chrono::milliseconds(1));
        }
    }

    void runFor(duration time)
    {
        run([&]() -> task<> {
            co_await sleep(time);
        });
    }

    /// Changes a job's row in the store, as another node would.
    void changeEntry(const std::string &id, const std::function<void(job_entry &)> &change)
    {
        for (int part = 0; part < 8; ++part) {
            const table_page page =
                store.tables.read({.table = "jobs", .part = "p" + std::to_string(part), .from = id, .to = {}, .limit = 1});
            if (!page.rows.empty() && page.rows.front().name.key == id) {
                std::optional<job_entry> entry = decodeJobEntry(job_id(id), page.rows.front().version, page.rows.front().value);
                REQUIRE(entry.has_value());
                change(*entry);
                table_transaction write;
                write.writes.push_back({.name = page.rows.front().name, .value = encode(*entry)});
                REQUIRE(store.tables.commit(write).committed);
                return;
            }
        }
        FAIL("no row of job " << id);
    }

    job_results results(listed_job_service &target, const std::string &id, std::uint32_t after = 0, const job_access &access = {})
    {
        job_results found;
        run([&]() -> task<> {
            found = co_await target.results(job_id(id), after, std::chrono::seconds(0), access);
        });
        return found;
    }

    /// Runs until the job lists at least @p count results.
    job_results awaitResults(listed_job_service &target, const std::string &id, std::size_t count)
    {
        job_results found = results(target, id);
        while (found.results.size() < count) {
            run([&]() -> task<> {
                co_await sleep(std::chrono::milliseconds(5));
            });
            found = results(target, id);
        }
        return found;
    }
};

inline scripted_upstream::script streamsPieces(std::uint64_t count)
{
    return [count](http_exchange &exchange) -> task<> {
        const std::string after = exchange.field("Last-Event-Id");
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}};
        co_await exchange.begin(200, std::move(fields));
        for (std::uint64_t id = after.empty() ? 1 : std::stoull(after) + 1; id <= count; ++id) {
            co_await exchange.write(eventText(id));
        }
        co_await exchange.finish();
    };
}

} // namespace banyan::tests
