#pragma once

#include "banyan/io/async_event.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/store_port.h"
#include "property/fake_table.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace banyan::tests {

/// Simulates the platform's store, the network and the clock of several nodes under control of a test. The test decides when
/// each call takes effect and is answered, in any order, or whether it fails or loses its answer, and can pause and kill nodes.
class fake_platform
{
public:
    explicit fake_platform(asio::io_context &context)
        : m_context(context)
    {
    }

    /// Fault that the test injects into a call.
    enum class fault {
        None,
        Refused, ///< The call has no effect, and the caller knows.
        LostBefore, ///< The call fails at the caller now; it may take effect later, or never.
        LostAfter, ///< The call takes effect, but the caller does not get the answer.
    };

    fake_table table;
    bool down = false; ///< Every call fails without effect.

    [[nodiscard]] time_point now() const
    {
        return m_now;
    }

    /// Returns the store port of one node. Calls of a paused or killed node are not answered.
    [[nodiscard]] store_port portOf(int node)
    {
        store_port port;
        port.commit = [this, node](transaction change) -> task<commit_result> {
            return call<commit_result>(node, true, [this, change = std::move(change)] {
                return table.commit(change);
            });
        };
        port.read = [this, node](std::string key) -> task<std::optional<row>> {
            return call<std::optional<row>>(node, false, [this, key = std::move(key)] {
                return table.read(key);
            });
        };
        port.scan = [this, node](const std::string &prefix, const std::string &after, std::size_t limit) -> task<row_page> {
            return call<row_page>(node, false, [this, prefix, after, limit] {
                row_page page{.rows = table.scan(prefix, after, limit)};
                page.more = page.rows.size() == limit;
                return page;
            });
        };
        port.putObject = [this, node](std::string name, std::string bytes) -> task<> {
            return put(node, std::move(name), std::move(bytes));
        };
        port.getObject = [this, node](const std::string &name) -> task<std::optional<std::string>> {
            return call<std::optional<std::string>>(node, false, [this, name] {
                const auto found = m_objects.find(name);
                return found == m_objects.end() ? std::nullopt : std::optional(found->second);
            });
        };
        port.deleteObject = [this, node](std::string name) -> task<> {
            return remove(node, std::move(name));
        };
        port.now = [this] {
            return m_now;
        };
        port.callAt = [this, node](time_point when, std::function<void()> action) {
            m_timers.push_back({.node = node, .when = when, .action = std::move(action)});
        };
        return port;
    }

    /// Suspends the caller until the test resumes it by advance(); for steps other than calls to the store.
    [[nodiscard]] task<> park(int node)
    {
        return parkCall(node);
    }

    void pause(int node, bool paused)
    {
        paused ? (void)m_paused.insert(node) : (void)m_paused.erase(node);
    }

    void kill(int node)
    {
        m_dead.insert(node);
    }

    [[nodiscard]] bool paused(int node) const
    {
        return m_paused.contains(node);
    }

    [[nodiscard]] bool dead(int node) const
    {
        return m_dead.contains(node);
    }

    /// Advances one pending call. Returns false if there is none.
    bool advance(std::size_t choice, fault what);

    /// Advances the clock by @p span and runs the due timers of running nodes.
    void passTime(duration span);

    /// Returns the due time of the earliest timer of a running node.
    [[nodiscard]] std::optional<time_point> nextTimer() const;

    /// Runs all ready handlers.
    void poll()
    {
        m_context.restart();
        m_context.poll();
    }

private:
    struct pending_call
    {
        explicit pending_call(asio::io_context &context)
            : answered(context)
        {
        }

        int node = 0;
        bool change = false;
        std::function<void()> effect; ///< Unset once the call has taken effect.
        fault end = fault::None;
        bool ready = false;
        async_event answered;
    };

    struct timer
    {
        int node = 0;
        time_point when;
        std::function<void()> action;
    };

