#include "banyan/io/serving/slot_broker.h"

#include "banyan/core/serving/report_hubs.h"
#include "banyan/core/serving/upstream_cell.h"
#include "banyan/io/clock.h"
#include "banyan/io/serving/stop_signal.h"
#include "serving_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <set>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

/// Two nodes whose messages are delivered without delay, unless the test drops or delays them.
struct broker_fixture
{
    struct node
    {
        node(broker_fixture &fixture, const std::string &name)
            : id(name)
            , scheduler(fixture.context, {.self = id}, board)
            , slots({.context = fixture.context,
                     .scheduler = scheduler,
                     .board = board,
                     .send =
                         [&fixture](const node_id &to, const gateway_message &message) {
                             return fixture.deliver(to, message);
                         },
                     .hubs = &hubs},
                    id,
                    failure_domain("d"))
        {
        }

        node_id id;
        report_hubs hubs{{.self = id, .maximumMeshNodes = 1, .hubCount = 1}};
        load_board board{10s};
        scheduler_host scheduler;
        slot_broker slots;
        std::uint64_t sequence = 0;
    };

    asio::io_context context;
    bool disconnected = false; ///< Whether messages are dropped.
    std::optional<node_id> delayedNode; ///< Messages to this node wait until deliverDelayed().
    std::vector<std::pair<node_id, gateway_message>> delayedMessages;
    std::map<node_id, std::unique_ptr<node>> nodes;
    std::vector<replica> upstreams;

    explicit broker_fixture(int upstreamCount)
    {
        for (int number = 0; number < upstreamCount; ++number) {
            upstreams.push_back({.id = upstream_id("u" + std::to_string(number)), .service = service_name("s"), .slots = 1});
        }
        for (const std::string name : {"n1", "n2"}) {
            nodes.emplace(node_id(name), std::make_unique<node>(*this, name));
        }
        for (const auto &[id, member] : nodes) {
            member->scheduler.setUpstreams(upstreams);
        }
        report();
    }

    bool deliver(const node_id &to, const gateway_message &message)
    {
        if (delayedNode == to) {
            delayedMessages.emplace_back(to, message);
        } else if (!disconnected) {
            asio::post(context, [this, to, message] {
                std::visit(
                    [&](const auto &value) {
                        if constexpr (requires { nodes.at(to)->slots.received(value); }) {
                            nodes.at(to)->slots.received(value);
                        }
                    },
                    message);
            });
        }
        return true;
    }

    /// Delivers the delayed messages in order.
    void deliverDelayed()
    {
        delayedNode.reset();
        for (const auto &[to, message] : std::exchange(delayedMessages, {})) {
            deliver(to, message);
        }
    }

    /// Sends a load report of each node to the other one.
    void report()
    {
        for (const auto &[id, member] : nodes) {
            const node_load load{.sender = id,
                                 .sequence = ++member->sequence,
                                 .usage = member->scheduler.scheduler().usage(currentTime()),
                                 .schedulingState = member->slots.schedulingState(),
                                 .claims = member->slots.claims()};
            for (const auto &[otherId, other] : nodes) {
                if (otherId != id) {
                    other->board.record(load, currentTime());
                    other->slots.reported(load);
                }
            }
        }
    }

    /// Number of slots that node @p by has granted.
    static std::uint32_t slotsInUse(const node &by)
    {
        std::uint32_t sum = 0;
        for (const auto &[key, usage] : by.scheduler.scheduler().usage(currentTime())) {
            sum += usage.online + usage.batch;
        }
        return sum;
    }

    [[nodiscard]] node &schedulingNode()
    {
        const std::vector<node_id> ids{node_id("n1"), node_id("n2")};
        return *nodes.at(schedulingNodeOf(service_name("s"), {}, ids));
    }
    [[nodiscard]] node &other()
    {
        return *nodes.at(schedulingNode().id == node_id("n1") ? node_id("n2") : node_id("n1"));
    }

    static slot_request request(const std::string &id, work_class value = work_class::Online)
    {
        const time_point now = currentTime();
        return {.id = request_id(id),
                .service = service_name("s"),
                .workClass = value,
                .arrivedAt = now,
                .target = now + 300ms,
                .deadline = now + 5s};
    }

    /// Starts to wait for a slot. The outcome is recorded under the request's id.
    void acquire(node &by, const slot_request &request)
    {
        asio::co_spawn(
            context,
            [this, &by, request]() -> task<> {
                auto onReclaim = [this, request] {
                    reclaimed[request.id.text()] = true;
                };
                outcomes[request.id.text()] = co_await by.slots.acquire(request, stops[request.id.text()], std::move(onReclaim));
            },
            asio::detached);
    }

