#include "banyan/io/serving/listed_job_service.h"

#include "job_fixture.h"
#include "unit/raw_upstream.h"

#include <catch2/catch.hpp>

#include <set>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

scripted_upstream::script respondsWithStatus(unsigned status)
{
    return [status](http_exchange &exchange) -> task<> {
        http_response answer = upstreamAnswer(status, "no");
        co_await exchange.respond(std::move(answer));
    };
}

} // namespace

TEST_CASE("listed_job_service runs a job's items and lists their whole output once it is recorded")
{
    job_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(3));
    fixture.setUpstreams({&upstream});
    REQUIRE(fixture.accept(*fixture.service, "j1", 3) == job_acceptance::Accepted);
    const job_results found = fixture.awaitResults(*fixture.service, "j1", 3);
    CHECK(found.total == 3);
    for (const listed_result &result : found.results) {
        CHECK(result.succeeded);
        CHECK(result.output == "piece-1\npiece-2\npiece-3");
    }
    // Another node reads the same results in the same positions from the store.
    const auto other = fixture.makeService(fixture.addNode());
    CHECK(fixture.results(*other, "j1").results == found.results);
    CHECK(fixture.results(*other, "j1", 2).results == std::vector<listed_result>{found.results[2]});
}

TEST_CASE("listed_job_service accepts a job once, however often and wherever it is sent again")
{
    job_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(1));
    fixture.setUpstreams({&upstream});
    const auto other = fixture.makeService(fixture.addNode());
    CHECK(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::Accepted);
    CHECK(fixture.accept(*other, "j1", 2) == job_acceptance::Accepted);
    CHECK(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::Accepted);
    (void)fixture.awaitResults(*fixture.service, "j1", 2);
    CHECK(upstream.requests.size() == 2);
}

TEST_CASE("listed_job_service does not accept a job while the store is unavailable, and runs none of its items")
{
    job_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(1));
    fixture.setUpstreams({&upstream});
    fixture.store.down = true;
    CHECK(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::NotAccepted);
    CHECK(fixture.results(*fixture.service, "j1").state == lookup_state::Unknown);
    fixture.store.down = false;
    CHECK(fixture.results(*fixture.service, "j1").state == lookup_state::Missing);
    CHECK(upstream.requests.empty());
}

TEST_CASE("listed_job_service finds out whether a job was recorded whose transaction got no answer")
{
    job_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(1));
    fixture.setUpstreams({&upstream});
    fixture.store.loseAnswers = 1;
    CHECK(fixture.accept(*fixture.service, "recorded", 1) == job_acceptance::Accepted);
    fixture.store.loseCommits = 1;
    // The commit could still take effect, so that the job must not be reported as not accepted.
    CHECK(fixture.accept(*fixture.service, "lost", 1) == job_acceptance::Unknown);
}

TEST_CASE("listed_job_service runs a recorded job whose answer was lost, once the store's changes show it")
{
    job_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(1));
    fixture.setUpstreams({&upstream});
    fixture.service->start();
    fixture.store.loseAnswers = 1;
    REQUIRE(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::Accepted);
    CHECK(fixture.awaitResults(*fixture.service, "j1", 2).results.size() == 2);
}

TEST_CASE("listed_job_service lists each result once when the answers of its transactions are lost")
{
    job_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(2));
    fixture.setUpstreams({&upstream});
    REQUIRE(fixture.accept(*fixture.service, "j1", 4) == job_acceptance::Accepted);
    fixture.store.loseAnswers = 2;
    const job_results found = fixture.awaitResults(*fixture.service, "j1", 4);
    std::set<std::string> items;
    for (const listed_result &result : found.results) {
        items.insert(result.item);
    }
    CHECK(found.results.size() == 4);
    CHECK(items.size() == 4);
    const auto other = fixture.makeService(fixture.addNode());
    CHECK(fixture.results(*other, "j1").results == found.results);
}

