#include "operator_changes.h"

#include <chrono>
#include <cstdio>
#include <exception>
#include <utility>
#include <vector>

namespace banyan::soak {

using namespace process_tests;

namespace {

const std::string usualService = "s"; // Of the fleet's replicas.
const std::string otherService = "t";
const std::string otherVersion = "t1"; // Differs from all of the fleet's, so that outputs of two services are noticed.
const std::string replicaId = "operator-replica";
constexpr std::chrono::milliseconds step(20);
constexpr std::chrono::milliseconds timeToWait(500); // For items to claim slots of the other service.

} // namespace

operator_changes::operator_changes(gateway_fleet &fleet, const std::function<endpoint(const endpoint &)> &route, unsigned seed)
    : m_fleet(fleet)
    , m_generator(seed)
    , m_replica({.program = "tests/replica_standin", .arguments = {"--id", replicaId, "--slots", "8", "--software", otherVersion}})
    , m_address(route(endpoint::parse(m_replica.readyValue("address"))))
    , m_thread([this] {
        run();
    })
{
}

operator_changes::~operator_changes()
{
    end();
}

void operator_changes::end()
{
    m_stop = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void operator_changes::run()
{
    try {
        while (!m_stop) {
            pause(100, 1200);
            change();
        }
        configure({{otherService, 1}});
        std::this_thread::sleep_for(timeToWait);
        removeReplica();
        configure({{usualService, 1}});
    } catch (const std::exception &error) {
        std::printf("operator=failed error=\"%s\"\n", error.what());
    }
}

void operator_changes::change()
{
    switch (pick(0, 5)) {
    case 0:
        configure({{usualService, 1}});
        break;
    case 1:
        configure({{otherService, 1}});
        break;
    case 2:
        configure({{usualService, pick(1, 9)}, {otherService, pick(1, 9)}});
        break;
    case 3:
        removeReplica();
        break;
    case 4:
        registerReplica("ready");
        break;
    default:
        configure({{otherService, 1}});
        pause(0, 300);
        removeReplica();
        pause(0, 500);
        configure({{usualService, 1}});
    }
}

void operator_changes::configure(std::vector<std::pair<std::string, int>> services)
{
    std::string text;
    for (const auto &[service, weight] : services) {
        text += " " + service + ":" + std::to_string(weight);
    }
    std::printf("operator=jobs at%s\n", text.c_str());
    m_fleet.setJobServices(std::move(services));
    m_fleet.configure(++m_version);
}

void operator_changes::registerReplica(const std::string &state)
{
    std::printf("operator=the other service's replica is %s\n", state.c_str());
    m_fleet.registerUpstream(replicaId, m_address, otherService, otherVersion, state, m_starts);
}

void operator_changes::removeReplica()
{
    registerReplica("draining");
    pause(0, 1000);
    std::printf("operator=the other service's replica is gone\n");
    m_fleet.removeUpstream(replicaId);
    ++m_starts;
}

/// Shorter if the series is to end.
void operator_changes::pause(int leastMilliseconds, int mostMilliseconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(pick(leastMilliseconds, mostMilliseconds));
    while (!m_stop && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(step);
    }
}

int operator_changes::pick(int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(m_generator);
}

} // namespace banyan::soak
