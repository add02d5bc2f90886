#pragma once

#include <stdexcept>

namespace banyan {

/// The platform could not be asked: for sure nothing was changed.
class platform_unavailable : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A change was sent and its answer lost: it may have taken effect, or may still do so.
class platform_outcome_unknown : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace banyan