TEST_CASE("listed_job_service takes a job over from a node that has failed, without running items with recorded results")
{
    job_fixture fixture;
    int answered = 0;
    scripted_upstream upstream(fixture.context, "u1", [&](http_exchange &exchange) -> task<> {
        if (++answered > 2) {
            co_await fixture.sleep(generousTime); // The first node never gets more than two results.
        }
        co_await streamsPieces(1)(exchange);
    });
    fixture.setUpstreams({&upstream});
    REQUIRE(fixture.accept(*fixture.service, "j1", 4) == job_acceptance::Accepted);
    const job_results before = fixture.awaitResults(*fixture.service, "j1", 2);
    scripted_upstream fresh(fixture.context, "u2", streamsPieces(1));
    fixture.setUpstreams({&fresh});
    const auto other = fixture.makeService(fixture.addNode());
    other->start();
    const job_results after = fixture.awaitResults(*other, "j1", 4);
    CHECK(after.results.size() == 4);
    CHECK(std::equal(before.results.begin(), before.results.end(), after.results.begin()));
    CHECK(fresh.requests.size() == 2);
}

TEST_CASE("listed_job_service abandons an item at once if it can never succeed, and otherwise after its route's maximum number of failures")
{
    job_fixture fixture;
    scripted_upstream impossible(fixture.context, "u1", respondsWithStatus(422));
    fixture.setUpstreams({&impossible});
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    CHECK_FALSE(fixture.awaitResults(*fixture.service, "j1", 1).results.front().succeeded);
    CHECK(impossible.requests.size() == 1);
    scripted_upstream failing(fixture.context, "u2", respondsWithStatus(500));
    fixture.setUpstreams({&failing});
    REQUIRE(fixture.accept(*fixture.service, "j2", 1) == job_acceptance::Accepted);
    CHECK_FALSE(fixture.awaitResults(*fixture.service, "j2", 1).results.front().succeeded);
    CHECK(failing.requests.size() == 2);
}

TEST_CASE("listed_job_service does not count other errors of an upstream as failures of the item")
{
    job_fixture fixture;
    int answered = 0;
    scripted_upstream upstream(fixture.context, "u1", [&](http_exchange &exchange) -> task<> {
        const scripted_upstream::script answer = ++answered <= 4 ? respondsWithStatus(502) : streamsPieces(1);
        co_await answer(exchange);
    });
    fixture.setUpstreams({&upstream});
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    CHECK(fixture.awaitResults(*fixture.service, "j1", 1).results.front().succeeded);
}

