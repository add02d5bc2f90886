#include "eventually.h"
#include "fleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <random>
#include <thread>

using namespace banyan;
using namespace banyan::process_tests;
namespace json = boost::json;

namespace {

constexpr std::uint32_t loadSeed = 7;
constexpr std::chrono::milliseconds callPatience(4000);
constexpr std::chrono::milliseconds pauseBetweenOrders(15);
constexpr std::chrono::seconds leaseWithMargin(14); ///< Longer than a lease and its observation.
constexpr std::chrono::seconds recoveryPatience(100);
constexpr int ordersAtOnce = 12;

/// What a caller was told of its order.
enum class told {
    Nothing, ///< No answer came.
    NotRun, ///< Refused each time, as not run.
    Accepted,
};

http_request orderRequest(const std::string &key)
{
    return {.method = "POST",
            .target = "/orders",
            .fields = {{"Idempotency-Key", key}, {"Prefer", "respond-async"}},
            .body = "one drum for " + key};
}

bool isAccepted(const http_response &answer)
{
    return answer.status == 200 || answer.status == 202;
}

/// Orders that callers place one after the other with entry VMs picked at random by a fixed seed, and place again at
/// another one when no answer comes, under the same key.
class order_load
{
public:
    explicit order_load(fleet &running, std::size_t entries)
        : m_running(running)
        , m_entries(entries)
    {
        for (std::size_t entry = 0; entry < entries; ++entry) {
            m_addresses.push_back(running.callers(entry));
        }
        m_thread = std::thread([this] {
            run();
        });
    }

    ~order_load()
    {
        stop();
    }
    order_load(const order_load &) = delete;
    order_load &operator=(const order_load &) = delete;

