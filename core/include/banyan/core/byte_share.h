#pragma once

#include "banyan/core/byte_budget.h"

#include <cstddef>

namespace banyan {

/// What one holder has drawn from a byte_budget. Gives it back at its end, whichever way that comes.
///
/// @code
/// byte_share share(budget, memory_holder::Bodies);
/// if (!share.resize(bytes)) { ... } // No room.
/// @endcode
class byte_share
{
public:
    byte_share() = default; ///< Draws on no budget: every size has room.
    /// @p budget must outlive the share.
    byte_share(byte_budget &budget, memory_holder holder);
    ~byte_share();
    byte_share(byte_share &&other) noexcept;
    byte_share &operator=(byte_share &&other) noexcept;
    byte_share(const byte_share &) = delete;
    byte_share &operator=(const byte_share &) = delete;

    /// Draws or gives back up to that size in all. Returns false, and changes nothing, if the budget has no room.
    [[nodiscard]] bool resize(std::size_t bytes);

    /// Counts what is held already, beyond the budget if need be.
    void charge(std::size_t bytes);

    void release();
    [[nodiscard]] std::size_t bytes() const;

private:
    byte_budget *m_budget = nullptr;
    memory_holder m_holder = memory_holder::Connections;
    std::size_t m_bytes = 0;
};

} // namespace banyan
