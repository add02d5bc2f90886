#include "banyan/core/index_set.h"

#include <charconv>
#include <iterator>

namespace banyan {

namespace {

std::optional<std::uint32_t> consumeNumber(std::string_view &text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc()) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

bool consumeCharacter(std::string_view &text, char expected)
{
    if (text.empty() || text.front() != expected) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

bool index_set::insert(std::uint32_t index)
{
    if (contains(index)) {
        return false;
    }
    ++m_size;
    auto next = m_ranges.upper_bound(index);
    std::uint32_t last = index;
    if (next != m_ranges.end() && next->first == index + 1) {
        last = next->second;
        next = m_ranges.erase(next);
    }
    if (next != m_ranges.begin()) {
        const auto previous = std::prev(next);
        if (previous->second + 1 == index) {
            previous->second = last;
            return true;
        }
    }
    m_ranges.emplace_hint(next, index, last);
    return true;
}

bool index_set::erase(std::uint32_t index)
{
    if (!contains(index)) {
        return false;
    }
    --m_size;
    const auto range = std::prev(m_ranges.upper_bound(index));
    const std::uint32_t last = range->second;
    if (range->first == index) {
        m_ranges.erase(range);
    } else {
        range->second = index - 1;
    }
    if (last != index) {
        m_ranges.emplace(index + 1, last);
    }
    return true;
}

bool index_set::contains(std::uint32_t index) const
{
    const auto next = m_ranges.upper_bound(index);
    return next != m_ranges.begin() && std::prev(next)->second >= index;
}

std::uint32_t index_set::firstAbsent(std::uint32_t from) const
{
    const auto next = m_ranges.upper_bound(from);
    if (next == m_ranges.begin()) {
        return from;
    }
    const std::uint32_t last = std::prev(next)->second;
    return last >= from ? last + 1 : from;
}

std::string index_set::toString() const
{
    std::string text;
    for (const auto &[first, last] : m_ranges) {
        if (!text.empty()) {
            text += ',';
        }
        text += std::to_string(first);
        if (last != first) {
            text += '-' + std::to_string(last);
        }
    }
    return text;
}

std::optional<index_set> index_set::parse(std::string_view text)
{
    index_set result;
    std::optional<std::uint32_t> previous;
    while (!text.empty()) {
        if (previous && !consumeCharacter(text, ',')) {
            return std::nullopt;
        }
        const auto first = consumeNumber(text);
        const auto last = consumeCharacter(text, '-') ? consumeNumber(text) : first;
        if (!first || !last || *last < *first || (previous && *first <= *previous + 1)) {
            return std::nullopt;
        }
        result.m_ranges.emplace_hint(result.m_ranges.end(), *first, *last);
        result.m_size += *last - *first + 1;
        previous = last;
    }
    return result;
}

} // namespace banyan
