#include "banyan/core/time_text.h"

#include <cstdio>

namespace banyan {

namespace {

constexpr std::size_t sortableDigits = 20;

} // namespace

std::string toIsoText(time_point time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(time - day);
    char text[64];
    std::snprintf(text,
                  sizeof(text),
                  "%04d-%02u-%02uT%02d:%02d:%02d.%06dZ",
                  static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()),
                  static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()),
                  static_cast<int>(clock.subseconds().count()));
    return text;
}

std::string toSortableText(time_point time)
{
    return toSortableText(static_cast<std::uint64_t>(time.time_since_epoch().count()));
}

std::string toSortableText(std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return std::string(sortableDigits - digits.size(), '0') + digits;
}

} // namespace banyan
