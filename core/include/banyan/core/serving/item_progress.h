#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/serving/stream_event.h"
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
    std::uint32_t maximumFailures = 1; ///< Runs that an upstream ended as failed, after which the item is given up.
    time_point expiresAt; ///< An item that is not done by then is given up.
};

/// What follows the end of an item's run.
enum class item_step {
    RunAgain, ///< After delay(), from the last event on.
    Succeeded,
    Errored,
};

/// The runs of one item of a job: what they have made together, and whether there is to be another.
class item_progress
{
public:
    explicit item_progress(const item_progress_options &options);

    /// Goes on from what an earlier owner of the job has stored.
    void restore(const item_checkpoint &checkpoint);

    /// Takes in an event of the current run. Returns false if events before it are missing, so that the run is of no use.
    [[nodiscard]] bool addEvent(const stream_event &event);

    /// The event after which the next run continues; none if it has to begin at the start.
    [[nodiscard]] std::optional<std::uint64_t> resumeAfter() const
    {
        return m_position.last();
    }

    /// The current run has ended. Succeeded means that its stream is complete, Failed that the upstream reported a failure,
    /// Answered that it said that the item can never be done.
    [[nodiscard]] item_step finishRun(attempt_outcome outcome, time_point now);

    /// How long to wait before the next run.
    [[nodiscard]] duration retryDelay() const;

    /// The data of all events so far, joined by line feeds.
    [[nodiscard]] const std::string &output() const
    {
        return m_output;
    }

private:
    item_progress_options m_options;
    stream_position m_position;
    std::string m_output;
    bool m_hasOutput = false;
    std::uint32_t m_failures = 0; ///< Reported by upstreams.
    std::uint32_t m_runsWithoutProgress = 0; ///< Ends without progress in a row, of any other kind.
};

} // namespace banyan
