#include "banyan/core/serving/job_forecast.h"

#include "../seconds.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace banyan {

job_forecast::job_forecast(job_forecast_options options)
    : m_options(options)
{
}

void job_forecast::observed(std::uint32_t slots, std::uint32_t online, time_point now)
{
    const double left = static_cast<double>(slots - std::min(slots, online));
    const double weight = 1 - std::exp(-toSeconds(now - m_observedAt) / toSeconds(m_options.occupancyMemory));
    m_batchSlots = m_batchSlots ? *m_batchSlots + weight * (left - *m_batchSlots) : left;
    m_observedAt = now;
}

void job_forecast::completed(std::uint64_t tokens, duration runTime)
{
    const double kept = 1 - 1 / m_options.runMemory;
    m_tokens = m_tokens * kept + static_cast<double>(tokens);
    m_runSeconds = m_runSeconds * kept + toSeconds(runTime);
}

std::optional<double> job_forecast::tokensPerSecond() const
{
    if (!m_batchSlots || m_runSeconds <= 0) {
        return std::nullopt;
    }
    return *m_batchSlots * m_tokens / m_runSeconds;
}

std::uint64_t job_forecast::tokensInTime(const situation &at, double tokensPerSecond, time_point now) const
{
    std::vector<const job_entry *> byAge;
    byAge.reserve(at.open.size());
    for (const job_entry &entry : at.open) {
        byAge.push_back(&entry);
    }
    std::stable_sort(byAge.begin(), byAge.end(), [](const job_entry *left, const job_entry *right) {
        return left->submittedAt < right->submittedAt;
    });
    std::uint64_t ahead = 0;
    for (const job_entry *const entry : byAge) {
        const double possible = tokensPerSecond * toSeconds(entry->submittedAt + at.window - now);
        if (static_cast<double>(ahead + entry->tokensLeft) <= possible) {
            ahead += entry->tokensLeft;
        }
    }
    return ahead;
}

std::uint64_t job_forecast::limitFor(const situation &at, time_point now) const
{
    const std::optional<double> rate = tokensPerSecond();
    if (!rate || at.open.empty()) {
        return at.quota; // Nothing is known that speaks against the job, or nothing is gained by a refusal.
    }
    const double possible = *rate * toSeconds(at.window);
    if (static_cast<double>(tokensInTime(at, *rate, now) + at.tokens) <= possible) {
        return at.quota;
    }
    const auto quota = static_cast<double>(at.quota);
    return static_cast<std::uint64_t>(std::clamp(quota - possible, 0.0, quota * m_options.lateShare));
}

} // namespace banyan
