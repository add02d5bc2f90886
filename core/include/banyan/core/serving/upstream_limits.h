#pragma once

#include "banyan/core/serving/reported_limit.h"
#include "banyan/core/serving/upstream_usage.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace banyan {

struct rate_statement;

/// Options of upstream_limits.
struct upstream_limits_options
{
    double probesPerSecond = 0.2; ///< Lower bound of every rate: without any answer nobody would learn that a limit has ended.
    double recoveryRate = 1; ///< Requests per second at which the recovery of an upstream with a lower limit begins.
    duration recoveryDoubling = std::chrono::milliseconds(500); ///< Time in which the rate of a recovering upstream doubles.
    duration recoveryTime = std::chrono::seconds(4); ///< Time after which a recovering upstream is unlimited.
    duration reportPeriod = std::chrono::seconds(10); ///< How long a node reports what an answer has told it.
    std::size_t maximumReported = 64; ///< Bounds the size of reports; the latest statements come first.
    duration unregisteredRetention = std::chrono::seconds(60); ///< Retention for incarnations that are not registered.
};

/// The rate limits that upstreams name in their answers.
///
/// A limit belongs to one incarnation and holds until a later answer of that incarnation names another one or none. What other
/// nodes have been told counts like this node's own answers; the latest answer decides. An upstream whose limit has ended returns
/// to its full rate step by step, so that the work held back meanwhile does not arrive at once.
class upstream_limits
{
public:
    /// What a statement has changed.
    enum class change {
        None,
        Named, ///< The incarnation had no limit before.
        Raised,
        Lowered,
        Ended,
    };

    explicit upstream_limits(const upstream_limits_options &options = {});

    /// Records what an answer of the incarnation @p start said to this node.
    change record(upstream_key start, const rate_statement &statement, time_point now);

    /// Records what an answer said to another node.
    change recordReport(const reported_limit &report, time_point now);

    /// Requests per second that all nodes together may send to each incarnation that is limited or recovering.
    [[nodiscard]] std::map<upstream_key, double> allowedRates(time_point now) const;

    /// What answers have told this node itself lately, for its load reports.
    [[nodiscard]] std::vector<reported_limit> toReport(time_point now) const;

    /// Number of incarnations with a limit in force.
    [[nodiscard]] std::size_t limitedCount() const;

    /// Whether no incarnation is limited or recovering.
    [[nodiscard]] bool empty() const
    {
        return m_entries.empty();
    }

    /// Drops incarnations that have recovered, and those that have long not been registered.
    void expire(const std::set<upstream_key> &registered, time_point now);

private:
    struct entry
    {
        double perSecond = 0;
        bool ended = false;
        bool toldHere = false; ///< Whether the last statement was made to this node.
        time_point saidAt; ///< Time of the last statement.
        time_point endedAt; ///< Set if ended.
        time_point registeredAt; ///< Last time at which the incarnation was registered or made a statement.
    };

    change apply(upstream_key start, bool limited, double perSecond, bool toldHere, time_point saidAt, time_point now);
    [[nodiscard]] double recoveringRate(const entry &recovering, time_point now) const;

    upstream_limits_options m_options;
    std::map<upstream_key, entry> m_entries;
};

/// The name of a change in logs.
[[nodiscard]] std::string_view toString(upstream_limits::change value);

} // namespace banyan
