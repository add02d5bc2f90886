#include "banyan/core/byte_share.h"

#include <utility>

namespace banyan {

byte_share::byte_share(byte_budget &budget, memory_holder holder)
    : m_budget(&budget)
    , m_holder(holder)
{
}

byte_share::~byte_share()
{
    release();
}

byte_share::byte_share(byte_share &&other) noexcept
    : m_budget(other.m_budget)
    , m_holder(other.m_holder)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

byte_share &byte_share::operator=(byte_share &&other) noexcept
{
    if (this != &other) {
        release();
        m_budget = other.m_budget;
        m_holder = other.m_holder;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool byte_share::resize(std::size_t bytes)
{
    if (m_budget != nullptr && !m_budget->mayResize(m_holder, m_bytes, bytes)) {
        return false;
    }
    charge(bytes);
    return true;
}

void byte_share::charge(std::size_t bytes)
{
    if (m_budget != nullptr) {
        m_budget->resize(m_holder, m_bytes, bytes);
        m_bytes = bytes;
    }
}

void byte_share::release()
{
    charge(0);
}

std::size_t byte_share::bytes() const
{
    return m_bytes;
}

} // namespace banyan
