#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/serving/stream_event.h"
#include "banyan/core/serving/stream_origin.h"
#include "banyan/core/serving/stream_position.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace banyan {

struct item_checkpoint;

/// Options of an item_progress.
struct item_progress_options
{
    std::uint32_t maximumFailures = 1; ///< Number of runs reported as failed by upstreams after which the item is abandoned.
    time_point expiresAt; ///< Time at which an unfinished item expires.
};

/// What follows the end of an item's run.
enum class item_step {
    RunAgain, ///< Run the item again after retryDelay(), from the last event on.
    Succeeded,
    Errored,
};

/// Combines the output of all runs of one item of a job, and decides whether to run it again.
class item_progress
{
public:
    explicit item_progress(const item_progress_options &options);

    /// Replaces the options, after a change of the configuration.
    void setOptions(const item_progress_options &options);

    /// Resumes from the checkpoint stored by an earlier owner of the job.
    void restore(const item_checkpoint &checkpoint);

    /// Begins a run at an upstream of this service and software version, which must be origin() if that is known.
    void beginRun(const stream_origin &origin);

    /// Drops the output, so that the next run begins at the start. The events of two services or software versions do not fit together.
    void restart();

    /// Whether there is output that a run has to continue.
    [[nodiscard]] bool hasOutput() const
    {
        return m_hasOutput;
    }

    /// What made the output; empty as far as it is not known, or if there is none.
    [[nodiscard]] const stream_origin &origin() const
    {
        return m_origin;
    }

    /// Adds an event of the current run. Returns false if events before it are missing, so that the run cannot be used.
    [[nodiscard]] bool addEvent(const stream_event &event);

    /// The event after which the next run continues; none if it has to begin at the start.
    [[nodiscard]] std::optional<std::uint64_t> resumeAfter() const
    {
        return m_position.last();
    }

    /// Ends the current run. Succeeded means that its stream is complete, Failed that the upstream reported a failure, Answered
    /// that the upstream reported that the item can never succeed.
    [[nodiscard]] item_step finishRun(attempt_outcome outcome, time_point now);

    /// When the item is given up.
    [[nodiscard]] time_point expiresAt() const
    {
        return m_options.expiresAt;
    }

    /// When an item that waits for a slot since @p since is given up: when it expires, but not before it has waited for some seconds,
    /// since its job may have changed hands meanwhile.
    [[nodiscard]] time_point waitEndsAt(time_point since) const;

    /// How long to wait before the next run.
    [[nodiscard]] duration retryDelay() const;

    /// Number of runs that upstreams reported as failed.
    [[nodiscard]] std::uint32_t failures() const
    {
        return m_failures;
    }

    /// The data of all events so far, joined by line feeds.
    [[nodiscard]] const std::string &output() const
    {
        return m_output;
    }

private:
    item_progress_options m_options;
    stream_position m_position;
    std::string m_output;
    stream_origin m_origin; ///< Of the output.
    stream_origin m_runOrigin; ///< Of the current run's events.
    bool m_hasOutput = false;
    std::uint32_t m_failures = 0; ///< Failures reported by upstreams.
    std::uint32_t m_runsWithoutProgress = 0; ///< Consecutive runs without progress that ended for other reasons.
};

} // namespace banyan