TEST_CASE("listed_job_service runs an item again after a status that is none of HTTP's, which is no failure of the item")
{
    constexpr std::size_t brokenRuns = 4; // More than the failures that the route allows.
    job_fixture fixture;
    raw_upstream upstream(fixture.context, [](const std::string &request, std::size_t number) -> raw_answer {
        const std::string status = number < brokenRuns ? "000 No" : "200 OK";
        const std::string event = eventText(1);
        return {.bytes = "HTTP/1.1 " + status + "\r\nResponse-Stamp: stamp\r\nRequest-Id: " + valueIn(request, "Request-Id")
                         + "\r\nContent-Length: " + std::to_string(event.size()) + "\r\n\r\n" + event};
    });
    fixture.nodes.front()->scheduler.setUpstreams(upstream.registeredAs({"u1", "u2"}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    const job_results found = fixture.awaitResults(*fixture.service, "j1", 1);
    CHECK(found.results.front().succeeded);
    CHECK(found.results.front().output == "piece-1");
    CHECK(upstream.requests.size() == brokenRuns + 1);
}

TEST_CASE("listed_job_service stops a job that its client has ended, wherever the end was recorded")
{
    job_fixture fixture;
    bool disconnected = false;
    scripted_upstream upstream(fixture.context, "u1", [&](http_exchange &exchange) -> task<> {
        exchange.onDisconnect([&] {
            disconnected = true;
        });
        co_await fixture.sleep(generousTime);
    });
    fixture.setUpstreams({&upstream});
    fixture.service->start();
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    const auto other = fixture.makeService(fixture.addNode());
    lookup_state ended = lookup_state::Unknown;
    fixture.run([&]() -> task<> {
        co_await fixture.sleep(20ms);
        ended = co_await other->end(job_id("j1"));
    });
    CHECK(ended == lookup_state::Found);
    while (fixture.service->running() > 0) {
        fixture.context.run_one();
    }
    while (!disconnected) {
        fixture.context.run_one();
    }
    fixture.run([&]() -> task<> {
        ended = co_await other->end(job_id("j1"));
    });
    CHECK(ended == lookup_state::Found);
}

TEST_CASE("listed_job_service returns an item's body, also for large jobs and at other nodes")
{
    job_fixture fixture;
    job_submission job = job_fixture::submission("j1", 1);
    job.items.front().body = std::string(200000, 'x') + std::string(1, '\0') + "end";
    fixture.run([&]() -> task<> {
        job_submission copy = job;
        const submission_answer answer = co_await fixture.service->accept(std::move(copy));
        CHECK(answer.acceptance == job_acceptance::Accepted);
    });
    const auto other = fixture.makeService(fixture.addNode());
    for (listed_job_service *const service : {fixture.service.get(), other.get()}) {
        item_lookup found;
        fixture.run([&]() -> task<> {
            found = co_await service->itemBody(job_id("j1"), "j1-0");
        });
        CHECK(found.state == lookup_state::Found);
        CHECK(found.body == job.items.front().body);
        fixture.run([&]() -> task<> {
            found = co_await service->itemBody(job_id("j1"), "another");
        });
        CHECK(found.state == lookup_state::Missing);
    }
}

TEST_CASE("listed_job_service releases its jobs at a planned shutdown")
{
    job_fixture fixture;
    REQUIRE(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::Accepted);
    fixture.run([&]() -> task<> {
        co_await fixture.service->handOver(100ms);
    });
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(1));
    fixture.setUpstreams({&upstream});
    const auto other = fixture.makeService(fixture.addNode());
    other->start();
    CHECK(fixture.awaitResults(*other, "j1", 2).results.size() == 2);
}

TEST_CASE("listed_job_service records nothing for a job that another node has taken over, although it has not observed the takeover yet")
{
    job_fixture fixture;
    bool released = false;
    scripted_upstream upstream(fixture.context, "u1", [&](http_exchange &exchange) -> task<> {
        while (!released) {
            co_await fixture.sleep(1ms);
        }
        co_await streamsPieces(1)(exchange);
    });
    fixture.setUpstreams({&upstream});
    REQUIRE(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::Accepted);
    fixture.changeEntry("j1", [](job_entry &entry) {
        entry.owner = node_id("n2");
    });
    released = true;
    while (fixture.service->running() > 0) {
        fixture.run([&]() -> task<> {
            co_await fixture.sleep(1ms);
        });
    }
    const auto other = fixture.makeService(fixture.addNode());
    CHECK(fixture.results(*other, "j1").results.empty());
}

namespace {

/// A job of one item, whose first run receives two of four events and then nothing; later runs receive all remaining events.
struct partial_output_fixture : job_fixture
{
    int requests = 0;
    scripted_upstream upstream{context, "u1", [this](http_exchange &exchange) -> task<> {
                                   if (++requests > 1) {
                                       co_await streamsPieces(4)(exchange);
                                       co_return;
                                   }
                                   std::vector<http_field> fields{{"Response-Stamp", "stamp"}};
                                   co_await exchange.begin(200, std::move(fields));
                                   co_await exchange.write(eventText(1) + eventText(2));
                                   co_await sleep(generousTime);
                               }};

    explicit partial_output_fixture(duration checkpointInterval)
    {
        service = makeService(*nodes.front(), checkpointInterval);
        setUpstreams({&upstream});
        REQUIRE(accept(*service, "j1", 1) == job_acceptance::Accepted);
    }

    /// Lets another node take over the job and run it to its end.
    void finishElsewhere()
    {
        const auto other = makeService(addNode());
        other->start();
        CHECK(awaitResults(*other, "j1", 1).results.front().output == "piece-1\npiece-2\npiece-3\npiece-4");
        REQUIRE(upstream.requests.size() == 2);
        CHECK(lastEventOf(upstream.requests.back()) == "2");
    }

    static std::string lastEventOf(const http_request &request)
    {
        const auto found = std::find_if(request.fields.begin(), request.fields.end(), [](const http_field &field) {
            return field.name == "Last-Event-Id";
        });
        return found == request.fields.end() ? "" : found->value;
    }
};

} // namespace

TEST_CASE("listed_job_service goes on with an item where the last owner's checkpoint ends, and removes the checkpoint")
{
    partial_output_fixture fixture(10ms);
    while (fixture.checkpoints() == 0) {
        fixture.runFor(1ms);
    }
    fixture.changeEntry("j1", [](job_entry &entry) {
        entry.owner = node_id();
    });
    fixture.finishElsewhere();
    CHECK(fixture.checkpoints() == 0);
}

TEST_CASE("listed_job_service releases its jobs at once, and stores checkpoints of their items")
{
    partial_output_fixture fixture(1h);
    fixture.awaitFirstEvents(fixture.upstream);
    // The item in flight would never end by itself, so that handOver must not wait for it.
    fixture.run([&]() -> task<> {
        co_await fixture.service->handOver(1h);
    });
    CHECK(fixture.checkpoints() == 1);
    fixture.finishElsewhere();
}

TEST_CASE("listed_job_service stores no checkpoint of a job that another node has taken over")
{
    partial_output_fixture fixture(10ms);
    fixture.changeEntry("j1", [](job_entry &entry) {
        entry.owner = node_id("n2");
    });
    fixture.awaitFirstEvents(fixture.upstream);
    fixture.runFor(50ms); // Several checkpoint intervals.
    CHECK(fixture.checkpoints() == 0);
}

TEST_CASE("listed_job_service accepts jobs up to the quota of their route over all nodes, and more once items have results")
{
    job_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(1));
    const auto other = fixture.makeService(fixture.addNode());
    for (listed_job_service *const service : {fixture.service.get(), other.get()}) {
        service->configure(jobRoutes(3 * tokensOfItem));
        service->start();
    }
    fixture.runFor(20ms); // Both have read the table of jobs.
    CHECK(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::Accepted);
    CHECK(fixture.accept(*other, "j2", 2) == job_acceptance::OverQuota);
    CHECK(fixture.accept(*other, "j3", 1) == job_acceptance::Accepted);
    CHECK(fixture.accept(*fixture.service, "j4", 1) == job_acceptance::OverQuota);
    CHECK(fixture.accept(*other, "j1", 2) == job_acceptance::Accepted); // Sent again.

    fixture.setUpstreams({&upstream});
    (void)fixture.awaitResults(*fixture.service, "j1", 2);
    const auto acceptedAgain = [&] {
        return fixture.accept(*other, "j2", 2) == job_acceptance::Accepted;
    };
    while (!acceptedAgain()) {
        fixture.runFor(20ms);
    }
    CHECK(fixture.results(*other, "j4").state == lookup_state::Missing);
}

