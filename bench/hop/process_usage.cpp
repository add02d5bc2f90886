#include "process_usage.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace banyan::bench {

namespace {

constexpr int fieldsBeforeUserTime = 11; ///< In /proc/PID/stat, after the command's closing bracket.
constexpr long millisecondsPerSecond = 1000;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().empty()) {
        throw std::runtime_error("cannot read " + path);
    }
    return text.str();
}

} // namespace

process_usage process_usage::of(pid_t process)
{
    const std::string directory = "/proc/" + std::to_string(process);
    std::istringstream memory(readFile(directory + "/statm"));
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    memory >> totalPages >> residentPages;

    const std::string stat = readFile(directory + "/stat");
    std::istringstream times(stat.substr(stat.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < fieldsBeforeUserTime; ++field) {
        times >> skipped;
    }
    long userTicks = 0;
    long systemTicks = 0;
    times >> userTicks >> systemTicks;
    const long ticks = userTicks + systemTicks;
    return {.residentBytes = residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)),
            .processorTime = std::chrono::milliseconds(ticks * millisecondsPerSecond / sysconf(_SC_CLK_TCK))};
}

} // namespace banyan::bench