    void runFor(duration time)
    {
        bool over = false;
        asio::steady_timer timer(context, time);
        timer.async_wait([&](const boost::system::error_code &) {
            over = true;
        });
        context.restart();
        while (!over) {
            context.run_one();
        }
    }

    /// Runs until a condition holds, for at most tests::generousTime.
    void runUntil(const std::function<bool()> &condition)
    {
        for (const time_point end = currentTime() + tests::generousTime; !condition() && currentTime() < end;) {
            runFor(1ms);
        }
    }

    /// Runs until the outcome of a request is recorded.
    void runUntilDecided(const std::string &id)
    {
        runUntil([this, id] {
            return outcomes.contains(id);
        });
    }

    [[nodiscard]] bool granted(const std::string &id) const
    {
        const auto outcome = outcomes.find(id);
        return outcome != outcomes.end() && std::holds_alternative<slot_granted>(outcome->second);
    }

    std::map<std::string, slot_broker::slot_outcome> outcomes;
    std::map<std::string, stop_signal> stops;
    std::map<std::string, bool> reclaimed;
};

} // namespace

TEST_CASE("slot_broker gets a slot from the scheduling node of the cell")
{
    broker_fixture fixture(2);
    fixture.acquire(fixture.other(), broker_fixture::request("r1"));
    fixture.acquire(fixture.schedulingNode(), broker_fixture::request("r2"));
    fixture.runUntilDecided("r1");
    REQUIRE(fixture.granted("r1"));
    REQUIRE(fixture.granted("r2"));
    // Both runs went through one queue, so they are at different upstreams.
    CHECK(std::get<slot_granted>(fixture.outcomes["r1"]).upstream != std::get<slot_granted>(fixture.outcomes["r2"]).upstream);
    CHECK(broker_fixture::slotsInUse(fixture.schedulingNode()) == 2);
    CHECK(broker_fixture::slotsInUse(fixture.other()) == 0);
}

TEST_CASE("slot_broker frees the slot at the scheduling node when the run ends")
{
    broker_fixture fixture(1);
    fixture.acquire(fixture.other(), broker_fixture::request("r1"));
    fixture.runUntilDecided("r1");
    REQUIRE(fixture.granted("r1"));
    fixture.other().slots.released(request_id("r1"), {.outcome = attempt_outcome::Succeeded});
    fixture.runUntil([&] {
        return broker_fixture::slotsInUse(fixture.schedulingNode()) == 0;
    });
    CHECK(broker_fixture::slotsInUse(fixture.schedulingNode()) == 0);
}

TEST_CASE("slot_broker reclaims a batch run's slot from another node")
{
    broker_fixture fixture(1);
    fixture.acquire(fixture.other(), broker_fixture::request("b1", work_class::Batch));
    fixture.runUntilDecided("b1");
    REQUIRE(fixture.granted("b1"));
    fixture.acquire(fixture.schedulingNode(), broker_fixture::request("r1"));
    fixture.runFor(5ms);
    CHECK(fixture.granted("r1"));
    CHECK(fixture.reclaimed["b1"]);
}

TEST_CASE("slot_broker schedules a run locally when the scheduling node gives no verdict")
{
    broker_fixture fixture(1);
    fixture.disconnected = true;
    fixture.acquire(fixture.other(), broker_fixture::request("r1"));
    fixture.runFor(10ms);
    CHECK_FALSE(fixture.granted("r1"));
    fixture.runFor(60ms);
    CHECK(fixture.granted("r1"));
    // The unresponsive node is not asked again for a while.
    fixture.other().slots.released(request_id("r1"), {.outcome = attempt_outcome::Succeeded});
    fixture.acquire(fixture.other(), broker_fixture::request("r2"));
    fixture.runFor(5ms);
    CHECK(fixture.granted("r2"));
}

