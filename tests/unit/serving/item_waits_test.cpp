#include "job_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration patience = 5s;

weighted_service part(const std::string &service, std::uint32_t weight = 1)
{
    return {.service = service_name(service), .weight = weight};
}

/// What the tests change of a route of jobs.
struct route_options
{
    duration completionWindow = 18s;
    duration retention = 60s;
    std::uint32_t priority = 0;
};

std::shared_ptr<const route_table>
routesTo(std::uint64_t version, std::vector<weighted_service> services, const route_options &options = {})
{
    return std::make_shared<const route_table>(serving_configuration{.version = version,
                                                                     .routes = {{.name = "jobs",
                                                                                 .host = "h",
                                                                                 .pathPrefix = "/j/",
                                                                                 .kind = request_kind::Job,
                                                                                 .resumable = true,
                                                                                 .services = std::move(services),
                                                                                 .maximumAttempts = 2,
                                                                                 .priority = options.priority,
                                                                                 .completionWindow = options.completionWindow,
                                                                                 .retention = options.retention}}});
}

struct wait_fixture : job_fixture
{
    /// Registers upstreams under the names of their services, at all nodes.
    void provide(const std::vector<std::pair<const scripted_upstream *, std::string>> &provided)
    {
        upstreams.clear();
        for (const auto &[upstream, serviceName] : provided) {
            upstreams.push_back(upstream->info(serviceName));
        }
        for (const auto &node : nodes) {
            node->scheduler.setUpstreams(upstreams);
        }
    }

    bool lists(const std::string &id, std::size_t count, duration time = patience)
    {
        const time_point end = currentTime() + time;
        while (results(*service, id).results.size() < count) {
            if (currentTime() >= end) {
                return false;
            }
            runFor(10ms);
        }
        return true;
    }

    std::size_t succeeded(const std::string &id)
    {
        const std::vector<listed_result> found = results(*service, id).results;
        return static_cast<std::size_t>(std::count_if(found.begin(), found.end(), [](const listed_result &result) {
            return result.succeeded;
        }));
    }
};

/// A node whose claims go to another one, which lets them wait.
struct claiming_fixture : wait_fixture
{
    std::vector<slot_request> claims; ///< Without those that were sent again.
    std::vector<request_id> releases;

    claiming_fixture()
    {
        serving_node &node = *nodes.front();
        node.onSend = [this, &node](const gateway_message &message) {
            if (const auto *const claim = std::get_if<slot_claim>(&message)) {
                const bool isKnown = std::any_of(claims.begin(), claims.end(), [&](const slot_request &earlier) {
                    return earlier.id == claim->request.id;
                });
                if (!isKnown) {
                    claims.push_back(claim->request);
                }
                asio::post(context, [&node, id = claim->request.id] {
                    node.slots.received(slot_verdict{.request = id, .state = claim_state::Waiting});
                });
            } else if (const auto *const release = std::get_if<slot_release>(&message)) {
                releases.push_back(release->request);
            }
        };
        recordOtherNodes(node);
    }

    /// Ends the waits that are left: a claim and its job hold each other until then.
    ~claiming_fixture()
    {
        run([this]() -> task<> {
            co_await service->handOver(0s);
        });
        runFor(20ms);
    }

    claiming_fixture(const claiming_fixture &) = delete;
    claiming_fixture &operator=(const claiming_fixture &) = delete;

    void grant(const request_id &id, const std::string &upstream)
    {
        nodes.front()->slots.received(slot_verdict{.request = id, .state = claim_state::Granted, .upstream = upstream_id(upstream)});
    }
};

} // namespace

// Guards against accepted items that never run after their route was moved and the upstreams of its old service have left.
TEST_CASE("items that wait for a service that their route has left run at the new one")
{
    wait_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(3));
    fixture.service->configure(routesTo(1, {part("old")}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 5) == job_acceptance::Accepted);
    fixture.runFor(20ms);
    fixture.provide({{&upstream, "new"}});
    fixture.service->configure(routesTo(2, {part("new")}));
    CHECK(fixture.lists("j1", 5));
    CHECK(fixture.succeeded("j1") == 5);
}

