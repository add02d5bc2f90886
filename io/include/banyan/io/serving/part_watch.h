#pragma once

#include "banyan/core/serving/part_guard.h"

#include <string>
#include <string_view>

namespace banyan {

class node_metrics;

/// The part_guard of a node, shared by all that send runs to upstreams. Logs and counts what it decides.
class part_watch
{
public:
    /// @p metrics must outlive it.
    explicit part_watch(node_metrics &metrics, const part_guard_options &options = {});

    /// As in part_guard.
    void recordLoss(const prompt_run &run, upstream_key upstream, time_point now);
    void recordProof(const prompt_run &run, time_point now);
    void recordUnanswered(const prompt_run &run, upstream_key upstream, time_point now);
    void recordUpstreamEnd(upstream_key upstream, time_point now);
    void recordAlive(upstream_key upstream, time_point aliveAt, time_point now);
    [[nodiscard]] std::optional<time_point> stoppedUntil(const prompt_run &run, time_point now) const;

    /// Records what node @p sender has reported, and reports what is new in it to other nodes if @p forward is set.
    void recordReport(const std::vector<part_loss> &losses,
                      const std::vector<std::uint64_t> &proofs,
                      std::string_view sender,
                      bool forward,
                      time_point now);

    /// What a stopped part's row in the store says of it, and back; empty for what is no part.
    [[nodiscard]] std::string rowText(std::uint64_t part) const;
    /// Stops the part that a row names if the row is that of a part. Returns whether it is.
    bool applyRow(std::uint64_t part, const std::string &text, time_point now);

    [[nodiscard]] part_guard &guard()
    {
        return m_guard;
    }

    [[nodiscard]] const part_guard &guard() const
    {
        return m_guard;
    }

private:
    void logStops(const std::vector<std::uint64_t> &parts, std::string_view seenBy);

    part_guard m_guard;
    node_metrics &m_metrics;
};

} // namespace banyan
