#pragma once

#include "banyan/core/transaction.h"

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyan::tests {

/// In-memory implementation of the platform's table service that records the committed transactions.
class fake_table
{
public:
    bool reportsOneFailure = false; ///< Report only the last failed condition instead of all.

    commit_result commit(const transaction &change)
    {
        commit_result result;
        for (const row_condition &condition : change.conditions) {
            if (versionOf(condition.key) != condition.version) {
                result.failedKeys.push_back(condition.key);
            }
        }
        if (!result.failedKeys.empty()) {
            if (reportsOneFailure) {
                result.failedKeys = {result.failedKeys.back()};
            }
            return result;
        }
        result.committed = true;
        result.version = ++m_lastCommit;
        for (const row_write &write : change.writes) {
            apply(write);
        }
        m_history.push_back(change);
        return result;
    }

    [[nodiscard]] std::optional<row> read(const std::string &key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? std::nullopt : std::optional(found->second);
    }

    /// Returns the rows whose keys start with @p prefix and are greater than @p after, at most @p limit.
    [[nodiscard]] std::vector<row>
    scan(const std::string &prefix, const std::string &after = {}, std::size_t limit = std::numeric_limits<std::size_t>::max()) const
    {
        std::vector<row> rows;
        for (auto next = m_rows.lower_bound(prefix); next != m_rows.end() && next->first.starts_with(prefix); ++next) {
            if (next->first > after && rows.size() < limit) {
                rows.push_back(next->second);
            }
        }
        return rows;
    }

    /// Returns the committed transactions in order.
    [[nodiscard]] const std::vector<transaction> &history() const
    {
        return m_history;
    }

    /// Returns how often a row was written or deleted.
    [[nodiscard]] std::size_t writesTo(const std::string &key) const
    {
        const auto found = m_writes.find(key);
        return found == m_writes.end() ? 0 : found->second;
    }

private:
    [[nodiscard]] row_version versionOf(const std::string &key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? 0 : found->second.version;
    }

    void apply(const row_write &write)
    {
        ++m_writes[write.key];
        if (write.value) {
            m_rows[write.key] = {.key = write.key, .value = *write.value, .version = m_lastCommit};
        } else {
            m_rows.erase(write.key);
        }
    }

    std::map<std::string, row> m_rows;
    std::map<std::string, std::size_t> m_writes;
    std::vector<transaction> m_history;
    row_version m_lastCommit = 0;
};

} // namespace banyan::tests
