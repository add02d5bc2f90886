#pragma once

#include "banyan/core/transaction.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Lists in the table service which records a node owns, for the one who takes them over: one row for each transaction
/// that brought records in, deleted when the last of them has left. A row may still name records that have left.
class ownership_index
{
public:
    /// Records the rows' common prefix, for example "owned/NODE/".
    explicit ownership_index(std::string prefix)
        : m_prefix(std::move(prefix))
    {
    }

    /// The writes that belong into the transaction @p sequence, which brings in and lets go of these records.
    [[nodiscard]] std::vector<row_write>
    writesFor(std::uint64_t sequence, std::span<const std::string> added, std::span<const std::string> removed) const;

    /// Takes in that the transaction took effect.
    void apply(std::uint64_t sequence, std::span<const std::string> added, std::span<const std::string> removed);

    /// Records owned.
    [[nodiscard]] std::size_t size() const
    {
        return m_rowByRecord.size();
    }

    /// Whether nothing would be owned after a transaction.
    [[nodiscard]] bool emptyAfter(std::span<const std::string> added, std::span<const std::string> removed) const;

private:
    [[nodiscard]] std::string rowKey(std::uint64_t sequence) const;

    std::string m_prefix;
    std::map<std::string, std::string> m_rowByRecord; ///< Row that lists a record.
    std::map<std::string, std::set<std::string>> m_recordsByRow; ///< Records of a row that have not left.
};

/// The records that a row of the index names. @throws std::invalid_argument
[[nodiscard]] std::vector<std::string> parseOwnedRecords(std::string_view value);

} // namespace banyan
