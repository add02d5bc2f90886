#pragma once

#include "../property/fake_table.h"

#include "banyan/io/asio_types.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/store_port.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace banyan::tests {

/// The platform's store in memory and a time that passes only when nothing else is to be done.
class virtual_store
{
public:
    /// Faults of one node's way to the store.
    struct faults
    {
        bool down = false;
        std::uint32_t loseEvery = 0; ///< The answer of every n-th commit is lost after its effect; 0: of none.
        std::uint32_t commits = 0;
    };

    asio::io_context context;
    fake_table table;
    std::map<std::string, std::string> objects;
    std::uint64_t reads = 0;
    std::uint64_t scans = 0;
    std::uint64_t objectWrites = 0;

    [[nodiscard]] time_point now() const
    {
        return m_now;
    }

    /// A node's way to the store.
    store_port port(const std::shared_ptr<faults> &state)
    {
        store_port port;
        port.commit = [this, state](transaction change) -> task<commit_result> {
            check(*state);
            const commit_result result = table.commit(change);
            ++state->commits;
            if (state->loseEvery > 0 && state->commits % state->loseEvery == 0) {
                throw platform_outcome_unknown("answer lost");
            }
            co_return result;
        };
        port.read = [this, state](std::string key) -> task<std::optional<row>> {
            check(*state);
            ++reads;
            co_return table.read(key);
        };
        port.scan = [this, state](std::string prefix, std::string after, std::size_t limit) -> task<row_page> {
            check(*state);
            ++scans;
            row_page page{.rows = table.scan(prefix, after, limit + 1)};
            page.more = page.rows.size() > limit;
            page.rows.resize(std::min(limit, page.rows.size()));
            co_return page;
        };
        setObjectCalls(port, state);
        port.now = [this] {
            return m_now;
        };
        port.callAt = [this](time_point when, std::function<void()> action) {
            m_timers.emplace(std::max(when, m_now), std::move(action));
        };
        return port;
    }

    void callAfter(duration delay, std::function<void()> action)
    {
        m_timers.emplace(m_now + delay, std::move(action));
    }

    /// Lets time pass until @p done, at most @p limit.
    bool runUntil(const std::function<bool()> &done, duration limit = std::chrono::hours(1))
    {
        const time_point end = m_now + limit;
        for (;;) {
            context.restart();
            context.poll();
            if (done()) {
                return true;
            }
            if (m_timers.empty() || m_timers.begin()->first > end) {
                m_now = end;
                return false;
            }
            const auto next = m_timers.begin();
            m_now = next->first;
            const auto action = std::move(next->second);
            m_timers.erase(next);
            action();
        }
    }

    void runFor(duration time)
    {
        runUntil(
            [] {
                return false;
            },
            time);
    }

    /// Waits for a task's result; passes its exception on.
    template<typename T>
    T get(task<T> work)
    {
        std::optional<T> result;
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(work), [&](std::exception_ptr error, T value) {
            failure = std::move(error);
            if (!failure) {
                result = std::move(value);
            }
        });
        runUntil([&] {
            return result || failure;
        });
        if (failure) {
            std::rethrow_exception(failure);
        }
        return std::move(result).value();
    }

    void get(task<> work)
    {
        bool ended = false;
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(work), [&](std::exception_ptr error) {
            failure = std::move(error);
            ended = true;
        });
        runUntil([&] {
            return ended;
        });
        if (failure) {
            std::rethrow_exception(failure);
        }
        if (!ended) {
            throw std::runtime_error("expected the task to end");
        }
    }

private:
    static void check(const faults &state)
    {
        if (state.down) {
            throw platform_unavailable("down");
        }
    }

    void setObjectCalls(store_port &port, const std::shared_ptr<faults> &state)
    {
        port.putObject = [this, state](std::string name, std::string bytes) -> task<> {
            check(*state);
            ++objectWrites;
            objects[name] = std::move(bytes);
            co_return;
        };
        port.getObject = [this, state](std::string name) -> task<std::optional<std::string>> {
            check(*state);
            const auto found = objects.find(name);
            if (found == objects.end()) {
                co_return std::nullopt;
            }
            co_return found->second;
        };
        port.deleteObject = [this, state](std::string name) -> task<> {
            check(*state);
            objects.erase(name);
            co_return;
        };
    }

    time_point m_now{std::chrono::hours(24 * 365)};
    std::multimap<time_point, std::function<void()>> m_timers;
};

} // namespace banyan::tests
