#pragma once

#include <stdexcept>
#include <string>

namespace banyan {

/// A command line that is not valid.
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A command line that asks for help; what() is the help.
class help_requested : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace banyan
