#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/io/log.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Reads one settings file's keys; each failure becomes a settings_error with the place, what was expected and what was found.
class settings_reader
{
public:
    /// Reads a file that holds a map with no other keys than @p knownKeys.
    settings_reader(std::string path, std::span<const std::string_view> knownKeys);

    /// Whether the key is there and has a value.
    [[nodiscard]] bool has(const char *key) const;
    /// Whether the file has the key with a value; templates leave the value out if there is none.
    [[nodiscard]] bool hasValue(const char *key) const;
    [[nodiscard]] std::string text(const char *key) const;
    [[nodiscard]] endpoint address(const char *key) const;
    [[nodiscard]] std::vector<endpoint> addresses(const char *key) const;
    [[nodiscard]] std::uint64_t number(const char *key, std::uint64_t least, std::uint64_t most) const;
    [[nodiscard]] double decimal(const char *key, double least, double most) const;
    [[nodiscard]] log_level logLevel(const char *key) const;

    [[noreturn]] void failAt(const char *key, const std::string &expected, const std::string &found) const;

private:
    [[nodiscard]] std::string place(const char *key) const;
    [[noreturn]] void fail(const YAML::Mark &mark, const std::string &expected, const std::string &found) const;
    void checkKeys(std::span<const std::string_view> knownKeys) const;

    std::string m_path;
    YAML::Node m_root;
};

} // namespace banyan