TEST_CASE("listed_job_service releases the quota reservation of a job that was not recorded or was ended")
{
    job_fixture fixture;
    const auto other = fixture.makeService(fixture.addNode());
    for (listed_job_service *const service : {fixture.service.get(), other.get()}) {
        service->configure(jobRoutes(2 * tokensOfItem));
        service->start();
    }
    fixture.runFor(20ms);
    fixture.store.rejectedTable = "jobs";
    CHECK(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::NotAccepted);
    fixture.store.rejectedTable.clear();
    while (fixture.accept(*other, "j2", 2) != job_acceptance::Accepted) {
        fixture.runFor(20ms);
    }
    lookup_state ended = lookup_state::Unknown;
    fixture.run([&]() -> task<> {
        ended = co_await fixture.service->end(job_id("j2"));
    });
    CHECK(ended == lookup_state::Found);
    while (fixture.accept(*other, "j3", 2) != job_acceptance::Accepted) {
        fixture.runFor(20ms);
    }
}

TEST_CASE("listed_job_service neither accepts a job nor keeps its client waiting while the store cannot reserve its tokens")
{
    job_fixture fixture;
    fixture.service->configure(jobRoutes(2 * tokensOfItem));
    fixture.store.down = true;
    CHECK(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::NotAccepted);
    fixture.store.down = false;
    fixture.store.loseAnswers = 1;
    CHECK(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::Accepted);
}

