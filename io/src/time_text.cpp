#include "banyan/io/time_text.h"

#include <cstdio>
#include <ctime>

namespace banyan {

std::string timeText(time_point time)
{
    constexpr long long microsecondsPerSecond = 1000000;
    const long long micros = time.time_since_epoch().count();
    const std::time_t seconds = micros / microsecondsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[48];
    const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof(text) - length, ".%06dZ", static_cast<int>(micros % microsecondsPerSecond));
    return text;
}

} // namespace banyan
