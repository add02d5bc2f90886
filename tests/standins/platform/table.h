#pragma once

#include <boost/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyan::standins {

/// The rows of the platform's table service, in memory. Takes and returns the JSON of docs/PLATFORM.md.
class table
{
public:
    /// The outcome of commit().
    struct commit_answer
    {
        std::uint64_t version = 0; ///< Of the commit, if it took effect.
        std::vector<std::string> failed; ///< Keys whose condition does not hold; nothing was changed if there is one.
    };

    /// Applies a transaction whole or not at all.
    commit_answer commit(const boost::json::object &transaction);

    /// The row as JSON, or null if it is absent.
    [[nodiscard]] boost::json::value read(const std::string &key) const;

    /// The rows whose keys begin with @p prefix and come after @p after, at most @p limit.
    [[nodiscard]] boost::json::object scan(const std::string &prefix, const std::string &after, std::size_t limit) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }

private:
    struct stored_row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    [[nodiscard]] std::uint64_t versionOf(const std::string &key) const;
    void write(const boost::json::object &change);
    [[nodiscard]] static boost::json::object toJson(const std::string &key, const stored_row &row);

    std::map<std::string, stored_row> m_rows;
    std::uint64_t m_lastCommit = 0;
};

} // namespace banyan::standins
