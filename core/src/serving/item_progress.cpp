#include "banyan/core/serving/item_progress.h"

#include "banyan/core/serving/item_checkpoint.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr duration initialDelay = std::chrono::milliseconds(50); ///< Doubled after each run without progress.
constexpr duration maximumDelay = std::chrono::seconds(1);
constexpr std::uint32_t maximumDoublings = 6;
constexpr duration minimumWait = std::chrono::seconds(5); ///< For a slot, also of an item that has expired.

} // namespace

item_progress::item_progress(const item_progress_options &options)
    : m_options(options)
{
}

void item_progress::setOptions(const item_progress_options &options)
{
    m_options = options;
}

void item_progress::restore(const item_checkpoint &checkpoint)
{
    m_position = stream_position(checkpoint.lastEvent);
    m_output = checkpoint.output;
    m_origin = checkpoint.origin;
    m_hasOutput = true;
}

void item_progress::beginRun(const stream_origin &origin)
{
    m_runOrigin = origin;
}

void item_progress::restart()
{
    m_position = stream_position();
    m_output.clear();
    m_origin = {};
    m_hasOutput = false;
}

bool item_progress::addEvent(const stream_event &event)
{
    switch (m_position.advance(event)) {
    case stream_position::action::Gap:
        return false;
    case stream_position::action::Drop:
        return true;
    case stream_position::action::Forward:
        break;
    }
    m_output.append(m_hasOutput ? "\n" : "").append(event.data);
    m_hasOutput = true;
    m_origin = m_runOrigin; // The same as before if there was output.
    m_runsWithoutProgress = 0;
    return true;
}

item_step item_progress::finishRun(attempt_outcome outcome, time_point now)
{
    switch (outcome) {
    case attempt_outcome::Succeeded:
        return item_step::Succeeded;
    case attempt_outcome::Answered:
        return item_step::Errored;
    case attempt_outcome::Failed:
        if (++m_failures >= m_options.maximumFailures) {
            return item_step::Errored;
        }
        break;
    case attempt_outcome::Cancelled:
        break;
    case attempt_outcome::NotSent:
    case attempt_outcome::Refused:
    case attempt_outcome::Lost:
    case attempt_outcome::TimedOut:
        ++m_runsWithoutProgress;
        break;
    }
    if (now >= m_options.expiresAt) {
        return item_step::Errored;
    }
    if (!m_position.last()) {
        m_output.clear(); // The next run begins at the start.
        m_hasOutput = false;
    }
    return item_step::RunAgain;
}

time_point item_progress::waitEndsAt(time_point since) const
{
    return std::max(m_options.expiresAt, since + minimumWait);
}

duration item_progress::retryDelay() const
{
    if (m_runsWithoutProgress == 0) {
        return duration(0);
    }
    return std::min(maximumDelay, initialDelay * (1U << std::min(m_runsWithoutProgress - 1, maximumDoublings)));
}

} // namespace banyan
