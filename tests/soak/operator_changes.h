#pragma once

#include "banyan/core/endpoint.h"
#include "process/child_process.h"
#include "process/gateway_fleet.h"

#include <atomic>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace banyan::soak {

/// Changes the configuration of a fleet in a series of its own, beside other faults: the route of jobs moves between the fleet's service
/// and another one, or is split between them, and the replica of the other service comes and leaves.
class operator_changes
{
public:
    /// Starts the replica of the other service, which is not registered yet, and the series. Gateways reach the replica by the address that
    /// @p route gives. @p fleet must outlive this object, and must not be configured by others meanwhile.
    operator_changes(process_tests::gateway_fleet &fleet, const std::function<endpoint(const endpoint &)> &route, unsigned seed);

    /// Ends the replica of the other service, and the series.
    ~operator_changes();

    operator_changes(const operator_changes &) = delete;
    operator_changes &operator=(const operator_changes &) = delete;

    /// Ends the series. The route of jobs is left at the fleet's service, and the other one, to which it had moved before, without its replica.
    void end();

private:
    void run();
    void change();
    void configure(std::vector<std::pair<std::string, int>> services);
    void registerReplica(const std::string &state);
    void removeReplica();
    void pause(int leastMilliseconds, int mostMilliseconds);
    int pick(int least, int most);

    process_tests::gateway_fleet &m_fleet;
    std::mt19937 m_generator;
    process_tests::child_process m_replica;
    endpoint m_address;
    int m_version = 1; ///< Of the last configuration.
    int m_starts = process_tests::gateway_fleet::firstStart;
    std::atomic<bool> m_stop = false;
    std::thread m_thread;
};

} // namespace banyan::soak
