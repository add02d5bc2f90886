#pragma once

#include <stdexcept>

namespace banyan {

/// A datagram that is not a message of this protocol.
class gossip_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace banyan
