#include "banyan/io/lease_session.h"

#include "banyan/io/async_event.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace banyan {

/// One who waits for an item's outcome.
struct outcome_waiter
{
    explicit outcome_waiter(asio::io_context &context)
        : changed(context)
    {
    }

    async_event changed;
    std::optional<commit_outcome> outcome;
};

namespace {

task<commit_outcome> outcomeOf(std::shared_ptr<outcome_waiter> waiter)
{
    while (!waiter->outcome) {
        co_await waiter->changed.wait();
    }
    co_return *waiter->outcome;
}

} // namespace

class lease_session::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context &ioContext, store_port storePort, group_committer_options options)
        : context(ioContext)
        , port(std::move(storePort))
        , leaseKey(options.leaseKey)
        , committer(std::move(options))
    {
    }

    std::shared_ptr<outcome_waiter> acquire(const std::optional<row> &seen, commit_item first)
    {
        const commit_ticket ticket = committer.acquire(seen, std::move(first), port.now());
        return track(ticket);
    }

    std::shared_ptr<outcome_waiter> submit(commit_item item)
    {
        return track(committer.submit(std::move(item)));
    }

    void release()
    {
        committer.release();
        step();
    }

    void setCommitsPerSecond(double rate)
    {
        committer.setCommitsPerSecond(rate, port.now());
        step();
    }

    void stop()
    {
        m_stopped = true;
        lostHandler = nullptr;
        unavailableHandler = nullptr;
    }

    /// Starts the next call if one is due, else sees to it that this is called again in time.
    void step()
    {
        if (m_stopped) {
            return;
        }
        const std::optional<store_call> call = committer.nextCall(port.now());
        if (call) {
            asio::co_spawn(context, perform(shared_from_this(), *call), asio::detached);
        }
        deliver();
        scheduleWakeUp();
    }

    asio::io_context &context;
    store_port port;
    const std::string leaseKey;
    group_committer committer;
    std::function<void()> lostHandler;
    std::function<void()> unavailableHandler;

private:
    std::shared_ptr<outcome_waiter> track(commit_ticket ticket)
    {
        auto waiter = std::make_shared<outcome_waiter>(context);
        m_waiters.emplace(ticket, waiter);
        step();
        return waiter;
    }

    static task<> perform(std::shared_ptr<implementation> self, store_call call)
    {
        if (const auto *commit = std::get_if<commit_call>(&call)) {
            co_await performCommit(self, commit->change);
        } else {
            co_await performRead(self, std::get<read_call>(call).key);
        }
        self->step();
    }

    static task<> performCommit(std::shared_ptr<implementation> self, transaction change)
    {
        std::optional<commit_failure> failure;
        try {
            const commit_result result = co_await self->port.commit(std::move(change));
            self->committer.commitAnswered(result, self->port.now());
        } catch (const platform_unavailable &error) {
            failure = commit_failure::Unavailable;
            self->logFailure("lease_commit_unavailable", error);
        } catch (const platform_outcome_unknown &error) {
            failure = commit_failure::OutcomeUnknown;
            self->logFailure("lease_commit_unknown", error);
        }
        if (failure) {
            self->committer.commitFailed(*failure, self->port.now());
        }
    }

    static task<> performRead(std::shared_ptr<implementation> self, std::string key)
    {
        bool answered = false;
        try {
            const std::optional<row> answer = co_await self->port.read(std::move(key));
            answered = true;
            self->committer.readAnswered(answer);
        } catch (const platform_unavailable &error) {
            self->logFailure("lease_read_unavailable", error);
        }
        if (!answered) {
            self->committer.readFailed(self->port.now());
        }
    }

    void logFailure(std::string_view event, const std::exception &error) const
    {
        logEvent(log_level::Warning, event, {{"lease", leaseKey}, {"error", error.what()}});
    }

    void deliver()
    {
        if (!committer.storeAvailable() && unavailableHandler) {
            unavailableHandler();
        }
        for (const commit_outcome &outcome : committer.takeOutcomes()) {
            const auto found = m_waiters.find(outcome.ticket);
            if (found != m_waiters.end()) {
                found->second->outcome = outcome;
                found->second->changed.notify();
                m_waiters.erase(found);
            }
        }
        if (committer.status() == lease_status::Lost && lostHandler) {
            logEvent(log_level::Warning, "lease_lost", {{"lease", leaseKey}});
            std::exchange(lostHandler, nullptr)();
        }
    }

    void scheduleWakeUp()
    {
        const time_point now = port.now();
        const std::optional<time_point> wanted = committer.nextWakeUp(now);
        if (!wanted || (m_wakeUp && *m_wakeUp <= *wanted)) {
            return;
        }
        m_wakeUp = wanted;
        port.callAt(*wanted, [weak = weak_from_this(), when = *wanted] {
            if (const auto self = weak.lock()) {
                self->wokenUp(when);
            }
        });
    }

    void wokenUp(time_point when)
    {
        if (m_wakeUp == when) {
            m_wakeUp.reset();
        }
        step();
    }

    std::map<commit_ticket, std::shared_ptr<outcome_waiter>> m_waiters;
    std::optional<time_point> m_wakeUp;
    bool m_stopped = false;
};

lease_session::lease_session(asio::io_context &context, store_port port, group_committer_options options)
    : m_implementation(std::make_shared<implementation>(context, std::move(port), std::move(options)))
{
}

lease_session::~lease_session()
{
    m_implementation->stop();
}

task<bool> lease_session::acquire(const std::optional<row> &seen, commit_item first)
{
    return heldAfter(m_implementation, m_implementation->acquire(seen, std::move(first)));
}

task<bool> lease_session::heldAfter(std::shared_ptr<implementation> state, std::shared_ptr<outcome_waiter> waiter)
{
    co_await outcomeOf(waiter);
    const lease_status status = state->committer.status();
    co_return status == lease_status::Held || status == lease_status::Releasing;
}

task<commit_outcome> lease_session::commit(commit_item item)
{
    return outcomeOf(m_implementation->submit(std::move(item)));
}

task<> lease_session::release(time_point until)
{
    constexpr duration pollInterval = std::chrono::milliseconds(20);
    const auto state = m_implementation;
    state->release();
    while (state->committer.status() == lease_status::Releasing || state->committer.status() == lease_status::Acquiring) {
        if (state->port.now() >= until) {
            co_return;
        }
        co_await sleepUntil(state->port, std::min(until, state->port.now() + pollInterval));
    }
}

void lease_session::disown(const std::string &recordKey)
{
    m_implementation->committer.removeOwnership(recordKey);
    m_implementation->step();
}

void lease_session::setCommitsPerSecond(double rate)
{
    m_implementation->setCommitsPerSecond(rate);
}

void lease_session::storeAnswered()
{
    m_implementation->committer.storeAnswered(m_implementation->port.now());
    m_implementation->step();
}

void lease_session::onUnavailable(std::function<void()> handler)
{
    m_implementation->unavailableHandler = std::move(handler);
}

void lease_session::onLost(std::function<void()> handler)
{
    m_implementation->lostHandler = std::move(handler);
}

bool lease_session::held() const
{
    return m_implementation->committer.isHeld(m_implementation->port.now());
}

const group_committer &lease_session::committer() const
{
    return m_implementation->committer;
}

} // namespace banyan
