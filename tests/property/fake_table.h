#pragma once

#include "banyan/core/transaction.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// The platform's table service as one map: the naive version that tests compare against.
class fake_table
{
public:
    [[nodiscard]] std::optional<row> read(const std::string &key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? std::nullopt : std::optional(found->second);
    }

    commit_result commit(const transaction &change)
    {
        commit_result result;
        for (const row_condition &condition : change.conditions) {
            const std::optional<row> stored = read(condition.key);
            if ((stored ? stored->version : 0) != condition.version) {
                result.failedKeys.push_back(condition.key);
            }
        }
        if (!result.failedKeys.empty()) {
            return result;
        }
        result.committed = true;
        result.version = ++m_commits;
        for (const row_write &write : change.writes) {
            store(write);
        }
        return result;
    }

    [[nodiscard]] std::vector<row> scan(const std::string &prefix) const
    {
        std::vector<row> result;
        for (auto entry = m_rows.lower_bound(prefix); entry != m_rows.end() && entry->first.starts_with(prefix); ++entry) {
            result.push_back(entry->second);
        }
        return result;
    }

private:
    void store(const row_write &write)
    {
        if (write.value) {
            m_rows[write.key] = {.key = write.key, .value = *write.value, .version = m_commits};
        } else {
            m_rows.erase(write.key);
        }
    }

    std::map<std::string, row> m_rows;
    row_version m_commits = 0;
};

} // namespace banyan
