#pragma once

#include "banyan/core/configuration_history.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/configuration_service.h"
#include "banyan/io/fleet_service.h"
#include "banyan/io/http_client.h"
#include "banyan/io/platform_client.h"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyan::process_tests {

/// The fleet and configuration services of some nodes in the test's own process, against a platform that is a process.
/// Gossip goes over real sockets; the calls between nodes are function calls.
class fleet_nodes
{
public:
    struct node
    {
        node(fleet_nodes &owner, std::size_t index, const endpoint &platformAddress, std::vector<endpoint> seeds);

        http_client client;
        platform_client platform;
        configuration_history history;
        fleet_service fleet;
        configuration_service configurations;
    };

    explicit fleet_nodes(const endpoint &platform);

    /// Starts a node that looks for the others at the addresses of those that run.
    node &start();

    [[nodiscard]] node &at(std::size_t index)
    {
        return *m_nodes[index];
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_nodes.size();
    }

    /// Runs all nodes until @p condition holds. Returns false if it does not in time.
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition);

    /// Whether each node has the configuration of that version in force.
    [[nodiscard]] bool allAt(configuration_version version);

    /// Runs @p works together to their ends.
    template<typename T>
    std::vector<T> runAll(std::vector<task<T>> works)
    {
        std::map<std::size_t, T> results;
        for (std::size_t index = 0; index < works.size(); ++index) {
            asio::co_spawn(m_context, std::move(works[index]), [&results, index](const std::exception_ptr &error, T value) {
                REQUIRE(error == nullptr);
                results.emplace(index, std::move(value));
            });
        }
        REQUIRE(runUntil([&] {
            return results.size() == works.size();
        }));
        std::vector<T> ordered;
        ordered.reserve(results.size());
        for (auto &entry : results) {
            ordered.push_back(std::move(entry.second));
        }
        return ordered;
    }

    template<typename T>
    T run(task<T> work)
    {
        std::vector<task<T>> works;
        works.push_back(std::move(work));
        return runAll(std::move(works)).front();
    }

private:
    asio::io_context m_context;
    endpoint m_platform;
    std::vector<std::unique_ptr<node>> m_nodes;
};

} // namespace banyan::process_tests
