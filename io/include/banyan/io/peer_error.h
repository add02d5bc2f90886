#pragma once

#include <stdexcept>
#include <string>

namespace banyan {

/// A call to another node that ended without an answer.
class peer_error : public std::runtime_error
{
public:
    peer_error(bool mayHaveArrived, const std::string &text)
        : std::runtime_error(text)
        , m_mayHaveArrived(mayHaveArrived)
    {
    }

    /// False: the other node has for sure not taken the call.
    [[nodiscard]] bool mayHaveArrived() const
    {
        return m_mayHaveArrived;
    }

private:
    bool m_mayHaveArrived;
};

} // namespace banyan
