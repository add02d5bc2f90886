#include "banyan/core/byte_budget.h"

#include <algorithm>
#include <limits>

namespace banyan {

namespace {

constexpr std::size_t smallestCapacity = std::size_t(16) << 20; // Bytes. Leaves room for one long body and its copies.
constexpr std::size_t partsForClients = 2; // One in so many of the memory; the rest is the process's own.
constexpr std::size_t partsForJobs = 2; // One in so many of the capacity: jobs stay for long, and requests need the rest.
constexpr std::size_t partsForConnections = 2; // One in so many of the capacity, for connections before their requests are read.
constexpr std::size_t partsInReserve = 5; // One in so many of the capacity.

} // namespace

std::string_view toString(memory_holder holder)
{
    switch (holder) {
    case memory_holder::Connections:
        return "connections";
    case memory_holder::Bodies:
        return "bodies";
    case memory_holder::Answers:
        return "answers";
    case memory_holder::Jobs:
        break;
    }
    return "jobs";
}

byte_budget::byte_budget(const byte_budget_options &options)
    : m_options(options)
{
}

byte_budget_options byte_budget::optionsFor(std::size_t memory)
{
    if (memory == 0) {
        return {};
    }
    const std::size_t capacity = std::max(smallestCapacity, memory / partsForClients);
    return {.capacity = capacity, .reserve = capacity / partsInReserve};
}

bool byte_budget::isLimited() const
{
    return m_options.capacity != 0;
}

std::size_t byte_budget::capacity() const
{
    return m_options.capacity;
}

std::size_t byte_budget::connectionsWithin(std::size_t bytesOfConnection) const
{
    return isLimited() ? m_options.capacity / partsForConnections / bytesOfConnection : std::numeric_limits<std::size_t>::max();
}

std::size_t byte_budget::used() const
{
    return m_used;
}

std::size_t byte_budget::used(memory_holder holder) const
{
    return m_usedBy.at(static_cast<std::size_t>(holder));
}

bool byte_budget::mayResize(memory_holder holder, std::size_t before, std::size_t after) const
{
    if (after <= before || !isLimited()) {
        return true;
    }
    if (holder == memory_holder::Jobs && used(holder) + (after - before) > m_options.capacity / partsForJobs) {
        return false;
    }
    const std::size_t limit = after <= m_options.smallShare ? m_options.capacity : m_options.capacity - m_options.reserve;
    return m_used + (after - before) <= limit;
}

void byte_budget::resize(memory_holder holder, std::size_t before, std::size_t after)
{
    m_used = m_used - before + after;
    std::size_t &usedBy = m_usedBy.at(static_cast<std::size_t>(holder));
    usedBy = usedBy - before + after;
}

} // namespace banyan
