#pragma once

#include <stdexcept>

namespace banyan {

/// Thrown if the value of a row does not have the expected form.
class record_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace banyan
