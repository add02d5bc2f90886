#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <deque>

namespace banyan {

/// Requests of an organisation at this node since its start.
struct limit_totals
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

/// What one node knows of one organisation's limit: the credits that it may use, how many it is going to need, and until when it
/// makes no sense to ask for more.
class organisation_credits
{
public:
    /// Records a request, for the estimate of how many come.
    void recordArrival(time_point now);

    /// Takes a credit if there is one; returns whether it did.
    [[nodiscard]] bool take(time_point now);

    /// Adds credits that may be used before @p end.
    void add(std::uint32_t count, time_point end);

    /// Number of credits to ask for beside those of waiting requests, if requests that come within @p ahead should find one.
    [[nodiscard]] std::uint32_t wantedSpare(duration ahead, time_point now);

    /// Records that spare credits were asked for; no others are wanted before @p until.
    void recordSpareAsked(time_point until);

    /// Records that there is no credit to be had before @p until.
    void recordDry(time_point until);

    [[nodiscard]] bool isDry(time_point now) const;

    void recordAdmitted(time_point now);

    /// Records a refusal and returns when the refused request can probably be admitted, at most @p longest.
    [[nodiscard]] duration recordRefused(duration longest, time_point now);

    [[nodiscard]] const limit_totals &totals() const;

private:
    /// A number of events that loses weight with age.
    struct recent_count
    {
        double value = 0;
        time_point at;

        void add(time_point now);
        [[nodiscard]] double valueAt(time_point now) const;
    };

    /// Credits of one grant.
    struct lot
    {
        std::uint32_t count = 0;
        time_point end;
    };

    void dropEnded(time_point now);

    std::deque<lot> m_lots;
    std::uint32_t m_credits = 0; ///< Of all lots.
    recent_count m_arrivals;
    recent_count m_admitted;
    recent_count m_refused;
    time_point m_dryUntil;
    time_point m_spareAskedUntil;
    limit_totals m_totals;
};

} // namespace banyan
