#pragma once

#include <stdexcept>

namespace banyan {

/// A request's body was too large, cut or too slow. The exchange has been answered already where that was possible;
/// a handler lets this pass.
class http_body_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace banyan
