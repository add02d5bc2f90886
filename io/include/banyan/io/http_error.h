#pragma once

#include <stdexcept>
#include <string>

namespace banyan {

/// Whether a byte of the request may have left when an HTTP exchange failed.
enum class sent_state {
    NotSent, ///< For sure nothing left.
    MaybeSent,
};

/// An HTTP exchange that ended without a whole answer.
class http_error : public std::runtime_error
{
public:
    http_error(sent_state sent, bool timedOut, const std::string &text, bool staleConnection = false)
        : std::runtime_error(text)
        , m_sent(sent)
        , m_timedOut(timedOut)
        , m_staleConnection(staleConnection)
    {
    }

    [[nodiscard]] sent_state sent() const
    {
        return m_sent;
    }

    [[nodiscard]] bool timedOut() const
    {
        return m_timedOut;
    }

    /// The connection had been idle and ended before the first byte of an answer: the peer may have closed it before the
    /// request arrived, so that the failure says little about the peer.
    [[nodiscard]] bool staleConnection() const
    {
        return m_staleConnection;
    }

private:
    sent_state m_sent;
    bool m_timedOut;
    bool m_staleConnection;
};

} // namespace banyan