// Guards against items that queue for the few slots of their route's old service beside idle ones of the new service.
TEST_CASE("items that wait for a slot move with their route while those that run go on")
{
    wait_fixture fixture;
    bool isReleased = false;
    scripted_upstream old(fixture.context, "u1", [&, pieces = streamsPieces(3)](http_exchange &exchange) -> task<> {
        while (!isReleased) {
            co_await fixture.sleep(5ms);
        }
        co_await pieces(exchange);
    });
    scripted_upstream fresh(fixture.context, "u2", streamsPieces(3));
    fixture.service->configure(routesTo(1, {part("old")}));
    fixture.provide({{&old, "old"}, {&fresh, "new"}});
    REQUIRE(fixture.accept(*fixture.service, "j1", 10) == job_acceptance::Accepted);
    while (old.requests.size() < 4) { // All its slots.
        fixture.runFor(1ms);
    }
    fixture.service->configure(routesTo(2, {part("new")}));
    CHECK(fixture.lists("j1", 6));
    isReleased = true;
    CHECK(fixture.lists("j1", 10));
    CHECK(fixture.succeeded("j1") == 10);
    CHECK(old.requests.size() == 4);
    CHECK(fresh.requests.size() == 6);
}

// Guards against items of a split route that wait for good for a service that has lost its upstreams, beside idle ones of another.
TEST_CASE("items of a split route run at its other service while theirs has no upstream, and by its weights otherwise")
{
    const bool isServed = GENERATE(false, true);
    wait_fixture fixture;
    scripted_upstream first(fixture.context, "u1", streamsPieces(1));
    scripted_upstream second(fixture.context, "u2", streamsPieces(1));
    fixture.service->configure(routesTo(1, {part("s", 60), part("t", 40)}));
    fixture.provide({{&first, "s"}, {&second, "t"}});
    if (!isServed) {
        fixture.upstreams.back().draining = true;
        fixture.nodes.front()->scheduler.setUpstreams(fixture.upstreams);
    }
    REQUIRE(fixture.accept(*fixture.service, "j1", 30) == job_acceptance::Accepted);
    CHECK(fixture.lists("j1", 30));
    const job_submission submitted = fixture.submission("j1", 30);
    const auto ofSecond = std::count_if(submitted.items.begin(), submitted.items.end(), [](const job_item &item) {
        return serviceFor(*routesTo(1, {part("s", 60), part("t", 40)})->findByName("jobs"), request_id(item.id)) == service_name("t");
    });
    REQUIRE(ofSecond > 0);
    CHECK(second.requests.size() == (isServed ? static_cast<std::size_t>(ofSecond) : 0));
    CHECK(first.requests.size() + second.requests.size() == 30); // Each item has run once.
}

// Guards against items that stay with the other service of a split, or wait for good, when their service loses its upstream as they wait.
TEST_CASE("items that wait follow the upstreams of a split route's services as they leave and come")
{
    wait_fixture fixture;
    scripted_upstream first(fixture.context, "u1", streamsPieces(1));
    scripted_upstream second(fixture.context, "u2", streamsPieces(1));
    fixture.service->configure(routesTo(1, {part("s", 50), part("t", 50)}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 20) == job_acceptance::Accepted);
    fixture.runFor(20ms);
    fixture.provide({{&second, "t"}});
    CHECK(fixture.lists("j1", 20));
    CHECK(second.requests.size() == 20);
    REQUIRE(fixture.accept(*fixture.service, "j2", 20) == job_acceptance::Accepted);
    CHECK(fixture.lists("j2", 20));
    fixture.provide({{&first, "s"}, {&second, "t"}});
    REQUIRE(fixture.accept(*fixture.service, "j3", 20) == job_acceptance::Accepted);
    CHECK(fixture.lists("j3", 20));
    CHECK(!first.requests.empty());
}

