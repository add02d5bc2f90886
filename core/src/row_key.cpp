#include "banyan/core/row_key.h"

#include <limits>

namespace banyan {

namespace {

constexpr std::string_view hexadecimalDigits = "0123456789abcdef";

bool isPlain(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
           || character == '-' || character == '_' || character == '.';
}

std::string hexadecimal(std::uint64_t value)
{
    constexpr int digits = 16;
    std::string text(digits, '0');
    for (int position = digits - 1; position >= 0; --position) {
        text[static_cast<std::size_t>(position)] = hexadecimalDigits[value & 0xf];
        value >>= 4;
    }
    return text;
}

} // namespace

std::string keyPart(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        if (isPlain(character)) {
            result += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        result += '%';
        result += hexadecimalDigits[byte >> 4];
        result += hexadecimalDigits[byte & 0xf];
    }
    return result;
}

std::string newestFirstId(std::string_view prefix, time_point now, std::uint64_t random)
{
    const auto micros = static_cast<std::uint64_t>(now.time_since_epoch().count());
    return std::string(prefix) + hexadecimal(std::numeric_limits<std::uint64_t>::max() - micros) + hexadecimal(random);
}

} // namespace banyan
