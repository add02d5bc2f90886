#pragma once

#include "../../tests/property/fake_table.h"
#include "banyan/io/store_port.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace banyan::bench {

/// What a store was asked.
struct store_counts
{
    std::uint64_t commits = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t rows = 0; ///< Written or deleted.
    std::uint64_t reads = 0;
    std::uint64_t scans = 0;
};

/// The platform's store in memory, which takes the same time for each call, and the time of all nodes, which passes as
/// fast as the events are worked off.
class simulated_store
{
public:
    simulated_store(asio::io_context &context, duration callTime);

    /// The port of one node.
    [[nodiscard]] store_port portOf(int node);

    /// Nothing of the node happens from now on.
    void kill(int node);

    /// Works off all events up to @p until.
    void runUntil(time_point until);

    /// Calls @p action at @p when.
    void callAt(time_point when, std::function<void()> action);

    [[nodiscard]] time_point now() const
    {
        return m_now;
    }

    [[nodiscard]] const store_counts &counts() const
    {
        return m_counts;
    }

    [[nodiscard]] const tests::fake_table &table() const
    {
        return m_table;
    }

private:
    struct event
    {
        int node = 0;
        std::function<void()> action;
    };

    task<> takeTime(int node);
    task<commit_result> commit(int node, transaction change);
    task<std::optional<row>> read(int node, std::string key);
    task<row_page> scan(int node, std::string prefix, std::string after, std::size_t limit);
    void schedule(int node, time_point when, std::function<void()> action);

    asio::io_context &m_context;
    duration m_callTime;
    time_point m_now{};
    tests::fake_table m_table;
    store_counts m_counts;
    std::multimap<time_point, event> m_events;
    std::set<int> m_dead;
};

} // namespace banyan::bench