TEST_CASE("slot_broker claims a slot for a batch run at the next node when the scheduling node gives no verdict")
{
    tests::serving_fixture fixture;
    tests::serving_node &node = *fixture.nodes.front();
    tests::serving_fixture::recordOtherNodes(node);
    node.onSend = [&](const gateway_message &message) {
        const auto *const claim = std::get_if<slot_claim>(&message);
        if (claim != nullptr && node.sentTo.back() != node.sentTo.front()) {
            asio::post(fixture.context, [&node, id = claim->request.id] {
                node.slots.received(slot_verdict{.request = id, .state = claim_state::Granted, .upstream = upstream_id("u")});
            });
        }
    };
    slot_broker::slot_outcome outcome;
    stop_signal stop;
    asio::steady_timer timeout(fixture.context, tests::generousTime);
    timeout.async_wait([&](const boost::system::error_code &error) {
        if (!error) {
            stop.stop();
        }
    });
    fixture.run([&]() -> task<> {
        const time_point now = currentTime();
        slot_request request{.id = request_id("item"),
                             .service = service_name("s"),
                             .workClass = work_class::Batch,
                             .arrivedAt = now,
                             .target = now + 1h,
                             .deadline = now + 2h};
        std::function<void()> onReclaim = [] {};
        outcome = co_await node.slots.acquire(std::move(request), stop, std::move(onReclaim));
    });
    const auto *const granted = std::get_if<slot_granted>(&outcome);
    REQUIRE(granted != nullptr);
    CHECK(granted->upstream == upstream_id("u"));
    CHECK(granted->schedulingNode == node.sentTo.back());
    CHECK(granted->schedulingNode != node.sentTo.front());
}

TEST_CASE("slot_broker frees a slot whose release was lost once its holder's reports no longer list it")
{
    broker_fixture fixture(1);
    fixture.acquire(fixture.other(), broker_fixture::request("r1"));
    fixture.runUntilDecided("r1");
    REQUIRE(fixture.granted("r1"));
    fixture.disconnected = true;
    fixture.other().slots.released(request_id("r1"), {.outcome = attempt_outcome::Succeeded});
    fixture.disconnected = false;
    fixture.report();
    CHECK(broker_fixture::slotsInUse(fixture.schedulingNode()) == 1);
    fixture.runFor(450ms);
    fixture.report();
    CHECK(broker_fixture::slotsInUse(fixture.schedulingNode()) == 0);
}

TEST_CASE("slot_broker keeps a slot whose holder lists it")
{
    broker_fixture fixture(1);
    fixture.acquire(fixture.other(), broker_fixture::request("r1"));
    fixture.runFor(450ms);
    fixture.report();
    CHECK(broker_fixture::slotsInUse(fixture.schedulingNode()) == 1);
}

TEST_CASE("slot_broker cancels a waiting claim when its run is cancelled")
{
    broker_fixture fixture(1);
    fixture.acquire(fixture.schedulingNode(), broker_fixture::request("r1"));
    fixture.acquire(fixture.other(), broker_fixture::request("b1", work_class::Batch));
    fixture.runUntilDecided("r1");
    REQUIRE(fixture.granted("r1"));
    CHECK(fixture.schedulingNode().scheduler.scheduler().waitingBatch() == 1);
    fixture.stops["b1"].stop();
    fixture.runFor(5ms);
    CHECK(std::holds_alternative<std::monostate>(fixture.outcomes["b1"]));
    CHECK(fixture.schedulingNode().scheduler.scheduler().waitingBatch() == 0);
}

TEST_CASE("slot_broker returns the scheduling node's rejection")
{
    broker_fixture fixture(1);
    std::vector<replica> none;
    fixture.schedulingNode().scheduler.setUpstreams(none);
    fixture.acquire(fixture.other(), broker_fixture::request("r1"));
    fixture.runUntilDecided("r1");
    REQUIRE(std::holds_alternative<slot_rejected>(fixture.outcomes["r1"]));
    CHECK(std::get<slot_rejected>(fixture.outcomes["r1"]).reason == end_reason::NoUpstream);
}

TEST_CASE("slot_broker repeats a reclaim whose message was lost")
{
    broker_fixture fixture(1);
    fixture.acquire(fixture.other(), broker_fixture::request("b1", work_class::Batch));
    fixture.runUntilDecided("b1");
    REQUIRE(fixture.granted("b1"));
    fixture.disconnected = true;
    fixture.acquire(fixture.schedulingNode(), broker_fixture::request("r1"));
    fixture.runUntilDecided("r1");
    REQUIRE(fixture.granted("r1"));
    CHECK_FALSE(fixture.reclaimed["b1"]);
    fixture.disconnected = false;
    fixture.report();
    fixture.runFor(5ms);
    CHECK(fixture.reclaimed["b1"]);
}