    template<typename Result>
    task<Result> call(int node, bool change, std::function<Result()> effect);
    task<> parkCall(int node);
    task<> put(int node, std::string name, std::string bytes);
    task<> remove(int node, std::string name);

    [[nodiscard]] bool running(int node) const
    {
        return !m_dead.contains(node) && !m_paused.contains(node);
    }

    asio::io_context &m_context;
    time_point m_now{};
    std::set<int> m_paused;
    std::set<int> m_dead;
    std::map<std::string, std::string> m_objects;
    std::vector<std::shared_ptr<pending_call>> m_calls;
    std::list<timer> m_timers;
};

template<typename Result>
task<Result> fake_platform::call(int node, bool change, std::function<Result()> effect)
{
    const auto pending = std::make_shared<pending_call>(m_context);
    const auto result = std::make_shared<std::optional<Result>>();
    pending->node = node;
    pending->change = change;
    pending->effect = [result, effect = std::move(effect)] {
        *result = effect();
    };
    m_calls.push_back(pending);
    while (!pending->ready) {
        co_await pending->answered.wait();
    }
    if (pending->end != fault::None && pending->end != fault::Refused && change) {
        throw platform_outcome_unknown("answer lost");
    }
    if (pending->end != fault::None) {
        throw platform_unavailable("refused");
    }
    co_return **result;
}

inline task<> fake_platform::parkCall(int node)
{
    const auto pending = std::make_shared<pending_call>(m_context);
    pending->node = node;
    m_calls.push_back(pending);
    while (!pending->ready) {
        co_await pending->answered.wait();
    }
}

inline task<> fake_platform::put(int node, std::string name, std::string bytes)
{
    // A named variable, because GCC 12 destroys a temporary lambda in a co_await expression twice.
    std::function<bool()> effect = [this, name, bytes] {
        m_objects[name] = bytes;
        return true;
    };
    co_await call<bool>(node, true, std::move(effect));
}

inline task<> fake_platform::remove(int node, std::string name)
{
    std::function<bool()> effect = [this, name] {
        m_objects.erase(name);
        return true;
    };
    co_await call<bool>(node, true, std::move(effect));
}

inline bool fake_platform::advance(std::size_t choice, fault what)
{
    if (m_calls.empty()) {
        return false;
    }
    const std::size_t index = choice % m_calls.size();
    const std::shared_ptr<pending_call> chosen = m_calls[index];
    what = down && chosen->effect ? fault::Refused : what;
    const bool awaited = !chosen->ready && !dead(chosen->node);
    if (awaited && (chosen->effect || what == fault::LostAfter)) {
        chosen->end = what;
    }
    if (chosen->effect && awaited && what == fault::Refused) {
        chosen->effect = nullptr;
    } else if (chosen->effect && !(awaited && what == fault::LostBefore)) {
        std::exchange(chosen->effect, nullptr)();
    }
    if (!chosen->ready && running(chosen->node)) {
        chosen->ready = true;
        chosen->answered.notify();
    }
    const bool finished = !chosen->effect && (chosen->ready || dead(chosen->node));
    if (finished) {
        m_calls.erase(m_calls.begin() + static_cast<std::ptrdiff_t>(index));
    }
    poll();
    return true;
}

inline void fake_platform::passTime(duration span)
{
    m_now += span;
    std::vector<std::function<void()>> due;
    for (auto next = m_timers.begin(); next != m_timers.end();) {
        if (dead(next->node)) {
            next = m_timers.erase(next);
        } else if (next->when <= m_now && !paused(next->node)) {
            due.push_back(std::move(next->action));
            next = m_timers.erase(next);
        } else {
            ++next;
        }
    }
    for (const auto &action : due) {
        action();
    }
    poll();
}

inline std::optional<time_point> fake_platform::nextTimer() const
{
    std::optional<time_point> earliest;
    for (const timer &candidate : m_timers) {
        if (running(candidate.node) && (!earliest || candidate.when < *earliest)) {
            earliest = candidate.when;
        }
    }
    return earliest;
}

} // namespace banyan::tests