TEST_CASE("listed_job_service counts jobs that were accepted before their route had a quota")
{
    job_fixture fixture;
    const auto other = fixture.makeService(fixture.addNode());
    other->start();
    CHECK(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::Accepted);
    other->configure(jobRoutes(2 * tokensOfItem));
    fixture.runFor(20ms);
    CHECK(fixture.accept(*other, "j2", 1) == job_acceptance::OverQuota);
}

TEST_CASE("listed_job_service ends a run that sends bytes but completes no event, and resumes it at another upstream")
{
    job_fixture fixture;
    const auto service = fixture.makeService(*fixture.nodes.front(), 1h, 100ms);
    bool disconnected = false;
    scripted_upstream stalled(fixture.context, "u1", [&](http_exchange &exchange) -> task<> {
        exchange.onDisconnect([&disconnected] {
            disconnected = true;
        });
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}};
        co_await exchange.begin(200, std::move(fields));
        co_await exchange.write(eventText(1));
        while (!disconnected) {
            co_await exchange.write(":");
            co_await fixture.sleep(10ms);
        }
    });
    fixture.setUpstreams({&stalled});
    REQUIRE(fixture.accept(*service, "j1", 1) == job_acceptance::Accepted);
    fixture.awaitFirstEvents(stalled);
    scripted_upstream good(fixture.context, "u2", streamsPieces(3));
    fixture.setUpstreams({&good});
    const job_results found = fixture.awaitResults(*service, "j1", 1);
    CHECK(found.results.front().output == "piece-1\npiece-2\npiece-3");
    CHECK(disconnected);
}

TEST_CASE("listed_job_service does not end a slow run that completes an event before its time is over")
{
    job_fixture fixture;
    const auto service = fixture.makeService(*fixture.nodes.front(), 1h, 1500ms);
    scripted_upstream slow(fixture.context, "u1", [&](http_exchange &exchange) -> task<> {
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}};
        co_await exchange.begin(200, std::move(fields));
        for (std::uint64_t id = 1; id <= 20; ++id) { // In total longer than the time for one event.
            co_await fixture.sleep(100ms);
            co_await exchange.write(eventText(id));
        }
        co_await exchange.finish();
    });
    fixture.setUpstreams({&slow});
    REQUIRE(fixture.accept(*service, "j1", 1) == job_acceptance::Accepted);
    CHECK(fixture.awaitResults(*service, "j1", 1).results.front().succeeded);
    CHECK(slow.requests.size() == 1);
}

