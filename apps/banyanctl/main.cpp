#include "banyan/io/operator_tool.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

std::optional<std::string> environment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        banyan::operator_tool tool(
            {.environmentUrl = environment("BANYAN_OPERATOR_URL"), .environmentKey = environment("BANYAN_OPERATOR_KEY")},
            std::cout,
            std::cerr);
        return static_cast<int>(tool.run({argv + 1, argv + argc}));
    } catch (const std::exception &error) {
        std::cerr << "banyanctl: " << error.what() << "\n";
        return static_cast<int>(banyan::tool_exit::Refused);
    }
}
