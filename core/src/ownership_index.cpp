#include "banyan/core/ownership_index.h"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::size_t sequenceDigits = 20;

std::string encodeRecords(std::span<const std::string> records)
{
    json::array list;
    for (const std::string &record : records) {
        list.emplace_back(record);
    }
    return json::serialize(list);
}

} // namespace

std::string ownership_index::rowKey(std::uint64_t sequence) const
{
    const std::string digits = std::to_string(sequence);
    return m_prefix + std::string(sequenceDigits - digits.size(), '0') + digits;
}

std::vector<row_write>
ownership_index::writesFor(std::uint64_t sequence, std::span<const std::string> owned, std::span<const std::string> disowned) const
{
    std::vector<row_write> writes;
    if (!owned.empty()) {
        writes.push_back({.key = rowKey(sequence), .value = encodeRecords(owned)});
    }
    std::map<std::string, std::size_t> leaving;
    for (const std::string &record : std::set(disowned.begin(), disowned.end())) {
        const auto found = m_rowOf.find(record);
        if (found != m_rowOf.end()) {
            ++leaving[found->second];
        }
    }
    for (const auto &[key, count] : leaving) {
        if (m_records.at(key).size() == count) {
            writes.push_back({.key = key, .value = std::nullopt});
        }
    }
    return writes;
}

void ownership_index::applied(std::uint64_t sequence, std::span<const std::string> owned, std::span<const std::string> disowned)
{
    for (const std::string &record : disowned) {
        const auto found = m_rowOf.find(record);
        if (found == m_rowOf.end()) {
            continue;
        }
        const auto listed = m_records.find(found->second);
        listed->second.erase(record);
        if (listed->second.empty()) {
            m_records.erase(listed);
        }
        m_rowOf.erase(found);
    }
    for (const std::string &record : owned) {
        m_rowOf[record] = rowKey(sequence);
        m_records[rowKey(sequence)].insert(record);
    }
}

bool ownership_index::emptyAfter(std::span<const std::string> owned, std::span<const std::string> disowned) const
{
    const auto leaves = [this](const std::string &record) {
        return m_rowOf.contains(record);
    };
    const std::set<std::string> unique(disowned.begin(), disowned.end());
    const auto leaving = static_cast<std::size_t>(std::count_if(unique.begin(), unique.end(), leaves));
    return owned.empty() && leaving == m_rowOf.size();
}

std::vector<std::string> parseOwnedRecords(std::string_view value)
{
    try {
        return json::value_to<std::vector<std::string>>(json::parse(json::string_view(value.data(), value.size())));
    } catch (const std::exception &error) {
        throw std::invalid_argument(std::string("row of owned records: ") + error.what());
    }
}

} // namespace banyan
