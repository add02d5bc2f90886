#include "fleet_model.h"

#include "banyan/core/configuration_json.h"
#include "banyan/core/sha256.h"
#include "banyan/io/gossip_codec.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <sys/resource.h>

namespace banyan {

namespace {

// The letter's size.
constexpr std::size_t callers = 240;
constexpr std::size_t services = 5;
constexpr double changesPerDay = 45000;
constexpr double secondsPerDay = 86400;

constexpr std::size_t datagramHeaders = 28; // bytes of UDP and IPv4

// Between regions, one way.
constexpr duration leastLatency = std::chrono::microseconds(500);
constexpr duration mostLatency = std::chrono::milliseconds(100);

constexpr duration joinPatience = std::chrono::minutes(1);
constexpr duration detectionPatience = std::chrono::seconds(40);

std::string initialConfiguration()
{
    configuration value;
    for (std::size_t number = 0; number < callers; ++number) {
        const caller_id id("organisation-" + std::to_string(number));
        value.callers[id] = {.id = id, .keyHashes = {sha256Hex(id.text()), sha256Hex(id.text() + "b")}, .requestsPerSecond = 300};
    }
    for (std::size_t number = 0; number < services; ++number) {
        const service_name name("service-" + std::to_string(number));
        service_settings service{.name = name, .pool = pool_name(name.text()), .models = {"model-" + std::to_string(number)}};
        for (const auto &entry : value.callers) {
            service.access.push_back({.caller = entry.first});
        }
        value.services[name] = service;
    }
    return toJson(value);
}

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &value) {
        return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void time_samples::add(duration value)
{
    m_seconds.push_back(toSeconds(value));
    m_sorted = false;
}

std::size_t time_samples::count() const
{
    return m_seconds.size();
}

double time_samples::at(double quantile)
{
    if (m_seconds.empty()) {
        return 0;
    }
    if (!m_sorted) {
        std::sort(m_seconds.begin(), m_seconds.end());
        m_sorted = true;
    }
    const double place = std::ceil(quantile * static_cast<double>(m_seconds.size())) - 1;
    return m_seconds[static_cast<std::size_t>(std::max(0.0, place))];
}

fleet_model::fleet_model(std::size_t nodes, std::uint64_t seed)
    : m_seal("secret of the bench")
    , m_random(seed)
    , m_heapBefore(heapBytes())
    , m_fabric({.seed = seed, .minimumLatency = leastLatency, .maximumLatency = mostLatency})
    , m_committed(2)
    , m_reached(2)
    , m_patches(2)
{
    const std::string json = initialConfiguration();
    for (std::size_t index = 0; index < nodes; ++index) {
        addNode(json);
    }
    m_fabric.distributeAddresses();
    m_fabric.introduceAll();
    m_fabric.setMessageSize([this](const gossip_message &message) {
        return messageBytes(message);
    });
    m_fabric.onEvent([this](std::size_t index) {
        noteVersions(index);
    });
}

std::size_t fleet_model::messageBytes(const gossip_message &message)
{
    const std::string datagram = m_seal.seal(encodeGossip(message));
    const auto payload = m_seal.open(datagram);
    if (!payload || decodeGossip(*payload) != message || datagram.size() > maximumDatagram) {
        std::cerr << "a message does not pass the wire: " << datagram.size() << " bytes\n";
        std::exit(1);
    }
    return datagram.size() + datagramHeaders;
}

duration fleet_model::join(time_samples &seenByOthers)
{
    const std::size_t others = m_fabric.size();
    addNode(toJson(*m_fabric.at(0).history.current()));
    m_fabric.distributeAddresses();
    const node_id id = m_fabric.at(others).node.self().node.id;
    const time_point start = m_fabric.now();
    duration seesAll{};
    std::vector<bool> seen(others, false);
    while (m_fabric.now() < start + joinPatience && (seesAll == duration() || seenByOthers.count() < others)) {
        m_fabric.runFor(std::chrono::milliseconds(100));
        if (seesAll == duration() && m_fabric.at(others).node.members().running().size() == others) {
            seesAll = m_fabric.now() - start;
        }
        for (std::size_t index = 0; index < others; ++index) {
            if (!seen[index] && m_fabric.at(index).node.members().find(id) != nullptr) {
                seen[index] = true;
                seenByOthers.add(m_fabric.now() - start);
            }
        }
    }
    return seesAll;
}

void fleet_model::addNode(const std::string &json)
{
    const std::size_t index = m_fabric.add("domain-" + std::to_string(m_fabric.size() % 32));
    m_fabric.at(index).history.applySnapshot({.version = m_committed.size() - 1, .json = json});
    m_versions.push_back(m_committed.size() - 1);
}

fleet_cost fleet_model::run(duration span)
{
    std::vector<std::uint64_t> bytesBefore;
    std::uint64_t messagesBefore = 0;
    for (std::size_t index = 0; index < m_fabric.size(); ++index) {
        bytesBefore.push_back(m_fabric.at(index).bytes);
        messagesBefore += m_fabric.at(index).messages;
    }
    const double processorBefore = processorSeconds();
    std::exponential_distribution<double> pause(changesPerDay / secondsPerDay);
    const time_point end = m_fabric.now() + span;
    while (m_fabric.now() < end) {
        const auto wait = std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause(m_random)));
        m_fabric.runFor(std::min(wait, duration(end - m_fabric.now())));
        if (m_fabric.now() < end) {
            commitChange();
        }
    }
    const double nodes = static_cast<double>(m_fabric.size());
    const double nodeSeconds = nodes * toSeconds(span);
    fleet_cost result;
    result.processorShare = (processorSeconds() - processorBefore) / nodeSeconds;
    std::uint64_t messages = 0;
    for (std::size_t index = 0; index < m_fabric.size(); ++index) {
        const auto sent = static_cast<double>(m_fabric.at(index).bytes - bytesBefore[index]);
        result.sentBytes += sent / nodeSeconds;
        result.busiestSentBytes = std::max(result.busiestSentBytes, sent / toSeconds(span));
        messages += m_fabric.at(index).messages;
    }
    result.messages = static_cast<double>(messages - messagesBefore) / nodeSeconds;
    return result;
}

