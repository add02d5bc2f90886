#pragma once

#include <string>

namespace banyan::tests {

/// Where this build's programs are.
[[nodiscard]] std::string binaryDirectory();

/// Where the sources are that it was made of.
[[nodiscard]] std::string sourceDirectory();

} // namespace banyan::tests
