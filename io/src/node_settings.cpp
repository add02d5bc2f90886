#include "banyan/io/node_settings.h"

#include "banyan/io/settings_error.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>

namespace banyan {

namespace {

constexpr std::size_t leastSecretLength = 16; // Characters.
constexpr std::size_t keyHashLength = 64; // Characters of a SHA-256 in hexadecimal.
constexpr std::uint64_t largestBodyLimit = std::uint64_t(64) << 20; // Bytes.
constexpr std::uint64_t longestDrainSeconds = 3600;

constexpr std::array<std::string_view, 12> knownKeys = {"vm",
                                                        "failure_domain",
                                                        "caller_listen",
                                                        "operator_listen",
                                                        "peer_listen",
                                                        "peers",
                                                        "platform",
                                                        "fleet_secret",
                                                        "bootstrap_operator_key_hash",
                                                        "log_level",
                                                        "maximum_body_bytes",
                                                        "drain_timeout_seconds"};

/// Reads one file's keys; each failure becomes a settings_error with the place.
class settings_reader
{
public:
    explicit settings_reader(std::string path)
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
        checkKeys();
    }

    [[nodiscard]] std::string text(const char *key) const
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

    [[nodiscard]] bool has(const char *key) const
    {
        return static_cast<bool>(m_root[key]);
    }

    [[nodiscard]] endpoint address(const char *key) const
    {
        const std::string value = text(key);
        try {
            return endpoint::parse(value);
        } catch (const std::invalid_argument &error) {
            throw settings_error(place(key) + ": \"" + key + "\": " + error.what());
        }
    }

    [[nodiscard]] std::vector<endpoint> addresses(const char *key) const
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

    [[nodiscard]] std::uint64_t number(const char *key, std::uint64_t least, std::uint64_t most) const
    {
        const std::string value = text(key);
        std::uint64_t result = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
        if (error != std::errc() || end != value.data() + value.size() || result < least || result > most) {
            failAt(key, "a whole number from " + std::to_string(least) + " to " + std::to_string(most), value);
        }
        return result;
    }

    [[noreturn]] void failAt(const char *key, const std::string &expected, const std::string &found) const
    {
        fail(m_root[key].Mark(), std::string("for \"") + key + "\" " + expected, "\"" + found + "\"");
    }

private:
    [[nodiscard]] std::string place(const char *key) const
    {
        return m_path + ":" + std::to_string(m_root[key].Mark().line + 1);
    }

    [[noreturn]] void fail(const YAML::Mark &mark, const std::string &expected, const std::string &found) const
    {
        throw settings_error(m_path + ":" + std::to_string(mark.line + 1) + ": expected " + expected + ", found " + found);
    }

    void checkKeys() const
    {
        for (const auto &entry : m_root) {
            const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
            if (std::find(knownKeys.begin(), knownKeys.end(), key) == knownKeys.end()) {
                fail(entry.first.Mark(), "a known key", "\"" + key + "\"");
            }
        }
    }

    std::string m_path;
    YAML::Node m_root;
};

log_level readLogLevel(const settings_reader &reader)
{
    const std::string text = reader.text("log_level");
    if (text == "debug") {
        return log_level::Debug;
    }
    if (text == "info") {
        return log_level::Info;
    }
    if (text == "warning") {
        return log_level::Warning;
    }
    if (text == "error") {
        return log_level::Error;
    }
    reader.failAt("log_level", "debug, info, warning or error", text);
}

std::string readSecret(const settings_reader &reader)
{
    std::string secret = reader.text("fleet_secret");
    if (secret.size() < leastSecretLength) {
        reader.failAt(
            "fleet_secret", "at least " + std::to_string(leastSecretLength) + " characters", std::to_string(secret.size()) + " characters");
    }
    return secret;
}

std::string readKeyHash(const settings_reader &reader)
{
    std::string hash = reader.text("bootstrap_operator_key_hash");
    if (hash.size() != keyHashLength || hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
        reader.failAt("bootstrap_operator_key_hash", "64 lower-case hexadecimal digits", hash);
    }
    return hash;
}

} // namespace

node_settings readSettings(const std::string &path)
{
    const settings_reader reader(path);
    node_settings settings;
    settings.vm = vm_id(reader.text("vm"));
    settings.domain = failure_domain(reader.text("failure_domain"));
    settings.callerListen = reader.address("caller_listen");
    settings.operatorListen = reader.address("operator_listen");
    settings.peerListen = reader.address("peer_listen");
    if (reader.has("peers")) {
        settings.peers = reader.addresses("peers");
    }
    settings.platform = reader.address("platform");
    settings.fleetSecret = readSecret(reader);
    if (reader.has("bootstrap_operator_key_hash")) {
        settings.bootstrapOperatorKeyHash = readKeyHash(reader);
    }
    if (reader.has("log_level")) {
        settings.logLevel = readLogLevel(reader);
    }
    if (reader.has("maximum_body_bytes")) {
        settings.maximumBody = reader.number("maximum_body_bytes", 1, largestBodyLimit);
    }
    if (reader.has("drain_timeout_seconds")) {
        settings.drainTimeout = std::chrono::seconds(reader.number("drain_timeout_seconds", 1, longestDrainSeconds));
    }
    return settings;
}

} // namespace banyan
