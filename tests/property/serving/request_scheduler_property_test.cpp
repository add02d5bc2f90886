#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/request_scheduler.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr int upstreamCount = 5;
constexpr std::uint32_t slotsPerUpstream = 3;
constexpr duration minimumOverdue = 20ms; // Lower bound: no run counts as overdue sooner.

/// A scheduler for all requests of a service, and a model of the state of its host.
struct scheduler_model
{
    load_board board{1500ms};
    request_scheduler scheduler{{.self = node_id("n")}, board};
    std::map<upstream_id, replica> registered;
    std::map<request_id, slot_request> waiting;
    std::map<request_id, std::pair<slot_request, upstream_id>> running;
    std::set<request_id> reclaimed;
    std::map<request_id, time_point> awaitingFirstByteSince; ///< Runs without a first byte.
    std::set<upstream_id> suspected; ///< Upstreams with a failed attempt, or with one that may count as overdue.
    time_point now = time_point(100s);
    int lastId = 0;

    scheduler_model()
    {
        for (int number = 0; number < upstreamCount; ++number) {
            const upstream_id id("u" + std::to_string(number));
            registered[id] = {.id = id, .service = service_name("s"), .slots = slotsPerUpstream};
        }
        update();
    }

    void update()
    {
        std::vector<replica> list;
        for (const auto &[id, info] : registered) {
            list.push_back(info);
        }
        perform(scheduler.setUpstreams(list, now));
    }

    void submit(work_class value, duration target)
    {
        slot_request request{.id = request_id("r" + std::to_string(++lastId)),
                             .service = service_name("s"),
                             .workClass = value,
                             .arrivedAt = now,
                             .target = now + target,
                             .deadline = now + 20 * target,
                             .repeatable = true};
        waiting.emplace(request.id, request);
        perform(scheduler.submit(request, now));
    }

    void end(const request_id &id, attempt_outcome outcome)
    {
        const auto run = running.extract(id);
        const bool isFailure =
            outcome == attempt_outcome::Failed || outcome == attempt_outcome::Lost || outcome == attempt_outcome::TimedOut;
        if (isFailure) {
            suspected.insert(run.mapped().second);
        }
        reclaimed.erase(id);
        awaitingFirstByteSince.erase(id);
        perform(scheduler.released(id, {.outcome = outcome}, now));
    }

    void perform(const slot_actions &actions)
    {
        for (const slot_action &action : actions) {
            if (const auto *const granted = std::get_if<slot_granted>(&action)) {
                const auto entry = waiting.extract(granted->request);
                RC_ASSERT(!entry.empty()); // Each run is decided once, and only while it waits.
                RC_ASSERT(registered.contains(granted->upstream));
                RC_ASSERT(!registered.at(granted->upstream).draining);
                running.emplace(granted->request, std::pair(entry.mapped(), granted->upstream));
                awaitingFirstByteSince.emplace(granted->request, now);
            } else if (const auto *const rejected = std::get_if<slot_rejected>(&action)) {
                const auto entry = waiting.extract(rejected->request);
                RC_ASSERT(!entry.empty());
                RC_ASSERT(entry.mapped().workClass == work_class::Online);
                RC_ASSERT(rejected->retryAfter >= 100ms);
            } else if (const auto *const reclaim = std::get_if<slot_reclaimed>(&action)) {
                RC_ASSERT(running.at(reclaim->request).first.workClass == work_class::Batch);
                RC_ASSERT(reclaimed.insert(reclaim->request).second); // At most once.
            }
        }
    }

    /// The number of runs that hold a slot of an upstream, without those whose slot was reclaimed.
    [[nodiscard]] std::uint32_t held(const upstream_id &upstream, bool onlineOnly) const
    {
        std::uint32_t count = 0;
        for (const auto &[id, run] : running) {
            const bool counts = run.first.workClass == work_class::Online || (!onlineOnly && !reclaimed.contains(id));
            count += run.second == upstream && counts ? 1 : 0;
        }
        return count;
    }

