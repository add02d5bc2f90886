#pragma once

#include "banyan/core/dispatcher.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace banyan::test {

/// The kinds of events that the harness applies to the dispatcher under test.
enum class event_kind {
    SubmitOnline,
    SubmitBatch,
    FirstByte,
    Progress,
    Succeed,
    Answer,
    LoseAttempt,
    RejectAttempt,
    FailToSend,
    FailAttempt,
    TimeOut,
    CancelRequest,
    ChangeUpstreams,
    Tick,
    Drain,
};

/// One event; @p pick selects the request, attempt or upstream that it affects.
struct dispatcher_event
{
    event_kind kind = event_kind::Tick;
    std::uint32_t pick = 0;
    bool repeatable = true;
    bool urgent = false; ///< A short deadline.
    std::uint32_t delayMs = 0; ///< Time that passes before the event.
};

/// The state of an attempt as observed by the harness.
struct observed_attempt
{
    request_id request;
    upstream_id upstream;
};

/// The state of a request as observed by the harness.
struct observed_request
{
    dispatch_request request;
    std::set<attempt_id> inFlight;
    std::optional<attempt_id> chosen;
    std::uint32_t started = 0;
    std::uint32_t mayHaveRun = 0; ///< Attempts that did not end as NotSent or Refused.
    std::uint32_t failures = 0; ///< Attempts that ended without an answer.
    bool lastFailed = false; ///< Whether the last attempt to end failed and was not cancelled.
    std::optional<final_result> result;
};

/// Hosts a dispatcher, applies events to it and checks after each action that the guarantees of dispatcher.h hold.
/// Throws std::logic_error that names the violated guarantee.
class dispatcher_harness
{
public:
    explicit dispatcher_harness(const dispatcher_options &options);

    void apply(const dispatcher_event &event);

    /// Lets all attempts succeed and time pass until no work is left; throws if a request was not finished.
    void runToCompletion();

    [[nodiscard]] const std::map<request_id, observed_request> &requests() const
    {
        return m_requests;
    }

    [[nodiscard]] const std::map<attempt_id, observed_attempt> &attempts() const
    {
        return m_attempts;
    }

    [[nodiscard]] time_point now() const
    {
        return m_now;
    }

    std::uint32_t firstAttempts = 0;
    std::uint32_t retries = 0;
    std::uint32_t hedges = 0;

private:
    void perform(const dispatch_actions &actions);
    void execute(const start_attempt &action);
    void execute(const cancel_attempt &action);
    void execute(const choose_attempt &action);
    void execute(const finish_request &action);
    void checkDeadlines() const;
    void checkPriority() const;
    void checkBudgets() const;
    [[nodiscard]] bool onlineWaits(bool isLong) const;
    void submit(const dispatcher_event &event, work_class value);
    void endAttempt(const dispatcher_event &event, attempt_outcome outcome);
    void changeUpstreams(std::uint32_t pick);
    void tickDue();

    dispatcher_options m_options;
    dispatcher m_dispatcher;
    std::map<request_id, observed_request> m_requests;
    std::map<attempt_id, observed_attempt> m_attempts; ///< In flight.
    std::set<upstream_id> m_usable;
    time_point m_now;
    bool m_draining = false;
};

} // namespace banyan::test