// Guards against items of a removed route that are neither run nor listed.
TEST_CASE("items that wait are listed as errored once their route is removed")
{
    wait_fixture fixture;
    fixture.service->configure(routesTo(1, {part("s")}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 5) == job_acceptance::Accepted);
    fixture.runFor(20ms);
    fixture.service->configure(std::make_shared<const route_table>(serving_configuration{.version = 2}));
    CHECK(fixture.lists("j1", 5));
    CHECK(fixture.succeeded("j1") == 0);
}

// Guards against waits without an end while no service of a route has an upstream.
TEST_CASE("items that wait for a service without upstreams are given up at their retention, not before")
{
    wait_fixture fixture;
    constexpr duration retention = 6s;
    fixture.service->configure(routesTo(1, {part("s")}, {.completionWindow = 1s, .retention = retention}));
    const time_point submittedAt = currentTime();
    REQUIRE(fixture.accept(*fixture.service, "j1", 3) == job_acceptance::Accepted);
    CHECK(fixture.lists("j1", 1, retention + patience));
    CHECK(currentTime() - submittedAt >= retention);
    CHECK(fixture.lists("j1", 3));
    CHECK(fixture.succeeded("j1") == 0);
}

// Guards against an early end of items whose route's only service comes back.
TEST_CASE("items wait for the only service of their route until it has an upstream")
{
    wait_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(1));
    fixture.service->configure(routesTo(1, {part("s")}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 5) == job_acceptance::Accepted);
    fixture.runFor(500ms);
    CHECK(fixture.results(*fixture.service, "j1").results.empty());
    fixture.provide({{&upstream, "s"}});
    CHECK(fixture.lists("j1", 5));
    CHECK(fixture.succeeded("j1") == 5);
}

// Guards against items that run at a service that their route has left, or are given up, while the new one has no upstream yet.
TEST_CASE("items wait for the upstreams of their route's new service, also beside sound ones of the old service")
{
    wait_fixture fixture;
    scripted_upstream old(fixture.context, "u1", streamsPieces(1));
    scripted_upstream fresh(fixture.context, "u2", streamsPieces(1));
    fixture.service->configure(routesTo(1, {part("old")}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 5) == job_acceptance::Accepted);
    fixture.runFor(20ms);
    fixture.service->configure(routesTo(2, {part("new")}));
    fixture.runFor(200ms);
    fixture.provide({{&old, "old"}});
    fixture.runFor(400ms);
    CHECK(old.requests.empty());
    CHECK(fixture.results(*fixture.service, "j1").results.empty());
    fixture.provide({{&old, "old"}, {&fresh, "new"}});
    CHECK(fixture.lists("j1", 5));
    CHECK(fixture.succeeded("j1") == 5);
    CHECK(fresh.requests.size() == 5);
}

// Guards against items that wait in another gateway's queue for a service that their route has left.
TEST_CASE("a claim at another node is withdrawn when its route moves, and made anew under another id")
{
    claiming_fixture fixture;
    fixture.service->configure(routesTo(1, {part("old")}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 2) == job_acceptance::Accepted);
    fixture.runFor(50ms);
    REQUIRE(fixture.claims.size() == 2);
    fixture.service->configure(routesTo(2, {part("new")}));
    fixture.runFor(300ms);
    REQUIRE(fixture.claims.size() == 4);
    REQUIRE(fixture.releases.size() == 2);
    for (std::size_t index = 0; index < 2; ++index) {
        CHECK(fixture.claims[index].service == service_name("old"));
        CHECK(fixture.claims[index + 2].service == service_name("new"));
        CHECK(std::count(fixture.releases.begin(), fixture.releases.end(), fixture.claims[index].id) == 1);
    }
    const std::set<request_id> ids{fixture.claims[0].id, fixture.claims[1].id, fixture.claims[2].id, fixture.claims[3].id};
    CHECK(ids.size() == 4);
}

