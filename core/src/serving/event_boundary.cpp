#include "banyan/core/serving/event_boundary.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view eventEndWithReturns = "\r\n\r\n";

} // namespace

void event_boundary::add(std::string_view bytes)
{
    m_tail += bytes.substr(bytes.size() - std::min(bytes.size(), eventEndWithReturns.size()));
    m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), eventEndWithReturns.size()));
}

bool event_boundary::isBetweenEvents() const
{
    return m_tail.empty() || m_tail.ends_with(eventEnd) || m_tail.ends_with(eventEndWithReturns);
}

} // namespace banyan
