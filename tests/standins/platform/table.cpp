#include "table.h"

namespace banyan::standins {

namespace json = boost::json;

table::commit_answer table::commit(const json::object &transaction)
{
    commit_answer answer;
    if (const json::value *conditions = transaction.if_contains("conditions")) {
        for (const json::value &condition : conditions->as_array()) {
            const std::string key = json::value_to<std::string>(condition.at("key"));
            if (versionOf(key) != condition.at("version").to_number<std::uint64_t>()) {
                answer.failed.push_back(key);
            }
        }
    }
    if (!answer.failed.empty()) {
        return answer;
    }
    answer.version = ++m_lastCommit;
    if (const json::value *writes = transaction.if_contains("writes")) {
        for (const json::value &change : writes->as_array()) {
            write(change.as_object());
        }
    }
    return answer;
}

json::value table::read(const std::string &key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? json::value() : json::value(toJson(found->first, found->second));
}

json::object table::scan(const std::string &prefix, const std::string &after, std::size_t limit) const
{
    json::array rows;
    auto position = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    const auto matches = [&] {
        return position != m_rows.end() && position->first.starts_with(prefix);
    };
    for (; matches() && rows.size() < limit; ++position) {
        rows.push_back(toJson(position->first, position->second));
    }
    return {{"rows", rows}, {"more", matches()}};
}

std::uint64_t table::versionOf(const std::string &key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? 0 : found->second.version;
}

void table::write(const json::object &change)
{
    const std::string key = json::value_to<std::string>(change.at("key"));
    const json::value &value = change.at("value");
    if (value.is_null()) {
        m_rows.erase(key);
        return;
    }
    m_rows[key] = {.value = json::value_to<std::string>(value), .version = m_lastCommit};
}

json::object table::toJson(const std::string &key, const stored_row &row)
{
    return {{"key", key}, {"value", row.value}, {"version", row.version}};
}

} // namespace banyan::standins