// Guards against an item that runs twice, or keeps a slot, when a grant crosses with the withdrawal of its claim.
TEST_CASE("a grant that crosses with the withdrawal of its claim starts no run and is given back")
{
    claiming_fixture fixture;
    scripted_upstream old(fixture.context, "u1", streamsPieces(1));
    scripted_upstream fresh(fixture.context, "u2", streamsPieces(1));
    fixture.provide({{&old, "old"}, {&fresh, "new"}});
    fixture.service->configure(routesTo(1, {part("old")}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    fixture.runFor(50ms);
    REQUIRE(fixture.claims.size() == 1);
    const request_id first = fixture.claims.front().id;
    fixture.service->configure(routesTo(2, {part("new")}));
    while (fixture.claims.size() < 2) {
        fixture.runFor(5ms);
    }
    fixture.grant(first, "u1");
    fixture.grant(fixture.claims[1].id, "u2");
    CHECK(fixture.lists("j1", 1));
    CHECK(old.requests.empty());
    CHECK(fresh.requests.size() == 1);
    CHECK(std::count(fixture.releases.begin(), fixture.releases.end(), first) == 1);
}

// Guards against a change of the configuration that makes all waiting items claim anew.
TEST_CASE("claims whose terms stay the same are not made anew after a change of the configuration or the upstreams")
{
    claiming_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(1));
    fixture.service->configure(routesTo(1, {part("s", 50), part("t", 50)}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 20) == job_acceptance::Accepted);
    fixture.runFor(50ms);
    REQUIRE(fixture.claims.size() == 20);
    fixture.service->configure(routesTo(2, {part("s", 50), part("t", 50)}));
    fixture.runFor(300ms);
    CHECK(fixture.claims.size() == 20);
    CHECK(fixture.releases.empty());
    const auto ofFirst = std::count_if(fixture.claims.begin(), fixture.claims.end(), [](const slot_request &claim) {
        return claim.service == service_name("s");
    });
    fixture.provide({{&upstream, "t"}});
    fixture.runFor(300ms);
    CHECK(fixture.releases.size() == static_cast<std::size_t>(ofFirst)); // The others wait for the service that is served now.
}

// Guards against work that keeps the urgency that its route had when it began to wait.
TEST_CASE("a claim is made anew when the priority of its route changes")
{
    claiming_fixture fixture;
    fixture.service->configure(routesTo(1, {part("s")}, {.priority = 3}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    fixture.runFor(50ms);
    fixture.service->configure(routesTo(2, {part("s")}, {.priority = 1}));
    fixture.runFor(300ms);
    REQUIRE(fixture.claims.size() == 2);
    CHECK(fixture.claims.front().priority == 3);
    CHECK(fixture.claims.back().priority == 1);
}

// Guards against thousands of messages at once after a change of the configuration.
TEST_CASE("claims of many items are made anew in portions")
{
    claiming_fixture fixture;
    constexpr int items = 600;
    constexpr std::size_t portion = 200;
    fixture.service->configure(routesTo(1, {part("old")}));
    REQUIRE(fixture.accept(*fixture.service, "j1", items) == job_acceptance::Accepted);
    fixture.runFor(100ms);
    REQUIRE(fixture.claims.size() == items);
    fixture.service->configure(routesTo(2, {part("new")}));
    std::size_t most = 0;
    while (fixture.releases.size() < items) {
        const std::size_t before = fixture.releases.size();
        fixture.run([&]() -> task<> {
            co_await fixture.sleep(1ms);
        });
        most = std::max(most, fixture.releases.size() - before);
    }
    CHECK(most <= portion);
}

// Guards against outputs joined from the events of two services whose upstreams have the same software version.
TEST_CASE("an item whose route has moved begins anew at the new service after its run at the old one is lost")
{
    wait_fixture fixture;
    bool isLost = false;
    scripted_upstream old(fixture.context, "u1", [&](http_exchange &exchange) -> task<> {
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}};
        co_await exchange.begin(200, std::move(fields));
        co_await exchange.write(eventText(1) + eventText(2));
        while (!isLost) {
            co_await fixture.sleep(5ms);
        }
    });
    scripted_upstream fresh(fixture.context, "u2", streamsPieces(4));
    fixture.service->configure(routesTo(1, {part("old")}));
    fixture.provide({{&old, "old"}, {&fresh, "new"}});
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    fixture.awaitFirstEvents(old);
    fixture.service->configure(routesTo(2, {part("new")}));
    isLost = true;
    REQUIRE(fixture.lists("j1", 1));
    REQUIRE(fresh.requests.size() == 1);
    const auto resumed =
        std::count_if(fresh.requests.front().fields.begin(), fresh.requests.front().fields.end(), [](const http_field &field) {
            return field.name == "Last-Event-Id";
        });
    CHECK(resumed == 0);
    CHECK(fixture.results(*fixture.service, "j1").results.front().output == "piece-1\npiece-2\npiece-3\npiece-4");
}

// Guards against the same where another gateway takes the job over with the checkpoint of the output.
TEST_CASE("an item whose route has moved begins anew at the new service when another node takes its job over")
{
    const bool hasMoved = GENERATE(true, false);
    wait_fixture fixture;
    scripted_upstream old(fixture.context, "u1", [&, pieces = streamsPieces(4)](http_exchange &exchange) -> task<> {
        if (old.requests.size() > 1) {
            co_await pieces(exchange);
            co_return;
        }
        std::vector<http_field> fields{{"Response-Stamp", "stamp"}};
        co_await exchange.begin(200, std::move(fields));
        co_await exchange.write(eventText(1) + eventText(2));
        co_await fixture.sleep(generousTime);
    });
    scripted_upstream fresh(fixture.context, "u2", streamsPieces(4));
    fixture.provide({{&old, "old"}, {&fresh, "new"}});
    fixture.service = fixture.makeService(*fixture.nodes.front(), 10ms);
    fixture.service->configure(routesTo(1, {part("old")}));
    REQUIRE(fixture.accept(*fixture.service, "j1", 1) == job_acceptance::Accepted);
    while (fixture.checkpoints() == 0) {
        fixture.runFor(1ms);
    }
    fixture.changeEntry("j1", [](job_entry &entry) {
        entry.owner = node_id();
    });
    const auto other = fixture.makeService(fixture.addNode());
    other->configure(hasMoved ? routesTo(2, {part("new")}) : routesTo(1, {part("old")}));
    other->start();
    CHECK(fixture.awaitResults(*other, "j1", 1).results.front().output == "piece-1\npiece-2\npiece-3\npiece-4");
    REQUIRE(fresh.requests.empty() != hasMoved);
    const http_request &last = hasMoved ? fresh.requests.back() : old.requests.back();
    const auto resumed = std::count(last.fields.begin(), last.fields.end(), http_field{"Last-Event-Id", "2"});
    CHECK(resumed == (hasMoved ? 0 : 1));
}

// Guards against items that crash one more upstream because a part of their prompt was stopped only while they waited.
TEST_CASE("an item whose prompt part is stopped while it waits for a slot is not sent, and runs once the part is proven sound")
{
    claiming_fixture fixture;
    scripted_upstream upstream(fixture.context, "u1", streamsPieces(1));
    fixture.provide({{&upstream, "s"}});
    serving_node &node = *fixture.nodes.front();
    fixture.run([&]() -> task<> {
        job_submission job = fixture.submission("j1", 1);
        job.items.front().fields.emplace_back("Prompt-Prefix", "p:1,own:2");
        (void)co_await fixture.service->accept(std::move(job));
    });
    fixture.runFor(20ms);
    REQUIRE(fixture.claims.size() == 1);
    const std::vector<std::uint64_t> parts = node.sender.sharedParts({{"Prompt-Prefix", "p:1,own:2"}});
    node.parts.guard().stop(parts.front(), {}, currentTime());
    fixture.grant(fixture.claims.front().id, "u1");
    fixture.runFor(100ms);
    CHECK(upstream.requests.empty());
    CHECK(std::count(fixture.releases.begin(), fixture.releases.end(), fixture.claims.front().id) == 1);
    node.parts.recordReport({}, parts, "other", false, currentTime());
    while (fixture.claims.size() < 2) {
        fixture.runFor(10ms);
    }
    fixture.grant(fixture.claims.back().id, "u1");
    CHECK(fixture.lists("j1", 1));
    CHECK(fixture.succeeded("j1") == 1);
}
