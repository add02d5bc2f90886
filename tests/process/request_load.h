#pragma once

#include "gateway_fleet.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace banyan::process_tests {

/// Sends requests to every gateway of a fleet until it is destroyed, one after the other from a thread for each gateway.
class request_load
{
public:
    struct options
    {
        std::string path;
        std::vector<http_field> fields = {};
        std::chrono::milliseconds pause{20}; ///< Between an answer and the next request.
    };

    /// @p fleet must outlive the load.
    request_load(const gateway_fleet &fleet, const options &wanted)
    {
        static std::atomic<int> loads = 0;
        const std::string name = "load" + std::to_string(++loads);
        for (std::size_t gateway = 0; gateway < fleet.gatewayCount(); ++gateway) {
            m_threads.emplace_back([this, &fleet, wanted, gateway, name] {
                for (int number = 0; !m_stop; ++number) {
                    send(fleet, wanted, gateway, name + "-" + std::to_string(gateway) + "-" + std::to_string(number));
                    std::this_thread::sleep_for(wanted.pause);
                }
            });
        }
    }

    ~request_load()
    {
        m_stop = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    request_load(const request_load &) = delete;
    request_load &operator=(const request_load &) = delete;

    /// Number of requests that were not answered with 200.
    [[nodiscard]] int failures() const
    {
        return m_failures;
    }

private:
    void send(const gateway_fleet &fleet, const options &wanted, std::size_t gateway, const std::string &id)
    {
        try {
            m_failures += fleet.send(gateway, wanted.path, id, wanted.fields).status == 200 ? 0 : 1;
        } catch (const std::exception &) {
            ++m_failures; // The gateway may have been killed.
        }
    }

    std::atomic<bool> m_stop = false;
    std::atomic<int> m_failures = 0;
    std::vector<std::thread> m_threads;
};

} // namespace banyan::process_tests
