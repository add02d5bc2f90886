#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/request_scheduler.h"
#include "serving/failing_origins.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};
constexpr duration failureTime = 30ms; ///< Until an upstream answers a run that fails.
constexpr duration runTime = 300ms;

struct job_result
{
    int items = 0;
    int succeeded = 0;
    int givenUp = 0; ///< Failed as often as an item may.
    time_point endedAt;

    [[nodiscard]] bool isComplete() const
    {
        return succeeded + givenUp == items;
    }
};

/// Jobs whose items run through a request_scheduler at upstreams that answer by a rule.
class job_model
{
public:
    static constexpr std::uint32_t maximumFailures = 3;
    static constexpr std::uint32_t slotCount = 8;

    /// Whether a run of a job at an upstream fails.
    using failure_rule = std::function<bool(int job, int upstream, time_point now)>;

    job_model(int upstreams, failure_rule fails)
        : m_fails(std::move(fails))
    {
        std::vector<replica> registered;
        registered.reserve(static_cast<std::size_t>(upstreams));
        for (int number = 0; number < upstreams; ++number) {
            registered.push_back({.id = upstream_id("u" + std::to_string(number)), .service = service_name("s"), .slots = slotCount});
        }
        perform(m_scheduler.setUpstreams(registered, m_now));
    }

    void submitAt(time_point at, int job, int items)
    {
        m_results[job].items = items;
        m_events.emplace(at, [this, job, items] {
            for (int submitted = 0; submitted < items; ++submitted) {
                submit({.job = job, .submittedAt = m_now});
            }
        });
    }

    void runUntil(time_point end)
    {
        for (;;) {
            const std::optional<time_point> wakeUp = m_scheduler.nextWakeUp();
            const time_point event = m_events.empty() ? time_point::max() : m_events.begin()->first;
            const time_point next = std::min(event, wakeUp ? std::max(*wakeUp, m_now + 1us) : time_point::max());
            if (next > end) {
                m_now = end;
                return;
            }
            m_now = next;
            if (next == event) {
                const std::function<void()> handle = m_events.begin()->second;
                m_events.erase(m_events.begin());
                handle();
            } else {
                perform(m_scheduler.tick(m_now));
            }
        }
    }

    [[nodiscard]] const job_result &result(int job) const
    {
        return m_results.at(job);
    }

    /// Jobs whose failures the scheduler has stopped to count against upstreams.
    [[nodiscard]] int blamed() const
    {
        return m_blamed;
    }

    /// Runs that an upstream has got so far.
    [[nodiscard]] int runsAt(int upstream) const
    {
        const auto runs = m_runs.find("u" + std::to_string(upstream));
        return runs == m_runs.end() ? 0 : runs->second;
    }

private:
    struct item
    {
        int job = 0;
        time_point submittedAt;
        std::uint32_t failures = 0;
    };

    void submit(const item &waiting)
    {
        const request_id id("r" + std::to_string(++m_lastRun));
        m_waiting[id] = waiting;
        perform(m_scheduler.submit({.id = id,
                                    .service = service_name("s"),
                                    .workClass = work_class::Batch,
                                    .arrivedAt = m_now,
                                    .target = waiting.submittedAt + 18s,
                                    .deadline = waiting.submittedAt + 60s,
                                    .repeatable = true,
                                    .origin = static_cast<std::uint64_t>(waiting.job) + 1,
                                    .earlierFailures = waiting.failures},
                                   m_now));
    }

    void perform(const slot_actions &actions)
    {
        for (const slot_action &action : actions) {
            if (const auto *const granted = std::get_if<slot_granted>(&action)) {
                begin(*granted);
            }
            m_blamed += std::holds_alternative<origin_blamed>(action) ? 1 : 0;
        }
    }

    void begin(const slot_granted &granted)
    {
        const request_id id = granted.request;
        const item running = m_waiting.extract(id).mapped();
        ++m_runs[granted.upstream.text()];
        const bool fails = m_fails(running.job, std::stoi(granted.upstream.text().substr(1)), m_now);
        if (!fails) {
            m_events.emplace(m_now + failureTime, [this, id] {
                m_scheduler.firstByte(id, m_now);
            });
        }
        m_events.emplace(m_now + (fails ? failureTime : runTime), [this, id, running, fails] {
            end(id, running, fails);
        });
    }

    void end(const request_id &id, item running, bool failed)
    {
        job_result &result = m_results[running.job];
        running.failures += failed ? 1 : 0;
        result.succeeded += failed ? 0 : 1;
        result.givenUp += running.failures == maximumFailures ? 1 : 0;
        result.endedAt = m_now;
        perform(m_scheduler.released(id, {.outcome = failed ? attempt_outcome::Failed : attempt_outcome::Succeeded}, m_now));
        if (failed && running.failures < maximumFailures) {
            submit(running);
        }
    }

    failure_rule m_fails;
    load_board m_board{1500ms};
    request_scheduler m_scheduler{{.self = node_id("n1")}, m_board};
    std::multimap<time_point, std::function<void()>> m_events;
    std::map<request_id, item> m_waiting;
    std::map<int, job_result> m_results;
    std::map<std::string, int> m_runs;
    time_point m_now = start;
    int m_lastRun = 0;
    int m_blamed = 0;
};

bool onlyJobZeroFails(int job, int, time_point)
{
    return job == 0;
}

} // namespace

