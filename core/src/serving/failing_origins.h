#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace banyan {

/// Options of failing_origins.
struct failing_origins_options
{
    std::uint32_t failuresInRow = 3; ///< Consecutive failures from which an origin counts as failing.
    std::size_t upstreamsForBlame = 2; ///< Upstreams at which an origin must have failed before it is blamed, if there are as many.
    duration memory = std::chrono::seconds(10); ///< An origin without a failure for this long is forgotten.
    std::size_t maximumOrigins = 256; ///< Further origins are not recorded.
};

/// Tells requests that fail at any upstream from an upstream that fails any request.
///
/// Load pattern: many requests of one origin, for example the items of a batch job, that no upstream can serve. By itself a
/// failure is evidence against the upstream as much as against the request. An origin is blamed only if it has failed at
/// several upstreams without a success, and one of these has answered a request of another origin since. An upstream that fails
/// everything therefore never has its failures blamed on an origin, and one success of the origin ends the blame.
class failing_origins
{
public:
    explicit failing_origins(const failing_origins_options &options = {});

    /// Records that a run of @p origin failed at @p upstream, one of @p upstreamCount that the run could have used.
    void recordFailure(std::uint64_t origin, const upstream_id &upstream, std::size_t upstreamCount, time_point now);

    /// Records that @p upstream has begun to answer a run of @p origin, which was sent to it at @p sentAt. An origin of 0 is not known.
    void recordAnswer(std::uint64_t origin, const upstream_id &upstream, time_point sentAt);

    /// Records that a run of @p origin has succeeded.
    void recordSuccess(std::uint64_t origin);

    /// Whether the origin has failed several times in a row, whoever may be to blame.
    [[nodiscard]] bool isFailing(std::uint64_t origin, time_point now) const;

    /// Whether its failures say nothing about the upstreams.
    [[nodiscard]] bool isBlamed(std::uint64_t origin, time_point now) const;

    /// Returns true at the first call since the origin's last success, for the log.
    [[nodiscard]] bool reportBlame(std::uint64_t origin);

private:
    struct failure_record
    {
        std::uint32_t failures = 0; ///< Since the last success.
        std::size_t upstreamCount = 0; ///< That the last failed run could have used.
        std::map<upstream_id, time_point> lastFailureAt;
        time_point lastAt;
        bool othersAnswered = false; ///< Whether one of the upstreams has answered another origin after it had failed this one.
        bool blameReported = false;
    };

    void forgetOld(time_point now);

    failing_origins_options m_options;
    std::map<std::uint64_t, failure_record> m_records;
};

} // namespace banyan
