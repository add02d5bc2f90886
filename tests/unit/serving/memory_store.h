#pragma once

#include "../../standins/common/memory_tables.h"

#include "banyan/io/asio_types.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/serving/table_store.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <string>

namespace banyan::tests {

/// An in-memory store behind the product's interface, with faults that a test can inject.
class memory_store
{
public:
    explicit memory_store(asio::io_context &context)
        : m_context(context)
    {
    }

    bool down = false; ///< All calls fail without effect.
    int failCalls = 0; ///< Number of next calls that fail without effect.
    int loseAnswers = 0; ///< Number of next commits that take effect but whose answer is lost.
    int loseCommits = 0; ///< Number of next commits that get no answer and take no effect.
    std::string rejectedTable; ///< Commits that write to this table fail.
    std::vector<duration> waits; ///< The wait time of each call of changes.
    standins::memory_tables tables;

    [[nodiscard]] table_store port()
    {
        table_store store;
        store.commit = [this](table_transaction change) -> task<table_commit> {
            check();
            if (std::any_of(change.writes.begin(), change.writes.end(), [this](const table_write &write) {
                    return write.name.table == rejectedTable;
                })) {
                throw platform_unavailable("this table takes no writes");
            }
            if (loseCommits > 0) {
                --loseCommits;
                throw platform_outcome_unknown("lost on the way");
            }
            const table_commit result = tables.commit(change);
            if (loseAnswers > 0) {
                --loseAnswers;
                throw platform_outcome_unknown("answer lost");
            }
            co_return result;
        };
        store.read = [this](table_range range) -> task<table_page> {
            check();
            co_return tables.read(range);
        };
        store.changes = [this](std::string table, row_version after, duration wait) -> task<table_changes> {
            waits.push_back(wait);
            check();
            // Polling is sufficient, since the waits in tests are short.
            const auto until = std::chrono::steady_clock::now() + wait;
            for (;;) {
                table_changes result = tables.changes(table, after);
                if (result.historyLost || !result.rows.empty() || std::chrono::steady_clock::now() >= until || down) {
                    check();
                    co_return result;
                }
                asio::steady_timer timer(m_context, std::chrono::milliseconds(1));
                co_await timer.async_wait(asio::use_awaitable);
            }
        };
        store.putObject = [this](std::string name, std::string bytes) -> task<> {
            check();
            tables.objects.emplace(std::move(name), std::move(bytes));
            co_return;
        };
        store.getObject = [this](std::string name) -> task<std::optional<std::string>> {
            check();
            const auto object = tables.objects.find(name);
            co_return object == tables.objects.end() ? std::nullopt : std::optional(object->second);
        };
        store.dropObject = [this](std::string name) -> task<> {
            check();
            tables.objects.erase(name);
            co_return;
        };
        return store;
    }

private:
    void check()
    {
        if (failCalls > 0) {
            --failCalls;
            throw platform_unavailable("the connection was lost");
        }
        if (down) {
            throw platform_unavailable("the store is down");
        }
    }

    asio::io_context &m_context;
};

} // namespace banyan::tests
