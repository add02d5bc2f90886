#include "directories.h"

namespace banyan::tests {

std::string binaryDirectory()
{
    return BANYAN_BINARY_DIRECTORY;
}

std::string sourceDirectory()
{
    return BANYAN_SOURCE_DIRECTORY;
}

} // namespace banyan::tests