// Guards against batch work that stops because the items of one job fail at every upstream.
TEST_CASE("jobs whose items fail at every upstream do not hold up the items of other jobs")
{
    for (const int upstreams : {1, 3}) {
        job_model model(upstreams, onlyJobZeroFails);
        model.submitAt(start, 0, 24);
        for (int job = 1; job <= 8; ++job) {
            model.submitAt(start + job * 325ms, job, 10);
        }
        model.runUntil(start + 18s);
        for (int job = 1; job <= 8; ++job) {
            INFO(upstreams << " upstreams, job " << job << ": " << model.result(job).succeeded << " of 10 items succeeded");
            CHECK(model.result(job).succeeded == 10);
        }
        CHECK(model.result(0).isComplete());
        CHECK(model.blamed() == 1);
    }
}

// Guards against failing jobs that come again and again and stop what lies between them.
TEST_CASE("jobs that fail one after the other leave the upstreams to sound jobs")
{
    job_model model(3, [](int job, int, time_point) {
        return job % 4 == 0;
    });
    for (int job = 0; job < 20; ++job) {
        model.submitAt(start + job * 1s, job, job % 4 == 0 ? 24 : 10);
    }
    model.runUntil(start + 60s);
    for (int job = 0; job < 20; ++job) {
        const job_result &result = model.result(job);
        INFO("job " << job << ": " << result.succeeded << " succeeded, " << result.givenUp << " given up of " << result.items);
        CHECK(result.isComplete());
        CHECK((job % 4 == 0 || result.endedAt < start + job * 1s + 6s));
    }
}

// What the blame of jobs must not break: an upstream at fault leaves rotation although all failures are of the same few jobs.
TEST_CASE("an upstream that fails all runs leaves rotation after those that it had when the third failed")
{
    job_model model(3, [](int, int upstream, time_point) {
        return upstream == 0;
    });
    for (int job = 0; job < 10; ++job) {
        model.submitAt(start + job * 2s, job, 10);
    }
    model.runUntil(start + 60s);
    CHECK(model.blamed() == 0);
    int items = 0;
    for (int job = 0; job < 10; ++job) {
        CHECK(model.result(job).succeeded == 10);
        items += model.result(job).items;
    }
    INFO("the failing upstream got " << model.runsAt(0) << " runs for " << items << " items");
    CHECK(model.runsAt(0) <= static_cast<int>(job_model::slotCount) + 10); // Probes, one at a time, are the rest.
}

// The same for one that fails only a part of its runs.
TEST_CASE("an upstream that fails part of its runs gets far fewer than the others")
{
    std::mt19937_64 generator(7);
    job_model model(3, [&](int, int upstream, time_point) {
        return upstream == 0 && std::bernoulli_distribution(0.4)(generator);
    });
    for (int job = 0; job < 60; ++job) {
        model.submitAt(start + job * 500ms, job, 10);
    }
    model.runUntil(start + 90s);
    for (int job = 0; job < 60; ++job) {
        INFO("job " << job << ": " << model.result(job).givenUp << " items given up");
        CHECK(model.result(job).succeeded == 10);
    }
    const int others = model.runsAt(1) + model.runsAt(2);
    INFO("the failing upstream got " << model.runsAt(0) << " runs, the others " << others);
    CHECK(model.runsAt(0) * 4 < others);
}

// Guards against ejections that outlast the failure of all upstreams, and against items that are spent meanwhile.
TEST_CASE("batch work goes on within two seconds after all upstreams have failed everything, without lost items")
{
    const time_point recovered = start + 12s;
    job_model model(3, [&](int, int, time_point now) {
        return now < recovered;
    });
    model.submitAt(start, 0, 30);
    model.submitAt(start + 1s, 1, 30);
    model.runUntil(recovered + 3s);
    CHECK(model.result(0).givenUp + model.result(1).givenUp == 0);
    CHECK(model.result(0).succeeded + model.result(1).succeeded > 0);
    model.runUntil(recovered + 6s);
    CHECK(model.result(0).succeeded + model.result(1).succeeded == 60);
}

TEST_CASE("failing_origins blames an origin only with an answer to another one since its failure, at one of several upstreams")
{
    failing_origins failing;
    const upstream_id first("u0");
    const upstream_id second("u1");
    for (int failure = 0; failure < 2; ++failure) {
        failing.recordFailure(1, first, 2, start);
    }
    CHECK_FALSE(failing.isFailing(1, start));
    failing.recordFailure(1, first, 2, start);
    CHECK(failing.isFailing(1, start));
    failing.recordAnswer(2, first, start - 1ms); // Sent before the failure: the upstream may have failed since.
    failing.recordAnswer(1, first, start + 1ms);
    failing.recordFailure(1, second, 2, start);
    CHECK_FALSE(failing.isBlamed(1, start));
    failing.recordAnswer(2, second, start + 1ms);
    CHECK(failing.isBlamed(1, start));
    failing.recordSuccess(1);
    CHECK_FALSE(failing.isBlamed(1, start));
}

TEST_CASE("failing_origins blames an origin that has failed at a single upstream only if there is no other")
{
    for (const std::size_t upstreams : {std::size_t(1), std::size_t(2)}) {
        failing_origins failing;
        for (int failure = 0; failure < 3; ++failure) {
            failing.recordFailure(1, upstream_id("u0"), upstreams, start);
        }
        failing.recordAnswer(2, upstream_id("u0"), start + 1ms);
        CHECK(failing.isBlamed(1, start + 1ms) == (upstreams == 1));
    }
}

TEST_CASE("failing_origins forgets an origin without failures, and does not record what has no origin")
{
    failing_origins failing({.memory = 10s});
    for (int failure = 0; failure < 3; ++failure) {
        failing.recordFailure(1, upstream_id("u0"), 1, start);
        failing.recordFailure(0, upstream_id("u0"), 1, start);
    }
    CHECK(failing.isFailing(1, start + 9s));
    CHECK_FALSE(failing.isFailing(0, start + 9s));
    CHECK_FALSE(failing.isFailing(1, start + 10s));
}