TEST_CASE("slot_broker does not lose a reclaim that arrives together with the grant")
{
    broker_fixture fixture(1);
    fixture.acquire(fixture.other(), broker_fixture::request("b1", work_class::Batch));
    fixture.delayedNode = fixture.other().id;
    const auto runUntilDelayed = [&](std::size_t count) {
        while (fixture.delayedMessages.size() < count) {
            fixture.context.run_one();
        }
    };
    runUntilDelayed(1);
    fixture.acquire(fixture.schedulingNode(), broker_fixture::request("r1"));
    runUntilDelayed(2);
    fixture.deliverDelayed();
    fixture.runFor(20ms);
    CHECK(fixture.granted("r1"));
    CHECK(fixture.reclaimed["b1"]);
}

TEST_CASE("slot_broker leaves scheduling to other nodes while its node shuts down or its list of upstreams may be out of date")
{
    const scheduling_state state = GENERATE(scheduling_state::ShuttingDown, scheduling_state::UpstreamsUncertain);
    INFO("state=" << toString(state));
    broker_fixture fixture(1);
    fixture.schedulingNode().slots.setSchedulingState(state);
    fixture.report();
    fixture.acquire(fixture.other(), broker_fixture::request("r1"));
    fixture.runFor(5ms);
    CHECK(fixture.granted("r1"));
    CHECK(broker_fixture::slotsInUse(fixture.other()) == 1);
    fixture.acquire(fixture.schedulingNode(), broker_fixture::request("b1", work_class::Batch));
    fixture.runFor(5ms);
    CHECK(fixture.other().scheduler.scheduler().waitingBatch() == 1);
}

TEST_CASE("slot_broker schedules as before while the store is unreachable from all nodes")
{
    broker_fixture fixture(1);
    for (const auto &[id, member] : fixture.nodes) {
        member->slots.setSchedulingState(scheduling_state::UpstreamsUncertain);
    }
    fixture.report();
    fixture.acquire(fixture.other(), broker_fixture::request("r1"));
    fixture.runFor(5ms);
    CHECK(fixture.granted("r1"));
    CHECK(broker_fixture::slotsInUse(fixture.schedulingNode()) == 1);
}

TEST_CASE("slot_broker adopts its runs until they end when the node that granted their slots is unresponsive")
{
    broker_fixture fixture(3);
    const slot_request online = broker_fixture::request("r1");
    const slot_request batch = broker_fixture::request("b1", work_class::Batch);
    broker_fixture::node &holder = fixture.other();
    fixture.acquire(holder, online);
    fixture.acquire(holder, batch);
    fixture.runUntilDecided("r1");
    REQUIRE(fixture.granted("r1"));
    REQUIRE(fixture.granted("b1"));
    CHECK(broker_fixture::slotsInUse(holder) == 0);
    holder.board.expire(currentTime() + 1min);
    holder.slots.handleLostNodes();
    CHECK(broker_fixture::slotsInUse(holder) == 2);
    CHECK(holder.slots.claims().empty());
    // The node's own online work reclaims the batch run's slot as if the node had granted it.
    fixture.acquire(holder, broker_fixture::request("r2"));
    fixture.acquire(holder, broker_fixture::request("r3"));
    fixture.runFor(5ms);
    CHECK(fixture.granted("r3"));
    CHECK(fixture.reclaimed["b1"]);
    holder.slots.released(batch.id, {.outcome = attempt_outcome::Cancelled});
    holder.slots.released(online.id, {.outcome = attempt_outcome::Succeeded});
    CHECK(broker_fixture::slotsInUse(holder) == 2);
}

TEST_CASE("slot_broker lets only hubs schedule requests in a large fleet, and schedules locally if it has no report from a hub")
{
    broker_fixture fixture(2);
    const node_id hub = fixture.other().id;
    const std::map<node_id, double> processorShares{{hub, 0.5}, {fixture.schedulingNode().id, 0.12}};
    for (const auto &[id, member] : fixture.nodes) {
        member->hubs.setRegistered(processorShares);
    }
    fixture.acquire(fixture.schedulingNode(), broker_fixture::request("r1"));
    fixture.runFor(5ms);
    CHECK(fixture.granted("r1"));
    CHECK(broker_fixture::slotsInUse(*fixture.nodes.at(hub)) == 1);
    fixture.nodes.at(hub)->hubs.setRegistered({{node_id("unheard"), 1}, {node_id("n1"), 0.1}, {node_id("n2"), 0.1}});
    fixture.acquire(fixture.other(), broker_fixture::request("r2"));
    fixture.runFor(5ms);
    CHECK(fixture.granted("r2"));
}