TEST_CASE("listed_job_service runs an item again however many upstreams have crashed while running it")
{
    job_fixture fixture;
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    std::vector<const scripted_upstream *> pointers;
    constexpr std::size_t maximumCrashes = 5;
    std::size_t crashes = 0;
    for (int number = 0; number < 4; ++number) {
        auto script = [&crashes, piecesOf = streamsPieces(3)](http_exchange &exchange) -> task<> {
            if (crashes < maximumCrashes) {
                ++crashes;
                co_return;
            }
            co_await piecesOf(exchange);
        };
        upstreams.push_back(std::make_unique<scripted_upstream>(fixture.context, "u" + std::to_string(number), std::move(script)));
        pointers.push_back(upstreams.back().get());
    }
    fixture.setUpstreams(pointers);
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    const job_results found = fixture.awaitResults(*fixture.service, "j1", 1);
    CHECK(found.results.front().succeeded);
    CHECK(found.results.front().output == "piece-1\npiece-2\npiece-3");
    CHECK(crashes == maximumCrashes);
}

TEST_CASE("listed_job_service takes an upstream for an item again once it is usable, after an earlier grant of it was not")
{
    job_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(3));
    fixture.setUpstreams({&upstream});
    serving_node &node = *fixture.nodes.front();
    fixture.upstreams.front().draining = true;
    node.scheduler.setUpstreams(fixture.upstreams);
    std::vector<std::vector<upstream_id>> excluded; // The excluded upstreams of each claim.
    node.onSend = [&](const gateway_message &message) {
        if (const auto *const claim = std::get_if<slot_claim>(&message)) {
            excluded.push_back(claim->request.excluded);
            slot_verdict verdict{.request = claim->request.id, .state = claim_state::Granted, .upstream = upstream_id("u1")};
            if (excluded.size() == 2) { // Excluded, but usable from now on.
                verdict = {.request = claim->request.id, .state = claim_state::Rejected, .reason = end_reason::Overloaded};
                fixture.upstreams.front().draining = false;
                node.scheduler.setUpstreams(fixture.upstreams);
            }
            asio::post(fixture.context, [&node, verdict] {
                node.slots.received(verdict);
            });
        }
    };
    fixture.recordOtherNodes(node);
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    CHECK(fixture.awaitResults(*fixture.service, "j1", 1).results.front().succeeded);
    REQUIRE(excluded.size() == 3);
    CHECK(excluded[1] == std::vector<upstream_id>{upstream_id("u1")});
    CHECK(excluded[2].empty());
}

TEST_CASE("listed_job_service lists an item only after a run whose frame proves its end")
{
    // The first run ends in order after so many of three events, and nothing marks its end.
    const std::uint64_t sentWithoutFrame = GENERATE(0, 2, 3);
    job_fixture fixture;
    std::size_t runs = 0;
    scripted_upstream upstream(fixture.context, "u1", [&, framed = streamsPieces(3)](http_exchange &exchange) -> task<> {
        if (++runs > 1) {
            co_await framed(exchange);
            co_return;
        }
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}};
        co_await exchange.begin(200, std::move(fields), answer_framing::ConnectionEnd);
        for (std::uint64_t id = 1; id <= sentWithoutFrame; ++id) {
            co_await exchange.write(eventText(id));
        }
        co_await exchange.finish();
    });
    fixture.setUpstreams({&upstream});
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    const job_results found = fixture.awaitResults(*fixture.service, "j1", 1);
    CHECK(found.results.front().succeeded);
    CHECK(found.results.front().output == "piece-1\npiece-2\npiece-3");
    CHECK(runs == 2);
}

TEST_CASE("listed_job_service holds an item with a stopped prompt part back, and runs it once the part is answered elsewhere")
{
    job_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(3));
    fixture.setUpstreams({&upstream});
    serving_node &node = *fixture.nodes.front();
    const std::vector<std::uint64_t> parts = node.sender.sharedParts({{"Prompt-Prefix", "p:1,own:2"}});
    node.parts.guard().stop(parts.front(), {}, currentTime());
    fixture.run([&]() -> task<> {
        job_submission job = fixture.submission("j1", 1);
        job.items.front().fields.emplace_back("Prompt-Prefix", "p:1,own:2");
        (void)co_await fixture.service->accept(std::move(job));
    });
    fixture.runFor(300ms);
    CHECK(upstream.requests.empty());
    CHECK(fixture.results(*fixture.service, "j1").results.empty());
    node.parts.recordReport({}, parts, "other", false, currentTime());
    CHECK(fixture.awaitResults(*fixture.service, "j1", 1).results.front().succeeded);
    CHECK(upstream.requests.size() == 1);
}

