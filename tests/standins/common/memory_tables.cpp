#include "memory_tables.h"

#include <algorithm>

namespace banyan::standins {

table_commit memory_tables::commit(const table_transaction &change)
{
    for (const table_condition &condition : change.conditions) {
        const auto row = m_rows.find(condition.name);
        if ((row == m_rows.end() ? 0 : row->second.version) != condition.version) {
            return {};
        }
    }
    ++m_version;
    for (const table_write &write : change.writes) {
        const table_row row{.name = write.name, .value = write.value, .version = m_version};
        m_rows.insert_or_assign(write.name, row);
        m_history.push_back(row);
    }
    for (const table_key &name : change.removals) {
        if (m_rows.erase(name) > 0) {
            m_history.push_back({.name = name, .value = {}, .version = m_version, .deleted = true});
        }
    }
    return {.committed = true, .version = m_version};
}

table_page memory_tables::read(const table_range &range) const
{
    table_page page{.rows = {}, .more = false, .version = m_version, .storeTime = clock()};
    for (auto row = m_rows.lower_bound({range.table, range.part, range.from}); row != m_rows.end(); ++row) {
        const table_key &name = row->first;
        if (name.table != range.table || name.part != range.part || (!range.to.empty() && name.key >= range.to)) {
            break;
        }
        if (page.rows.size() == range.limit) {
            page.more = true;
            break;
        }
        page.rows.push_back(row->second);
    }
    return page;
}

table_changes memory_tables::changes(const std::string &table, row_version after) const
{
    if (after < m_forgotten) {
        return {.historyLost = true};
    }
    table_changes result{.rows = {}, .version = m_version};
    std::copy_if(m_history.begin(), m_history.end(), std::back_inserter(result.rows), [&](const table_row &row) {
        return row.name.table == table && row.version > after;
    });
    return result;
}

void memory_tables::forgetHistory()
{
    m_forgotten = m_version;
    m_history.clear();
}

std::optional<table_row> memory_tables::find(const table_key &name) const
{
    const auto row = m_rows.find(name);
    return row == m_rows.end() ? std::nullopt : std::optional(row->second);
}

} // namespace banyan::standins
