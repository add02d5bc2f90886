#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace banyan::process_tests {

constexpr std::chrono::seconds defaultPatience(30); ///< For conditions that hold soon on an idle machine.

/// A program of the build that a test started. Killed and waited for at destruction.
class child_process
{
public:
    /// What to start.
    struct options
    {
        std::string program; ///< Absolute, or below the build directory, for example "apps/banyand".
        std::vector<std::string> arguments;
        std::string errorFile; ///< Standard error is appended here.
    };

    /// Starts the program. @throws std::runtime_error
    explicit child_process(const options &wanted);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Reads the ready line and returns the value of @p name in it. What the program prints later is read and dropped, so that it
    /// never waits for a reader of its log.
    /// @throws std::runtime_error if the program ends or stays silent
    [[nodiscard]] std::string readyValue(const std::string &name);

    /// Reads all standard output until the program closes it. Not after readyValue().
    [[nodiscard]] std::string readOutput();

    void signal(int number) const;

    /// Waits for the end. Returns the exit code, or 128 + the signal's number.
    /// @throws std::runtime_error if it does not end in time
    int waitForExit(std::chrono::milliseconds patience = defaultPatience);

    [[nodiscard]] bool running();

    [[nodiscard]] pid_t pid() const
    {
        return m_pid;
    }

private:
    /// Appends what the program printed to m_output. Returns false at the end of its output.
    bool readSome();
    void dropOutput();
    void poll();

    std::string m_program;
    pid_t m_pid = -1;
    int m_outputPipe = -1;
    std::string m_output;
    std::thread m_outputReader; ///< Runs from the ready line to the end of the output.
    int m_exitCode = -1;
    bool m_ended = false;
};

} // namespace banyan::process_tests
