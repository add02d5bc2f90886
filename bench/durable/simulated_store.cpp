#include "simulated_store.h"

#include "banyan/io/async_event.h"

#include <memory>
#include <utility>

namespace banyan::bench {

namespace {

constexpr int everybody = -1;

} // namespace

simulated_store::simulated_store(asio::io_context &context, duration callTime)
    : m_context(context)
    , m_callTime(callTime)
{
}

store_port simulated_store::portOf(int node)
{
    store_port port;
    port.commit = [this, node](transaction change) {
        return commit(node, std::move(change));
    };
    port.read = [this, node](std::string key) {
        return read(node, std::move(key));
    };
    port.scan = [this, node](std::string prefix, std::string after, std::size_t limit) {
        return scan(node, std::move(prefix), std::move(after), limit);
    };
    port.now = [this] {
        return m_now;
    };
    port.callAt = [this, node](time_point when, std::function<void()> action) {
        schedule(node, when, std::move(action));
    };
    return port;
}

void simulated_store::kill(int node)
{
    m_dead.insert(node);
}

void simulated_store::callAt(time_point when, std::function<void()> action)
{
    schedule(everybody, when, std::move(action));
}

void simulated_store::schedule(int node, time_point when, std::function<void()> action)
{
    m_events.emplace(std::max(when, m_now), event{.node = node, .action = std::move(action)});
}

void simulated_store::runUntil(time_point until)
{
    const auto poll = [this] {
        m_context.restart();
        m_context.poll();
    };
    poll();
    while (!m_events.empty() && m_events.begin()->first <= until) {
        const auto first = m_events.begin();
        m_now = first->first;
        const event next = std::move(first->second);
        m_events.erase(first);
        if (!m_dead.contains(next.node)) {
            next.action();
            poll();
        }
    }
    m_now = until;
}

task<> simulated_store::takeTime(int node)
{
    const auto over = std::make_shared<async_event>(m_context);
    const auto done = std::make_shared<bool>(false);
    schedule(node, m_now + m_callTime, [over, done] {
        *done = true;
        over->notify();
    });
    while (!*done) {
        co_await over->wait();
    }
}

task<commit_result> simulated_store::commit(int node, transaction change)
{
    co_await takeTime(node);
    const commit_result result = m_table.commit(change);
    m_counts.commits += result.committed ? 1 : 0;
    m_counts.conflicts += result.committed ? 0 : 1;
    m_counts.rows += result.committed ? change.writes.size() : 0;
    co_return result;
}

task<std::optional<row>> simulated_store::read(int node, std::string key)
{
    co_await takeTime(node);
    ++m_counts.reads;
    co_return m_table.read(key);
}

task<row_page> simulated_store::scan(int node, std::string prefix, std::string after, std::size_t limit)
{
    co_await takeTime(node);
    ++m_counts.scans;
    row_page page{.rows = m_table.scan(prefix, after, limit)};
    page.more = page.rows.size() == limit;
    co_return page;
}

} // namespace banyan::bench
