#pragma once

#include <stdexcept>

namespace banyan {

/// A settings file that cannot be used; what() is one line: file, line, what was expected and what was found.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace banyan
