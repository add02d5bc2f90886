#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/quarantined_fingerprint.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyan {

/// Options of a crash_guard.
struct crash_guard_options
{
    std::uint32_t quarantineThreshold = 2; ///< Lost upstreams, outside mass losses, at which a content is quarantined.
    std::uint32_t massLossQuarantineThreshold = 3; ///< The same, including upstreams lost in a mass loss.
    duration quarantineDuration = std::chrono::minutes(10); ///< Of a suspicion and the first quarantine; doubled for each further one.
    duration exemptionDuration = std::chrono::seconds(60); ///< No loss counts for this long after an answer: longer than most outages.
    duration massLossWindow = std::chrono::seconds(2); ///< Losses of many upstreams within this time count as one mass loss.
    std::size_t massLossThreshold = 3; ///< Minimum number of upstreams lost in a mass loss, which must also be at least half of the cell.
    duration unansweredRetention = std::chrono::seconds(10); ///< How long unanswered attempts wait for the end of their upstream.
    std::size_t maximumEntries = 4096; ///< Maximum number of contents kept; the oldest that is not quarantined is evicted first.
};

/// How a crash_guard classifies a loss.
enum class loss_verdict {
    AlreadyCounted, ///< The loss was counted before.
    Counted,
    CountedInMassLoss, ///< Counted, but many upstreams were lost at the same time.
    Quarantined, ///< Counted, and the threshold is reached: the content is rejected from now on.
    Exempt, ///< Not counted, since the content was answered within the exemption duration.
};

/// The verdict's name in logs, for example "counted".
[[nodiscard]] std::string_view toString(loss_verdict value);

/// Detects request contents that crash the upstreams that run them.
///
/// A crash loses all attempts of an upstream at once, so that each of their contents becomes a suspect. The caller must run
/// at most one suspect on an upstream: the one that loses a second upstream is then the cause, and the others complete and
/// are cleared. When many upstreams are lost at about the same time, their failure domain may be the cause, so that more
/// losses are needed to quarantine a content. They are still counted: contents that crash upstreams can cause a mass loss
/// themselves.
class crash_guard
{
public:
    explicit crash_guard(const crash_guard_options &options);

    /// Sets the number of upstreams of the cell.
    void setUpstreamCount(std::size_t count);

    /// Records that an attempt of @p fingerprint was lost.
    loss_verdict recordLoss(std::uint64_t fingerprint, const upstream_id &upstream, time_point now);

    /// Records that an attempt of @p fingerprint was answered, which exempts it for a time. Many callers may send the same content,
    /// so that some of its runs are lost for other reasons.
    void recordAnswer(std::uint64_t fingerprint, time_point now);

    /// Whether an attempt of @p fingerprint was recently lost outside a mass loss and none has been answered since.
    [[nodiscard]] bool isSuspect(std::uint64_t fingerprint, time_point now) const;

    /// Records that an attempt of @p fingerprint was abandoned without an answer, as when an upstream ends without closing its
    /// connections.
    void recordUnanswered(std::uint64_t fingerprint, const upstream_id &upstream, time_point now);

    /// Removes and returns the contents that an ended upstream left unanswered shortly before its end. The caller must pass each
    /// of them to recordLoss().
    [[nodiscard]] std::vector<std::uint64_t> takeUnanswered(const upstream_id &upstream, time_point now);

    /// Records that an upstream was still running at @p aliveAt, which refutes earlier losses at it, and ends quarantines that the
    /// other losses would not have decided. Returns the contents whose losses are refuted.
    std::vector<std::uint64_t> recordAlive(const upstream_id &upstream, time_point aliveAt);

    /// Number of upstreams lost while running the content.
    [[nodiscard]] std::size_t lossCount(std::uint64_t fingerprint) const;

    /// Until when the content is quarantined; none if it is not.
    [[nodiscard]] std::optional<time_point> quarantinedUntil(std::uint64_t fingerprint, time_point now) const;

    /// Quarantines a content until @p until, or longer if it already is; has no effect within the exemption after an answer.
    void quarantine(std::uint64_t fingerprint, time_point until, time_point now);

    /// Ends what quarantine() has begun, but not a quarantine decided from the losses recorded here.
    void withdraw(std::uint64_t fingerprint);

    /// All contents that are quarantined at @p now.
    [[nodiscard]] std::vector<quarantined_fingerprint> quarantined(time_point now) const;

private:
    struct recorded_loss
    {
        time_point at;
        bool inMassLoss = false;
    };
    struct record
    {
        std::map<upstream_id, recorded_loss> losses;
        time_point lostAt; ///< Time of the last loss.
        time_point decidedAt; ///< Time of the loss that has decided the last quarantine.
        std::optional<time_point> decidedUntil; ///< End of the quarantine decided from these losses.
        std::optional<time_point> notifiedUntil; ///< End of the quarantine set by quarantine().
        std::uint32_t quarantineCount = 0; ///< Number of quarantines decided from these losses.
    };

    struct unanswered_attempt
    {
        std::uint64_t fingerprint = 0;
        upstream_id upstream;
        time_point at;
    };

    record &recordOf(std::uint64_t fingerprint, time_point now);
    void evictOldest(time_point now);
    [[nodiscard]] bool isExempt(std::uint64_t fingerprint, time_point now) const;
    [[nodiscard]] duration nextQuarantine(const record &value) const;
    [[nodiscard]] bool isMassLoss(const upstream_id &upstream, time_point now);
    void markMassLossSince(time_point from);
    [[nodiscard]] static std::optional<time_point> quarantineEnd(const record &value);
    [[nodiscard]] bool reachesThreshold(const record &value) const;
    void reconsider(record &entry, time_point refutedLossAt) const;
    [[nodiscard]] bool expired(const record &value, time_point now) const;

    crash_guard_options m_options;
    std::unordered_map<std::uint64_t, record> m_records;
    std::map<upstream_id, time_point> m_lostUpstreams; ///< Time of the last loss of each upstream, within the mass loss window.
    std::size_t m_upstreamCount = 0;
    std::deque<std::uint64_t> m_recordOrder; ///< Keys of m_records, in the order of their first observation.
    std::deque<unanswered_attempt> m_unanswered; ///< Ordered by time.
    std::unordered_map<std::uint64_t, time_point> m_answeredAt;
    std::deque<std::uint64_t> m_answerOrder; ///< Keys of m_answeredAt, in the order of their first answers.
};

} // namespace banyan
