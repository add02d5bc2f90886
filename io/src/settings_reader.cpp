#include "settings_reader.h"

#include "banyan/io/settings_error.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <stdexcept>

namespace banyan {

settings_reader::settings_reader(std::string path, std::span<const std::string_view> knownKeys)
    : m_path(std::move(path))
{
    try {
        m_root = YAML::LoadFile(m_path);
    } catch (const YAML::BadFile &) {
        throw settings_error(m_path + ": expected a readable file");
    } catch (const YAML::ParserException &error) {
        fail(error.mark, "valid YAML", error.msg);
    }
    if (!m_root.IsMap()) {
        fail(m_root.Mark(), "a map of settings", "something else");
    }
    checkKeys(knownKeys);
}

std::string settings_reader::text(const char *key) const
{
    const YAML::Node node = m_root[key];
    if (!node) {
        throw settings_error(m_path + ":1: expected the key \"" + key + "\", found none");
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
        fail(node.Mark(), std::string("text for \"") + key + "\"", "something else");
    }
    return node.Scalar();
}

bool settings_reader::has(const char *key) const
{
    return m_root[key] && !m_root[key].IsNull();
}

bool settings_reader::hasValue(const char *key) const
{
    return has(key) && !m_root[key].IsNull();
}

endpoint settings_reader::address(const char *key) const
{
    const std::string value = text(key);
    try {
        return endpoint::parse(value);
    } catch (const std::invalid_argument &error) {
        throw settings_error(place(key) + ": \"" + key + "\": " + error.what());
    }
}

std::vector<endpoint> settings_reader::addresses(const char *key) const
{
    const YAML::Node node = m_root[key];
    if (!node.IsSequence()) {
        fail(node.Mark(), std::string("a list of addresses for \"") + key + "\"", "something else");
    }
    std::vector<endpoint> result;
    for (const YAML::Node &element : node) {
        try {
            result.push_back(endpoint::parse(element.IsScalar() ? element.Scalar() : ""));
        } catch (const std::invalid_argument &error) {
            fail(element.Mark(), std::string("addresses for \"") + key + "\"", error.what());
        }
    }
    return result;
}

std::uint64_t settings_reader::number(const char *key, std::uint64_t least, std::uint64_t most) const
{
    const std::string value = text(key);
    std::uint64_t result = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
    if (error != std::errc() || end != value.data() + value.size() || result < least || result > most) {
        failAt(key, "a whole number from " + std::to_string(least) + " to " + std::to_string(most), value);
    }
    return result;
}

double settings_reader::decimal(const char *key, double least, double most) const
{
    const std::string value = text(key);
    double result = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
    if (error != std::errc() || end != value.data() + value.size() || result < least || result > most) {
        std::ostringstream expected;
        expected << "a number from " << least << " to " << most;
        failAt(key, expected.str(), value);
    }
    return result;
}

log_level settings_reader::logLevel(const char *key) const
{
    const std::string value = text(key);
    if (value == "debug") {
        return log_level::Debug;
    }
    if (value == "info") {
        return log_level::Info;
    }
    if (value == "warning") {
        return log_level::Warning;
    }
    if (value == "error") {
        return log_level::Error;
    }
    failAt(key, "debug, info, warning or error", value);
}

void settings_reader::failAt(const char *key, const std::string &expected, const std::string &found) const
{
    fail(m_root[key].Mark(), std::string("for \"") + key + "\" " + expected, "\"" + found + "\"");
}

std::string settings_reader::place(const char *key) const
{
    return m_path + ":" + std::to_string(m_root[key].Mark().line + 1);
}

void settings_reader::fail(const YAML::Mark &mark, const std::string &expected, const std::string &found) const
{
    throw settings_error(m_path + ":" + std::to_string(mark.line + 1) + ": expected " + expected + ", found " + found);
}

void settings_reader::checkKeys(std::span<const std::string_view> knownKeys) const
{
    for (const auto &entry : m_root) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
        if (std::find(knownKeys.begin(), knownKeys.end(), key) == knownKeys.end()) {
            fail(entry.first.Mark(), "a known key", "\"" + key + "\"");
        }
    }
}

} // namespace banyan
