#pragma once

#include <stdexcept>

namespace banyan {

/// Thrown for an invalid configuration or patch; what() names the field, the expected value and the value found.
class configuration_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace banyan