void fleet_model::commitChange()
{
    const configuration_version version = m_committed.size();
    const std::string caller = "organisation-" + std::to_string(m_random() % callers);
    m_committed.push_back(m_fabric.now());
    m_reached.push_back(0);
    m_patches.push_back(
        {.version = version,
         .mergePatch = R"({"callers":{")" + caller + R"(":{"requests_per_second":)" + std::to_string(version % 1000 + 1) + "}}}"});
    std::size_t index = m_random() % m_fabric.size();
    while (!m_fabric.at(index).running || m_fabric.at(index).pausedUntil > m_fabric.now()) {
        index = m_random() % m_fabric.size();
    }
    // The node that commits has read the head from the platform before.
    while (m_fabric.at(index).history.version() < version) {
        m_fabric.applyPatch(index, m_patches[*m_fabric.at(index).history.version() + 1]);
    }
    noteVersions(index);
}

void fleet_model::noteVersions(std::size_t index)
{
    const configuration_version version = *m_fabric.at(index).history.version();
    while (m_versions[index] < version) {
        ++m_versions[index];
        const duration delay = m_fabric.now() - m_committed[m_versions[index]];
        m_nodeDelays.add(delay);
        if (++m_reached[m_versions[index]] == m_fabric.size()) {
            m_fleetDelays.add(delay);
        }
    }
}

time_samples fleet_model::takeNodeDelays()
{
    return std::exchange(m_nodeDelays, {});
}

time_samples fleet_model::takeFleetDelays()
{
    return std::exchange(m_fleetDelays, {});
}

time_samples fleet_model::detect(std::size_t victims)
{
    time_samples result;
    for (std::size_t victim = 0; victim < victims; ++victim) {
        std::size_t index = m_random() % m_fabric.size();
        while (!m_fabric.at(index).running) {
            index = m_random() % m_fabric.size();
        }
        const node_id id = m_fabric.at(index).node.self().node.id;
        const time_point start = m_fabric.now();
        m_fabric.kill(index);
        std::vector<bool> noticed(m_fabric.size(), false);
        const auto holds = [&](std::size_t observer) {
            const member_update *const known = m_fabric.at(observer).node.members().find(id);
            return m_fabric.at(observer).running && known != nullptr && isRunning(known->state);
        };
        while (m_fabric.now() < start + detectionPatience) {
            m_fabric.runFor(std::chrono::milliseconds(100));
            for (std::size_t observer = 0; observer < m_fabric.size(); ++observer) {
                if (m_fabric.at(observer).running && !noticed[observer] && !holds(observer)) {
                    noticed[observer] = true;
                    result.add(m_fabric.now() - start);
                }
            }
            const auto missing = std::count(noticed.begin(), noticed.end(), false);
            if (missing <= static_cast<std::ptrdiff_t>(victim + 1)) {
                break;
            }
        }
    }
    return result;
}

std::size_t fleet_model::wronglyDropped()
{
    std::size_t running = 0;
    for (std::size_t index = 0; index < m_fabric.size(); ++index) {
        running += m_fabric.at(index).running ? 1 : 0;
    }
    std::size_t result = 0;
    for (std::size_t index = 0; index < m_fabric.size(); ++index) {
        if (m_fabric.at(index).running) {
            result += running - 1 - std::min(running - 1, m_fabric.at(index).node.members().running().size());
        }
    }
    return result;
}

std::size_t fleet_model::laggards()
{
    // A change of the last seconds may be under way.
    const time_point settled = m_fabric.now() - std::chrono::seconds(3);
    configuration_version expected = m_committed.size() - 1;
    while (expected > 1 && m_committed[expected] > settled) {
        --expected;
    }
    std::size_t result = 0;
    for (std::size_t index = 0; index < m_fabric.size(); ++index) {
        result += m_fabric.at(index).running && m_versions[index] < expected ? 1 : 0;
    }
    return result;
}

std::uint64_t fleet_model::suspicions()
{
    std::uint64_t result = 0;
    for (std::size_t index = 0; index < m_fabric.size(); ++index) {
        result += m_fabric.at(index).node.counters().suspicionsRaised;
    }
    return result;
}

std::uint64_t fleet_model::deaths()
{
    std::uint64_t result = 0;
    for (std::size_t index = 0; index < m_fabric.size(); ++index) {
        result += m_fabric.at(index).node.counters().deathsDeclared;
    }
    return result;
}

void fleet_model::pauseSome(std::size_t count, duration span)
{
    for (std::size_t number = 0; number < count; ++number) {
        m_fabric.pause(m_random() % m_fabric.size(), span);
    }
}

double fleet_model::bytesPerNode() const
{
    return static_cast<double>(heapBytes() - m_heapBefore) / static_cast<double>(m_fabric.size());
}

} // namespace banyan
