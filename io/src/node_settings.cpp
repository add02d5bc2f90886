#include "banyan/io/node_settings.h"

#include "settings_reader.h"

#include <array>

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
    const settings_reader reader(path, knownKeys);
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
        settings.logLevel = reader.logLevel("log_level");
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
