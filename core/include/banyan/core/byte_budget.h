#pragma once

#include "banyan/core/memory_holder.h"

#include <array>
#include <cstddef>

namespace banyan {

/// Options of a byte_budget.
struct byte_budget_options
{
    std::size_t capacity = 0; ///< Bytes; 0: unlimited, and only counted.
    std::size_t reserve = 0; ///< Part of the capacity that only small shares may use.
    std::size_t smallShare = std::size_t(64) << 10; ///< Largest size of a small share, in bytes.
};

/// The account of the bytes that a process holds for its clients. Jobs may hold half of them. They are drawn and given back through byte_share.
class byte_budget
{
public:
    explicit byte_budget(const byte_budget_options &options);

    /// The budget of a process with so many bytes of memory; unlimited for 0.
    [[nodiscard]] static byte_budget_options optionsFor(std::size_t memory);

    [[nodiscard]] bool isLimited() const;
    [[nodiscard]] std::size_t capacity() const;
    /// How many connections may be open if each holds so many bytes before its request is read; without a limit, any number.
    [[nodiscard]] std::size_t connectionsWithin(std::size_t bytesOfConnection) const;
    [[nodiscard]] std::size_t used() const;
    [[nodiscard]] std::size_t used(memory_holder holder) const;

private:
    friend class byte_share;

    /// Whether a share of @p before bytes may become one of @p after bytes.
    [[nodiscard]] bool mayResize(memory_holder holder, std::size_t before, std::size_t after) const;
    void resize(memory_holder holder, std::size_t before, std::size_t after);

    byte_budget_options m_options;
    std::size_t m_used = 0;
    std::array<std::size_t, memoryHolders.size()> m_usedBy{};
};

} // namespace banyan
