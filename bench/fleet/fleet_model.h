#pragma once

#include "../../tests/property/gossip_simulator.h"

#include "banyan/io/gossip_seal.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace banyan {

/// What a fleet cost its nodes over a span of model time.
struct fleet_cost
{
    double sentBytes = 0; ///< A node a second, with the headers of UDP and IP.
    double busiestSentBytes = 0; ///< Of the node that sent most.
    double messages = 0; ///< Sent by a node a second.
    double processorShare = 0; ///< Of one core, for each node; with the model's own work, without system calls.
};

/// Times in seconds, sorted.
class time_samples
{
public:
    void add(duration value);
    [[nodiscard]] std::size_t count() const;
    /// The value that the share @p quantile of the samples does not exceed; 0 without samples.
    [[nodiscard]] double at(double quantile);

private:
    std::vector<double> m_seconds;
    bool m_sorted = false;
};

/// Gossip nodes with configurations as at the letter's size, which are changed at the letter's rate. Each message is
/// encoded, sealed, opened and decoded as on the wire.
class fleet_model
{
public:
    explicit fleet_model(std::size_t nodes, std::uint64_t seed = 1);

    /// Starts one more node. Returns the time until it sees all others, and the times until each other one sees it.
    duration join(time_samples &seenByOthers);

    /// Runs with changes of the configuration at the letter's rate, and measures.
    fleet_cost run(duration span);

    /// Kills @p victims nodes, one after the other, and returns the time until each other node has dropped each of them.
    time_samples detect(std::size_t victims);

    /// Running nodes that a running node holds for dead, over all pairs.
    [[nodiscard]] std::size_t wronglyDropped();

    /// Running nodes that have not the newest configuration in force.
    [[nodiscard]] std::size_t laggards();

    /// Probes without an answer, and suspicions that ended in a death, so far.
    [[nodiscard]] std::uint64_t suspicions();
    [[nodiscard]] std::uint64_t deaths();

    /// Pauses @p count random nodes.
    void pauseSome(std::size_t count, duration span);

    /// Times from commit to being in force on a node, since the last call; and to being in force on all.
    time_samples takeNodeDelays();
    time_samples takeFleetDelays();

    [[nodiscard]] gossip_simulator &fabric()
    {
        return m_fabric;
    }

    /// Bytes of the heap that a node takes, with its configuration.
    [[nodiscard]] double bytesPerNode() const;

private:
    void addNode(const std::string &json);
    void commitChange();
    void noteVersions(std::size_t index);
    [[nodiscard]] std::size_t messageBytes(const gossip_message &message);

    gossip_seal m_seal;
    std::mt19937_64 m_random;
    std::size_t m_heapBefore = 0;
    gossip_simulator m_fabric;
    std::vector<time_point> m_committed; // by version
    std::vector<std::size_t> m_reached; // nodes, by version
    std::vector<configuration_version> m_versions; // by node
    std::vector<configuration_patch> m_patches; // by version
    time_samples m_nodeDelays;
    time_samples m_fleetDelays;
};

} // namespace banyan
