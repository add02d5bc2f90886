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
    std::uint32_t quarantineThreshold = 2; ///< Upstreams that may be lost under a content before it is stopped.
    std::uint32_t massLossQuarantineThreshold = 3; ///< The same, counting those that were lost in a mass loss.
    duration quarantineDuration =
        std::chrono::minutes(10); ///< How long suspicions and first stops last; each further stop lasts twice as long.
    duration exemptionDuration =
        std::chrono::seconds(60); ///< How long a content is not blamed after it was answered: longer than most outages.
    duration massLossWindow = std::chrono::seconds(2); ///< Losses within this time count as one event where they hit many upstreams.
    std::size_t massLossThreshold = 3; ///< Upstreams lost in that time that make a mass loss; at least half of the cell.
    duration unansweredRetention = std::chrono::seconds(10); ///< For the end of an upstream to become known.
    std::size_t maximumEntries = 4096; ///< Contents remembered; older ones that are not stopped are forgotten first.
};

/// What a crash_guard makes of a loss.
enum class loss_verdict {
    AlreadyCounted, ///< It was counted before.
    Counted,
    CountedInMassLoss, ///< Counted, but many upstreams were lost at the same time.
    Quarantined, ///< Counted, and enough: the content is refused from now on.
    Exempt, ///< Not counted, since the content was answered a moment ago.
};

/// The verdict's name in logs, for example "counted".
[[nodiscard]] std::string_view toString(loss_verdict value);

/// Finds contents that crash the upstreams that run them.
///
/// A crash loses all attempts of an upstream at once, so that each of their contents becomes a suspect. Suspects are to
/// run with at most one of them on an upstream: whichever loses a second upstream is then the cause, and the others
/// complete and are cleared. When many upstreams are lost at about the same time, their failure domain may be to blame, so
/// that more losses are needed to stop a content. They are still counted: contents that crash upstreams can cause a mass
/// loss themselves.
class crash_guard
{
public:
    explicit crash_guard(const crash_guard_options &options);

    /// How many upstreams the cell has.
    void setUpstreamCount(std::size_t count);

    /// Takes in that an attempt of @p fingerprint was lost.
    loss_verdict recordLoss(std::uint64_t fingerprint, const upstream_id &upstream, time_point now);

    /// Takes in that an attempt of @p fingerprint was answered. Many callers may send the same content, so that some of its
    /// runs are lost for other reasons.
    void recordAnswer(std::uint64_t fingerprint, time_point now);

    /// Whether an attempt of @p fingerprint has been lost lately and none answered since.
    [[nodiscard]] bool isSuspect(std::uint64_t fingerprint, time_point now) const;

    /// Takes in that an attempt of @p fingerprint was given up without an answer: an upstream that ends silently looks like this.
    void recordUnanswered(std::uint64_t fingerprint, const upstream_id &upstream, time_point now);

    /// Takes in that an upstream has ended. Returns the contents that it had left unanswered shortly before, each of which it is
    /// to be counted for with lost().
    [[nodiscard]] std::vector<std::uint64_t> takeUnanswered(const upstream_id &upstream, time_point now);

    /// How many upstreams have been lost under the content.
    [[nodiscard]] std::size_t lossCount(std::uint64_t fingerprint) const;

    /// Until when the content is refused; none if it is not.
    [[nodiscard]] std::optional<time_point> quarantinedUntil(std::uint64_t fingerprint, time_point now) const;

    /// Refuses a content until @p until, or longer if it is refused for longer already; not if it was answered a moment ago.
    void quarantine(std::uint64_t fingerprint, time_point until, time_point now);

    /// All contents that are refused at @p now.
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
        time_point lostAt; ///< The last time.
        std::optional<time_point> decidedUntil; ///< For these losses.
        std::optional<time_point> notifiedUntil; ///< By stop().
        std::uint32_t quarantineCount = 0; ///< For these losses, so far.
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
    [[nodiscard]] bool expired(const record &value, time_point now) const;

    crash_guard_options m_options;
    std::unordered_map<std::uint64_t, record> m_records;
    std::map<upstream_id, time_point> m_lostUpstreams; ///< When each was lost last, within the window.
    std::size_t m_upstreamCount = 0;
    std::deque<std::uint64_t> m_recordOrder; ///< Of their first being noted.
    std::deque<unanswered_attempt> m_unanswered; ///< By time.
    std::unordered_map<std::uint64_t, time_point> m_answeredAt;
    std::deque<std::uint64_t> m_answerOrder; ///< Of their first answers.
};

} // namespace banyan
