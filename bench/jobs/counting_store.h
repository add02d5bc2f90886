#pragma once

#include "../../tests/unit/virtual_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace banyan::bench {

/// What the platform's store was asked to do.
struct store_counts
{
    std::uint64_t transactions = 0;
    std::uint64_t rowsWritten = 0;
    std::uint64_t rowBytes = 0;
    std::uint64_t rowReads = 0; ///< Rows read and scans.
    std::uint64_t objectsWritten = 0;
    std::uint64_t objectBytes = 0;
    std::uint64_t objectsRead = 0;

    [[nodiscard]] store_counts since(const store_counts &before) const
    {
        return {.transactions = transactions - before.transactions,
                .rowsWritten = rowsWritten - before.rowsWritten,
                .rowBytes = rowBytes - before.rowBytes,
                .rowReads = rowReads - before.rowReads,
                .objectsWritten = objectsWritten - before.objectsWritten,
                .objectBytes = objectBytes - before.objectBytes,
                .objectsRead = objectsRead - before.objectsRead};
    }
};

/// A virtual_store whose calls are counted and take some time.
class counting_store
{
public:
    static constexpr duration callTime = std::chrono::milliseconds(5);

    tests::virtual_store world;
    store_counts counts;
    bool keepsObjects = true; ///< Else objects are dropped as they are stored, for measures of memory.
    std::function<std::optional<std::string>(const std::string &name)> makeObject; ///< For objects that are not kept.
    std::function<void()> called; ///< At each call.

    store_port port(const std::shared_ptr<tests::virtual_store::faults> &state)
    {
        store_port port = world.port(state);
        port.commit = [this, state](transaction change) -> task<commit_result> {
            co_await delay();
            check(*state);
            ++counts.transactions;
            counts.rowsWritten += change.writes.size();
            for (const row_write &write : change.writes) {
                counts.rowBytes += write.value ? write.value->size() : 0;
            }
            co_return commit(change);
        };
        port.read = [this, state](std::string key) -> task<std::optional<row>> {
            co_await delay();
            check(*state);
            ++counts.rowReads;
            const auto found = m_rows.find(key);
            co_return found == m_rows.end() ? std::nullopt : std::optional(found->second);
        };
        port.scan = [this, state](std::string prefix, std::string after, std::size_t limit) -> task<row_page> {
            co_await delay();
            check(*state);
            ++counts.rowReads;
            row_page page;
            for (auto next = m_rows.lower_bound(prefix); next != m_rows.end() && next->first.starts_with(prefix); ++next) {
                if (next->first > after) {
                    page.more = page.rows.size() == limit;
                    if (page.more) {
                        break;
                    }
                    page.rows.push_back(next->second);
                }
            }
            co_return page;
        };
        setObjectCalls(port, state);
        return port;
    }

    /// The value of a row; empty if it is absent.
    [[nodiscard]] std::string valueOf(const std::string &key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? std::string() : found->second.value;
    }

private:
    static void check(const tests::virtual_store::faults &state)
    {
        if (state.down) {
            throw platform_unavailable("down");
        }
    }

    task<> delay()
    {
        if (called) {
            called();
        }
        co_await sleepUntil(timePort(), world.now() + callTime);
    }

    store_port timePort()
    {
        return world.port(std::make_shared<tests::virtual_store::faults>());
    }

    commit_result commit(const transaction &change)
    {
        commit_result result;
        for (const row_condition &condition : change.conditions) {
            const auto found = m_rows.find(condition.key);
            if ((found == m_rows.end() ? 0 : found->second.version) != condition.version) {
                result.failedKeys.push_back(condition.key);
            }
        }
        if (!result.failedKeys.empty()) {
            return result;
        }
        result.committed = true;
        result.version = ++m_lastCommit;
        for (const row_write &write : change.writes) {
            if (write.value) {
                m_rows[write.key] = row{.key = write.key, .value = *write.value, .version = result.version};
            } else {
                m_rows.erase(write.key);
            }
        }
        return result;
    }

    void setObjectCalls(store_port &port, const std::shared_ptr<tests::virtual_store::faults> &state)
    {
        port.putObject = [this, state](std::string name, std::string bytes) -> task<> {
            co_await delay();
            check(*state);
            ++counts.objectsWritten;
            counts.objectBytes += bytes.size();
            if (keepsObjects) {
                world.objects[name] = std::move(bytes);
            }
        };
        port.getObject = [this, state](std::string name) -> task<std::optional<std::string>> {
            co_await delay();
            check(*state);
            ++counts.objectsRead;
            if (makeObject) {
                co_return makeObject(name);
            }
            const auto found = world.objects.find(name);
            co_return found == world.objects.end() ? std::nullopt : std::optional(found->second);
        };
    }

    std::map<std::string, row> m_rows;
    row_version m_lastCommit = 0;
};

} // namespace banyan::bench
