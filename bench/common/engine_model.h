#pragma once

#include "event_loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <set>

namespace banyan::bench {

/// Options of an engine_model.
struct engine_options
{
    duration stepTime = std::chrono::milliseconds(25); ///< Of one decoding step while the engine is not saturated.
    double saturation = 16; ///< Sequences at which memory bandwidth and computing power balance.
    double sharpness = 8; ///< How sharply the step time bends at saturation.
    double prefillLoad = 2; ///< A sequence whose prompt is being read weighs as much as this many.
    std::uint32_t maximumRunning = 64; ///< Sequences that run at once; more wait inside the engine, first in first out.
    std::size_t cachedPrefixes = 32; ///< Prompt prefixes in the engine's cache.
    double cachedPrefillShare = 0.25; ///< Of the prompt's steps that remain when its prefix is cached.
};

/// One request as an engine sees it.
struct engine_job
{
    double prefillSteps = 2; ///< Until the first token.
    double tokens = 40; ///< One each step.
    std::uint64_t prefixHash = 0;
    bool crashes = false; ///< The engine dies when the first token is due.
};

/// A model engine that batches continuously: all running sequences advance one token a step, and a step takes longer the
/// more sequences there are beyond saturation. It knows no priorities.
class engine_model
{
public:
    /// How a job ended.
    enum class ending {
        Done,
        Lost, ///< The engine died.
    };
    using first_token_handler = std::function<void()>;
    using end_handler = std::function<void(ending)>;

    engine_model(event_loop &loop, const engine_options &options);

    /// Takes in a job under @p key; returns false if the engine is down.
    bool start(std::uint64_t key, const engine_job &job, first_token_handler onFirstToken, end_handler onEnd);

    /// Drops a job; nothing is called for it any more.
    void cancel(std::uint64_t key);

    /// Tokens that the job under @p key has received so far.
    [[nodiscard]] std::uint32_t tokensOf(std::uint64_t key);

    /// Makes each step @p factor times longer from now on.
    void setSlowdown(double factor);

    /// Ends all jobs as lost and refuses others until @p until.
    void crash(time_point until);

    /// Tokens generated so far, those of cancelled jobs included.
    [[nodiscard]] double tokensGenerated() const
    {
        return m_tokensGenerated;
    }

    /// Tokens a second with @p sequences running.
    [[nodiscard]] static double throughputAt(const engine_options &options, double sequences);

private:
    struct sequence
    {
        engine_job job;
        first_token_handler onFirstToken;
        end_handler onEnd;
        double firstTokenAt = 0; ///< In steps.
        bool decoding = false;
        bool running = false;
    };
    struct milestone
    {
        double step = 0;
        std::uint64_t key = 0;
        auto operator<=>(const milestone &) const = default;
    };

    [[nodiscard]] double secondsPerStep() const;
    void advance();
    void reschedule();
    void admit(std::uint64_t key);
    void admitWaiting();
    void reachMilestones(std::uint64_t generation);
    void reach(std::uint64_t key);
    void remove(std::uint64_t key);
    bool touchPrefix(std::uint64_t prefix);

    event_loop &m_loop;
    engine_options m_options;
    std::map<std::uint64_t, sequence> m_sequences;
    std::deque<std::uint64_t> m_waiting;
    std::set<milestone> m_milestones;
    std::list<std::uint64_t> m_prefixes; ///< Most recently used first.
    std::uint32_t m_running = 0;
    std::uint32_t m_decoding = 0;
    double m_step = 0;
    double m_slowdown = 1;
    double m_tokensGenerated = 0;
    time_point m_advancedAt;
    time_point m_downUntil;
    std::uint64_t m_generation = 0;
};

} // namespace banyan::bench