    void stop()
    {
        m_stopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    [[nodiscard]] std::size_t placed() const
    {
        return m_placed;
    }

    /// After stop().
    [[nodiscard]] const std::map<std::string, told> &orders() const
    {
        return m_orders;
    }

private:
    void run()
    {
        std::minstd_rand random(loadSeed);
        while (!m_stopped) {
            const std::string key = "order-" + std::to_string(++m_placed);
            m_orders[key] = place(key, random);
            std::this_thread::sleep_for(pauseBetweenOrders);
        }
    }

    told place(const std::string &key, std::minstd_rand &random)
    {
        constexpr int tries = 4;
        bool allRefused = true;
        for (int attempt = 0; attempt < tries; ++attempt) {
            try {
                const http_response answer = m_running.orderAt(m_addresses[random() % m_entries], orderRequest(key), callPatience);
                if (isAccepted(answer)) {
                    return told::Accepted;
                }
                allRefused = allRefused && answer.field("X-Banyan-Run") == "not_run";
            } catch (const call_failure &) {
                allRefused = false;
            }
        }
        return allRefused ? told::NotRun : told::Nothing;
    }

    fleet &m_running;
    std::size_t m_entries;
    std::vector<endpoint> m_addresses;
    std::map<std::string, told> m_orders;
    std::atomic<std::size_t> m_placed = 0;
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

http_response resultOf(const fleet &running, std::size_t entry, const std::string &key)
{
    return call(running.callers(entry), getRequest("/v1/results/" + key, callerKey), callPatience);
}

bool hasEnded(const fleet &running, std::size_t entry, const std::string &key)
{
    try {
        const std::string state = resultOf(running, entry, key).field("X-Banyan-State");
        return !state.empty() && state != "accepted" && state != "started";
    } catch (const call_failure &) {
        return false;
    }
}

std::uint64_t runsOf(const json::object &log, const std::string &key)
{
    const json::object &keys = log.at("keys").as_object();
    const json::value *runs = keys.if_contains(key);
    return runs == nullptr ? 0 : runs->to_number<std::uint64_t>();
}

/// How the accepted orders ended.
struct totals
{
    std::size_t accepted = 0;
    std::size_t completed = 0;
    std::size_t unknown = 0;
};

/// Waits for each order's end as read at @p entry and compares it with what the service ran.
totals checkOrders(fleet &running, std::size_t entry, const std::map<std::string, told> &orders)
{
    totals counted;
    for (const auto &[key, what] : orders) {
        INFO(key);
        if (what == told::Accepted) {
            REQUIRE(eventually(
                [&, name = key] {
                    return hasEnded(running, entry, name);
                },
                recoveryPatience));
        }
        const std::uint64_t runs = runsOf(fleet::log(running.service(0)), key);
        CHECK(runs <= 1);
        if (what == told::NotRun) {
            CHECK(runs == 0);
        }
        if (what != told::Accepted) {
            continue;
        }
        ++counted.accepted;
        const http_response result = resultOf(running, entry, key);
        const std::string state = result.field("X-Banyan-State");
        INFO(result.body);
        CHECK((state == "completed" || state == "outcome_unknown"));
        if (state == "completed") {
            ++counted.completed;
            CHECK(runs == 1);
            CHECK(result.body.find("one drum for " + key + "\"") != std::string::npos);
        }
    }
    counted.unknown = counted.accepted - counted.completed;
    WARN("orders: placed " << orders.size() << ", accepted " << counted.accepted << ", completed " << counted.completed << ", unknown "
                           << counted.unknown);
    return counted;
}

void waitForOrders(const order_load &load, std::size_t more)
{
    const std::size_t target = load.placed() + more;
    REQUIRE(eventually([&] {
        return load.placed() >= target;
    }));
}

std::uint64_t startedRuns(fleet &running)
{
    return fleet::log(running.service(0)).at("started").to_number<std::uint64_t>();
}

/// Places orders at the first entry VM at the same time and kills it once all are acknowledged and @p started runs have
/// begun.
std::map<std::string, told> placeAndKill(fleet &running, std::uint64_t started)
{
    std::map<std::string, told> orders;
    std::vector<std::unique_ptr<test_connection>> connections;
    for (int number = 0; number < ordersAtOnce; ++number) {
        const std::string key = "order-" + std::to_string(number);
        connections.push_back(std::make_unique<test_connection>(running.callers(0)));
        connections.back()->send(running.orderMessage(orderRequest(key)));
        orders[key] = told::Nothing;
    }
    for (int number = 0; number < ordersAtOnce; ++number) {
        const bool accepted = isAccepted(connections[static_cast<std::size_t>(number)]->receive());
        orders["order-" + std::to_string(number)] = accepted ? told::Accepted : told::Nothing;
    }
    REQUIRE(eventually([&] {
        return startedRuns(running) >= started;
    }));
    running.entryProcess(0).signal(SIGKILL);
    return orders;
}

} // namespace

TEST_CASE("orders acknowledged by a VM that is killed the instant after complete once")
{
    fleet running({.entries = 3, .serviceArguments = {"--work-ms", "300"}});
    const totals counted = checkOrders(running, 1, placeAndKill(running, 0));
    CHECK(counted.accepted == ordersAtOnce);
    CHECK(counted.completed > 0);
}

TEST_CASE("orders acknowledged and dispatched by the only VM, which is killed, are run by the next one")
{
    fleet running({.entries = 1});
    fleet::setFaults(running.service(0), {{"stall", true}});
    const std::map<std::string, told> orders = placeAndKill(running, 1);
    const std::uint64_t startedBefore = startedRuns(running);
    fleet::setFaults(running.service(0), {{"stall", false}});
    const std::size_t next = running.startEntry();
    running.publishVms();
    const totals counted = checkOrders(running, next, orders);
    CHECK(counted.accepted == ordersAtOnce);
    CHECK(counted.completed > 0);
    CHECK(counted.unknown >= startedBefore); // Their answers are lost with the VM.
}

TEST_CASE("orders complete once while VMs are killed")
{
    fleet running({.entries = 4, .serviceArguments = {"--work-ms", "20"}});
    order_load load(running, 4);
    waitForOrders(load, 30);
    running.entryProcess(0).signal(SIGKILL);
    waitForOrders(load, 20);
    running.entryProcess(2).signal(SIGKILL);
    waitForOrders(load, 20);
    load.stop();
    CHECK(checkOrders(running, 1, load.orders()).accepted > 0);
}

TEST_CASE("orders complete once while a VM is frozen past its lease and then goes on")
{
    fleet running({.entries = 3, .serviceArguments = {"--work-ms", "20"}});
    order_load load(running, 3);
    waitForOrders(load, 30);
    running.entryProcess(0).signal(SIGSTOP);
    std::this_thread::sleep_for(leaseWithMargin); // The lease itself is what is waited for.
    running.entryProcess(0).signal(SIGCONT);
    waitForOrders(load, 10);
    load.stop();
    CHECK(checkOrders(running, 1, load.orders()).accepted > 0);
}

TEST_CASE("orders complete once while the store is cut and loses answers")
{
    fleet running({.entries = 3, .serviceArguments = {"--work-ms", "20"}});
    order_load load(running, 3);
    for (int round = 0; round < 4; ++round) {
        waitForOrders(load, 10);
        fleet::setFaults(running.platform(), {{"lose_answers", 3}});
        waitForOrders(load, 10);
        fleet::setFaults(running.platform(), {{"down", true}});
        waitForOrders(load, 5);
        fleet::setFaults(running.platform(), {{"down", false}});
    }
    waitForOrders(load, 10);
    load.stop();
    const totals counted = checkOrders(running, 1, load.orders());
    CHECK(counted.accepted > 0);
    CHECK(counted.unknown == 0);
}

TEST_CASE("an order sent again gets the same outcome, and other content under its key is refused")
{
    fleet running({.entries = 2});
    http_request order{.method = "POST", .target = "/orders", .fields = {{"Idempotency-Key", "k"}}, .body = "one drum"};
    const http_response first = running.order(0, order);
    const http_response again = running.order(1, order);
    CHECK(first.status == 200);
    CHECK(again.status == 200);
    CHECK(again.body == first.body);
    CHECK(runsOf(fleet::log(running.service(0)), "k") == 1);
    order.body = "two drums";
    CHECK(running.order(1, order).status == 422);
    CHECK(runsOf(fleet::log(running.service(0)), "k") == 1);
}

// Guards against accepted orders that are tried for an hour at the upstreams that their service had, beside idle ones of its new pool.
TEST_CASE("an accepted order runs once its service is given a pool with upstreams")
{
    fleet running({.entries = 2});
    running.patch(json::parse(R"({"services":{"orders":{"pool":"empty"}}})"));
    REQUIRE(isAccepted(running.order(0, orderRequest("k"))));
    CHECK(runsOf(fleet::log(running.service(0)), "k") == 0);
    running.patch(json::parse(R"({"services":{"orders":{"pool":"orders"}}})"));
    CHECK(eventually([&] {
        return runsOf(fleet::log(running.service(0)), "k") == 1;
    }));
}