TEST_CASE("listed_job_service runs items as their organisation's, also after a takeover and without the organisation in the configuration")
{
    job_fixture fixture;
    scripted_upstream silent(fixture.context, "u1", [&](http_exchange &) -> task<> {
        co_await fixture.sleep(generousTime);
    });
    fixture.setUpstreams({&silent});
    REQUIRE(fixture.accept(*fixture.service, "j1", 1, "own") == job_acceptance::Accepted);
    fixture.runFor(50ms);
    REQUIRE(silent.requests.size() == 1);
    scripted_upstream fresh(fixture.context, "u2", streamsPieces(1));
    fixture.setUpstreams({&fresh});
    const auto other = fixture.makeService(fixture.addNode());
    other->start();
    fixture.awaitResults(*other, "j1", 1);
    REQUIRE(fresh.requests.size() == 1);
    for (const http_request &request : {silent.requests.front(), fresh.requests.front()}) {
        const auto named = std::count(request.fields.begin(), request.fields.end(), http_field{"Tenant", "own"});
        CHECK(named == 1);
    }
}

TEST_CASE("listed_job_service tells other organisations nothing of a job, at any node")
{
    job_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(1));
    fixture.setUpstreams({&upstream});
    REQUIRE(fixture.accept(*fixture.service, "j1", 1, "own") == job_acceptance::Accepted);
    fixture.awaitResults(*fixture.service, "j1", 1);
    const auto elsewhere = fixture.makeService(fixture.addNode());
    const job_access other{caller_id("other")};
    for (listed_job_service *const service : {fixture.service.get(), elsewhere.get()}) {
        CHECK(fixture.results(*service, "j1", 0, {caller_id("own")}).state == lookup_state::Found);
        CHECK(fixture.results(*service, "j1", 0, other).state == lookup_state::Missing);
        CHECK(fixture.results(*service, "j1", 0, {caller_id()}).state == lookup_state::Missing);
        item_lookup body;
        lookup_state ended = lookup_state::Unknown;
        fixture.run([&]() -> task<> {
            body = co_await service->itemBody(job_id("j1"), "j1-0", other);
            ended = co_await service->end(job_id("j1"), other);
        });
        CHECK(body.state == lookup_state::Missing);
        CHECK(ended == lookup_state::Missing);
        CHECK(fixture.accept(*service, "j1", 1, "other") == job_acceptance::OfOther);
        CHECK(fixture.accept(*service, "j1", 1, "own") == job_acceptance::Accepted);
    }
    CHECK(upstream.requests.size() == 1);
}

TEST_CASE("listed_job_service gives each organisation a quota of its own on a route")
{
    job_fixture fixture;
    const auto other = fixture.makeService(fixture.addNode());
    for (listed_job_service *const service : {fixture.service.get(), other.get()}) {
        service->configure(jobRoutes(3 * tokensOfItem));
        service->start();
    }
    fixture.runFor(20ms); // Both have read the table of jobs.
    CHECK(fixture.accept(*fixture.service, "j1", 3, "a") == job_acceptance::Accepted);
    CHECK(fixture.accept(*other, "j2", 3, "b") == job_acceptance::Accepted);
    CHECK(fixture.accept(*other, "j3", 1, "a") == job_acceptance::OverQuota);
    CHECK(fixture.accept(*fixture.service, "j4", 1, "b") == job_acceptance::OverQuota);
}
