#pragma once

#include <stdexcept>

namespace banyan {

/// A configuration or a patch that cannot be accepted; what() names the field, what was expected and what was found.
class configuration_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace banyan
