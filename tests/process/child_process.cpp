#include "child_process.h"

#include "directories.h"
#include "eventually.h"

#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace banyan::process_tests {

namespace {

constexpr int killedBySignal = 128;

std::vector<char *> argumentVector(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

/// The value of @p name in a line of key=value pairs; empty if it is absent.
std::string valueIn(const std::string &line, const std::string &name)
{
    const std::size_t start = (" " + line).find(" " + name + "=");
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t valueStart = start + name.size() + 1;
    return line.substr(valueStart, line.find_first_of(" \n", valueStart) - valueStart);
}

} // namespace

child_process::child_process(const options &wanted)
    : m_program(wanted.program)
{
    int descriptors[2];
    if (pipe2(descriptors, O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe for " + m_program);
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, descriptors[1], STDOUT_FILENO);
    if (!wanted.errorFile.empty()) {
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, wanted.errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    }
    // Sockets of the tests' own proxies must not live on in programs that are started later.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const std::string path = m_program.starts_with('/') ? m_program : tests::binaryDirectory() + "/" + m_program;
    std::vector<std::string> texts = {path};
    texts.insert(texts.end(), wanted.arguments.begin(), wanted.arguments.end());
    const int error = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argumentVector(texts).data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(descriptors[1]);
    m_outputPipe = descriptors[0];
    if (error != 0) {
        close(m_outputPipe);
        throw std::runtime_error("cannot start " + path);
    }
}

child_process::~child_process()
{
    if (!m_ended) {
        signal(SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    if (m_outputReader.joinable()) {
        m_outputReader.join();
    }
    close(m_outputPipe);
}

std::string child_process::readyValue(const std::string &name)
{
    while (m_output.find('\n') == std::string::npos) {
        if (!readSome()) {
            throw std::runtime_error(m_program + ": expected a ready line, found: " + m_output);
        }
    }
    if (!m_outputReader.joinable()) {
        m_outputReader = std::thread(&child_process::dropOutput, this);
    }
    const std::string line = m_output.substr(0, m_output.find('\n'));
    std::string value = valueIn(line, name);
    if (value.empty()) {
        throw std::runtime_error(m_program + ": expected " + name + "= in the ready line, found: " + line);
    }
    return value;
}

std::string child_process::readOutput()
{
    while (readSome()) {
    }
    return m_output;
}

bool child_process::readSome()
{
    pollfd wait{.fd = m_outputPipe, .events = POLLIN, .revents = 0};
    const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(defaultPatience);
    if (::poll(&wait, 1, static_cast<int>(patience.count())) <= 0) {
        throw std::runtime_error(m_program + ": no output in time");
    }
    char buffer[4096];
    const ssize_t length = read(m_outputPipe, buffer, sizeof(buffer));
    if (length <= 0) {
        return false;
    }
    m_output.append(buffer, static_cast<std::size_t>(length));
    return true;
}

void child_process::dropOutput()
{
    char buffer[4096];
    while (read(m_outputPipe, buffer, sizeof(buffer)) > 0) {
    }
}

void child_process::signal(int number) const
{
    kill(m_pid, number);
}

int child_process::waitForExit(std::chrono::milliseconds patience)
{
    const bool ended = eventually(
        [this] {
            return !running();
        },
        patience);
    if (!ended) {
        throw std::runtime_error(m_program + " did not end in time");
    }
    return m_exitCode;
}

bool child_process::running()
{
    poll();
    return !m_ended;
}

void child_process::poll()
{
    int status = 0;
    if (m_ended || waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return;
    }
    m_ended = true;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : killedBySignal + WTERMSIG(status);
}

} // namespace banyan::process_tests