    /// Reports the first byte of most new runs, and records upstreams whose runs may be overdue.
    void answer()
    {
        for (auto entry = awaitingFirstByteSince.begin(); entry != awaitingFirstByteSince.end();) {
            const bool begins = entry->second == now && *rc::gen::inRange(0, 10) > 0;
            if (now - entry->second >= minimumOverdue) {
                suspected.insert(running.at(entry->first).second);
            }
            if (begins) {
                scheduler.firstByte(entry->first, now);
                entry = awaitingFirstByteSince.erase(entry);
            } else {
                ++entry;
            }
        }
    }

    void check() const
    {
        std::size_t onlineWaiting = 0;
        for (const auto &[id, request] : waiting) {
            onlineWaiting += request.workClass == work_class::Online ? 1 : 0;
            RC_ASSERT(request.workClass == work_class::Batch || now <= request.deadline);
        }
        RC_ASSERT(scheduler.waitingOnline() == onlineWaiting);
        RC_ASSERT(scheduler.waitingOnline() + scheduler.waitingBatch() == waiting.size());
        for (const auto &[id, info] : registered) {
            RC_ASSERT(held(id, false) <= info.slots);
            // No online run waits while a healthy upstream has a slot that is free or held by batch work.
            const bool isHealthy = !info.draining && !suspected.contains(id);
            RC_ASSERT(onlineWaiting == 0 || !isHealthy || held(id, true) >= info.slots);
        }
    }

    request_id anyRunning() const
    {
        auto entry = running.begin();
        std::advance(entry, *rc::gen::inRange<std::size_t>(0, running.size()));
        return entry->first;
    }
};

void registrationChanges(scheduler_model &model)
{
    const upstream_id id("u" + std::to_string(*rc::gen::inRange(0, upstreamCount)));
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        model.registered.erase(id);
        break;
    case 1:
        model.registered[id] = {.id = id, .service = service_name("s"), .slots = slotsPerUpstream};
        break;
    default:
        if (model.registered.contains(id)) {
            model.registered[id].draining = true;
        }
    }
    model.update();
}

void step(scheduler_model &model)
{
    model.now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
    model.answer();
    if (const std::optional<time_point> due = model.scheduler.nextWakeUp(); due && *due <= model.now) {
        model.perform(model.scheduler.tick(model.now));
    }
    const int kind = *rc::gen::inRange(0, 20);
    if (kind < 8) {
        model.submit(work_class::Online, 300ms);
    } else if (kind < 11) {
        model.submit(work_class::Batch, 18s);
    } else if (kind == 11) {
        registrationChanges(model);
    } else if (kind == 12 && !model.waiting.empty()) {
        const request_id id = model.waiting.begin()->first;
        model.scheduler.cancel(id);
        model.waiting.erase(id);
    } else if (kind == 13 && !model.running.empty()) {
        const request_id id = model.anyRunning();
        model.awaitingFirstByteSince.erase(id);
        model.scheduler.firstByte(id, model.now);
    } else if (!model.running.empty()) {
        const auto outcome = *rc::gen::weightedElement<attempt_outcome>(
            {{12, attempt_outcome::Succeeded}, {2, attempt_outcome::Cancelled}, {1, attempt_outcome::Lost}, {1, attempt_outcome::Refused}});
        model.end(model.anyRunning(), outcome);
    }
}

} // namespace

TEST_CASE("request_scheduler keeps to the slots, lets no online run wait for batch work, and decides each run once")
{
    rc::prop("", [] {
        scheduler_model model;
        const int steps = *rc::gen::inRange(1, 200);
        for (int count = 0; count < steps; ++count) {
            step(model);
            model.answer();
            model.check();
        }
        // All waiting online runs are decided in the end by tick() alone, without any other event.
        for (int wakeUps = 0; model.scheduler.waitingOnline() > 0; ++wakeUps) {
            RC_ASSERT(wakeUps < 1000);
            const std::optional<time_point> due = model.scheduler.nextWakeUp();
            RC_ASSERT(due.has_value());
            model.now = std::max(model.now, *due);
            model.perform(model.scheduler.tick(model.now));
        }
    });
}
