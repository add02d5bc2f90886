#include "unit/serving/job_fixture.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

constexpr int steps = 12;
constexpr int itemsOfJob = 20;
constexpr duration reportInterval = 50ms;
constexpr duration patience = 5s; // For waiting items, once a service of their route has free slots.
const std::vector<std::string> serviceNames = {"a", "b"};

/// Two connected nodes, between which some messages are lost, and an operator who moves and splits the route of jobs while upstreams come and
/// go. A node may read a configuration or a list of upstreams later than the other.
struct history_fixture : job_fixture
{
    std::mt19937 generator;
    std::vector<std::unique_ptr<listed_job_service>> services;
    std::vector<std::unique_ptr<scripted_upstream>> all;
    std::set<std::size_t> registered; ///< Of all upstreams; those with an even index are of the first service.
    std::vector<weighted_service> route{{.service = service_name("a")}};
    std::uint64_t version = 1;
    std::uint64_t reports = 0;

    explicit history_fixture(unsigned seed)
        : generator(seed)
    {
        addNode();
        for (const auto &node : nodes) {
            services.push_back(makeService(*node));
            node->onSend = [this, from = node.get()](const gateway_message &message) {
                deliver(from->sentTo.back(), message);
            };
        }
        for (std::size_t index = 0; index < 4; ++index) {
            all.push_back(
                std::make_unique<scripted_upstream>(context, "u" + std::to_string(index), [this](http_exchange &exchange) -> task<> {
                    co_await sleep(std::chrono::milliseconds(pick(1, 60)));
                    http_exchange &answered = exchange;
                    co_await streamsPieces(3)(answered);
                }));
        }
        configureAll();
        provideAll();
    }

    int pick(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(generator);
    }

    /// One message of twenty is lost.
    void deliver(const node_id &to, const gateway_message &message)
    {
        const bool isLost = pick(1, 20) == 1;
        for (const auto &node : nodes) {
            if (node->id == to && !isLost) {
                asio::post(context, [receiver = node.get(), message] {
                    std::visit(
                        [&](const auto &content) {
                            if constexpr (requires { receiver->slots.received(content); }) {
                                receiver->slots.received(content);
                            }
                        },
                        message);
                });
            }
        }
    }

    void report()
    {
        ++reports;
        for (const auto &from : nodes) {
            const node_load load{.sender = from->id,
                                 .sequence = reports,
                                 .usage = from->scheduler.scheduler().usage(currentTime()),
                                 .schedulingState = scheduling_state::Ready,
                                 .claims = from->slots.claims()};
            for (const auto &to : nodes) {
                if (to != from) {
                    to->board.record(load, currentTime());
                    to->slots.reported(load);
                    to->scheduler.loadChanged();
                }
            }
        }
    }

    void runWithReports(duration time)
    {
        for (const time_point end = currentTime() + time; currentTime() < end;) {
            report();
            runFor(std::min<duration>(reportInterval, time));
        }
    }

    void configureAt(std::size_t node)
    {
        services[node]->configure(std::make_shared<const route_table>(serving_configuration{.version = version,
                                                                                            .routes = {{.name = "jobs",
                                                                                                        .host = "h",
                                                                                                        .pathPrefix = "/j/",
                                                                                                        .kind = request_kind::Job,
                                                                                                        .resumable = true,
                                                                                                        .services = route,
                                                                                                        .maximumAttempts = 2,
                                                                                                        .completionWindow = 18s,
                                                                                                        .retention = 60s}}}));
    }

    void configureAll()
    {
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            configureAt(node);
        }
    }

    void provideAt(std::size_t node, bool isDraining = false)
    {
        std::vector<replica> list;
        for (std::size_t index = 0; index < all.size(); ++index) {
            if (registered.contains(index) || isDraining) {
                list.push_back(all[index]->info(serviceNames[index % 2]));
                list.back().draining = !registered.contains(index);
                list.back().slots = 2;
            }
        }
        nodes[node]->scheduler.setUpstreams(list);
    }

    void provideAll()
    {
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            provideAt(node);
        }
    }

    /// Changes the route or the upstreams, at one node before the other.
    void change()
    {
        const auto first = static_cast<std::size_t>(pick(0, 1));
        const bool isOfRoute = pick(0, 1) == 0;
        if (isOfRoute) {
            ++version;
            const int kind = pick(0, 2);
            route = {{.service = service_name(serviceNames[static_cast<std::size_t>(kind % 2)])}};
            if (kind == 2) {
                route.push_back({.service = service_name("b"), .weight = static_cast<std::uint32_t>(pick(1, 3))});
            }
        } else {
            const auto index = static_cast<std::size_t>(pick(0, 3));
            if (!registered.erase(index)) {
                registered.insert(index);
            }
        }
        for (const std::size_t node : {first, 1 - first}) {
            isOfRoute ? configureAt(node) : provideAt(node, pick(0, 1) == 0);
            runWithReports(std::chrono::milliseconds(pick(1, 80)));
        }
    }

    bool isComplete(int jobs)
    {
        for (int job = 0; job < jobs; ++job) {
            if (results(*services[static_cast<std::size_t>(job % 2)], "j" + std::to_string(job)).results.size() < itemsOfJob) {
                return false;
            }
        }
        return true;
    }
};

} // namespace

// Guards against waits that nothing ends: whatever the operator and the upstreams did, waiting items run once their route has a service that is served.
TEST_CASE("no item waits on for good after its route and its upstreams have changed, whatever the order")
{
    const unsigned seed = GENERATE(range(1U, 13U));
    CAPTURE(seed);
    history_fixture fixture(seed);
    int jobs = 0;
    for (int step = 0; step < steps; ++step) {
        if (step % 3 == 0) {
            REQUIRE(fixture.accept(*fixture.services[static_cast<std::size_t>(jobs % 2)], "j" + std::to_string(jobs), itemsOfJob)
                    == job_acceptance::Accepted);
            ++jobs;
        }
        fixture.change();
    }
    const bool isFirst = fixture.route.front().service == service_name("a");
    fixture.registered = {isFirst ? std::size_t(0) : std::size_t(1)}; // Nothing else is left to run the items.
    fixture.provideAll();
    const time_point end = currentTime() + patience;
    while (!fixture.isComplete(jobs) && currentTime() < end) {
        fixture.runWithReports(20ms);
    }
    REQUIRE(fixture.isComplete(jobs));
    for (int job = 0; job < jobs; ++job) {
        for (const listed_result &result :
             fixture.results(*fixture.services[static_cast<std::size_t>(job % 2)], "j" + std::to_string(job)).results) {
            CHECK(result.succeeded);
            CHECK(result.output == "piece-1\npiece-2\npiece-3");
        }
    }
}
