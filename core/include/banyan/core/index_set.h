#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace banyan {

/// A set of item indexes stored as ranges, so that its memory grows with the number of gaps and not of items.
///
/// @code
/// index_set done;
/// done.insert(0);
/// done.insert(1);
/// done.insert(5);
/// done.toString();   // "0-1,5"
/// @endcode
class index_set
{
public:
    /// Adds @p index. Returns false if it was already in the set.
    bool insert(std::uint32_t index);

    /// Removes @p index. Returns false if it was not in the set.
    bool erase(std::uint32_t index);

    [[nodiscard]] bool contains(std::uint32_t index) const;

    /// The smallest index at or after @p from that is not in the set.
    [[nodiscard]] std::uint32_t firstAbsent(std::uint32_t from) const;

    /// The number of indexes in the set.
    [[nodiscard]] std::uint32_t size() const
    {
        return m_size;
    }

    /// The number of ranges that store the set.
    [[nodiscard]] std::size_t ranges() const
    {
        return m_ranges.size();
    }

    /// Formats the ranges in order, for example "0-511,513,600-601"; an empty string for the empty set.
    [[nodiscard]] std::string toString() const;

    /// Parses the form that toString() writes; none if @p text does not have that form.
    [[nodiscard]] static std::optional<index_set> parse(std::string_view text);

    auto operator<=>(const index_set &) const = default;

private:
    std::map<std::uint32_t, std::uint32_t> m_ranges; ///< First index to last index of each range; ranges are never adjacent.
    std::uint32_t m_size = 0;
};

} // namespace banyan
