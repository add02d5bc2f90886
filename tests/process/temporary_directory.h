#pragma once

#include <filesystem>
#include <fstream>
#include <string>

namespace banyan::process_tests {

/// A directory that is removed with all that is in it.
class temporary_directory
{
public:
    temporary_directory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "banyan-test-XXXXXX").string();
        m_path = mkdtemp(pattern.data());
    }
    ~temporary_directory()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    temporary_directory(const temporary_directory &) = delete;
    temporary_directory &operator=(const temporary_directory &) = delete;

    [[nodiscard]] std::string file(const std::string &name) const
    {
        return (m_path / name).string();
    }

    /// Writes a file and returns its path.
    [[nodiscard]] std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(file(name)) << text;
        return file(name);
    }

private:
    std::filesystem::path m_path;
};

} // namespace banyan::process_tests
