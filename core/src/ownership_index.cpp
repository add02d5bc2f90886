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
ownership_index::writesFor(std::uint64_t sequence, std::span<const std::string> added, std::span<const std::string> removed) const
{
    std::vector<row_write> writes;
    if (!added.empty()) {
        writes.push_back({.key = rowKey(sequence), .value = encodeRecords(added)});
    }
    std::map<std::string, std::size_t> removedCount;
    for (const std::string &record : std::set(removed.begin(), removed.end())) {
        const auto found = m_rowByRecord.find(record);
        if (found != m_rowByRecord.end()) {
            ++removedCount[found->second];
        }
    }
    for (const auto &[key, count] : removedCount) {
        if (m_recordsByRow.at(key).size() == count) {
            writes.push_back({.key = key, .value = std::nullopt});
        }
    }
    return writes;
}

void ownership_index::apply(std::uint64_t sequence, std::span<const std::string> added, std::span<const std::string> removed)
{
    for (const std::string &record : removed) {
        const auto found = m_rowByRecord.find(record);
        if (found == m_rowByRecord.end()) {
            continue;
        }
        const auto listed = m_recordsByRow.find(found->second);
        listed->second.erase(record);
        if (listed->second.empty()) {
            m_recordsByRow.erase(listed);
        }
        m_rowByRecord.erase(found);
    }
    for (const std::string &record : added) {
        m_rowByRecord[record] = rowKey(sequence);
        m_recordsByRow[rowKey(sequence)].insert(record);
    }
}

bool ownership_index::emptyAfter(std::span<const std::string> added, std::span<const std::string> removed) const
{
    const auto isListed = [this](const std::string &record) {
        return m_rowByRecord.contains(record);
    };
    const std::set<std::string> unique(removed.begin(), removed.end());
    const auto removedCount = static_cast<std::size_t>(std::count_if(unique.begin(), unique.end(), isListed));
    return added.empty() && removedCount == m_rowByRecord.size();
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
