#include "process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace banyan::process_tests {

namespace {

std::string directoryOf(pid_t process)
{
    return "/proc/" + std::to_string(process);
}

/// The number that follows the last colon, in hexadecimal digits.
std::size_t numberAfterColon(const std::string &text)
{
    return std::stoull(text.substr(text.find(':') + 1), nullptr, 16);
}

} // namespace

std::size_t peakResidentOf(pid_t process)
{
    std::ifstream status(directoryOf(process) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoull(line.substr(name.size()));
        }
    }
    return 0;
}

std::size_t descriptorsOf(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator open(directoryOf(process) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

std::size_t queuedBytesAt(std::uint16_t port)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // The names of the columns.
    std::size_t bytes = 0;
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // To send : to read.
        words >> number >> local >> remote >> state >> queues;
        const bool isListener = numberAfterColon(remote) == 0;
        if (!isListener && (numberAfterColon(local) == port || numberAfterColon(remote) == port)) {
            bytes += std::stoull(queues.substr(0, queues.find(':')), nullptr, 16) + numberAfterColon(queues);
        }
    }
    return bytes;
}

} // namespace banyan::process_tests
