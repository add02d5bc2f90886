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

/// Maintains rows in the table service that list the records a node owns, so that another node can take them over.
///
/// There is one row for each transaction that added records. It is deleted when the last of them has been removed, and may
/// still name records that have been removed.
class ownership_index
{
public:
    /// @p prefix is the common prefix of the row keys, for example "owned/NODE/".
    explicit ownership_index(std::string prefix)
        : m_prefix(std::move(prefix))
    {
    }

    /// The index writes that belong in the transaction @p sequence, which adds and removes these records.
    [[nodiscard]] std::vector<row_write>
    writesFor(std::uint64_t sequence, std::span<const std::string> added, std::span<const std::string> removed) const;

    /// Updates the index after the transaction @p sequence has taken effect.
    void apply(std::uint64_t sequence, std::span<const std::string> added, std::span<const std::string> removed);

    /// The number of records owned.
    [[nodiscard]] std::size_t size() const
    {
        return m_rowByRecord.size();
    }

    /// Whether no records would be owned after a transaction that adds and removes these.
    [[nodiscard]] bool emptyAfter(std::span<const std::string> added, std::span<const std::string> removed) const;

private:
    [[nodiscard]] std::string rowKey(std::uint64_t sequence) const;

    std::string m_prefix;
    std::map<std::string, std::string> m_rowByRecord; ///< Key of the row that lists a record.
    std::map<std::string, std::set<std::string>> m_recordsByRow; ///< Records of a row that are still owned.
};

/// Parses the records that a row of the index lists. @throws std::invalid_argument if @p value is malformed.
[[nodiscard]] std::vector<std::string> parseOwnedRecords(std::string_view value);

} // namespace banyan
