#include "banyan/core/serving/part_guard.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 10ms;
constexpr duration firstEvent = 70ms; // After which a run has begun to answer, or its upstream crashes.
constexpr duration runTime = 500ms;
constexpr duration downTime = 2s; // Of a crashed upstream.
constexpr duration reportInterval = 200ms;
constexpr duration heartbeatInterval = 1200ms; // Of an upstream, in which nodes see that it runs.
constexpr duration bound = 3s; // After the fifth crash, for stopping the part; twice that for serving what is sound.
constexpr std::uint64_t deadly = 1000;
constexpr std::uint64_t newParts = 2000; ///< From here on parts that come once.

/// What the property varies.
struct scenario
{
    std::uint32_t seed = 0;
    std::size_t nodes = 4;
    double deadlyShare = 0.1;
    double reportLoss = 0.1; ///< Share of the reports that do not arrive.
    double restarts = 0; ///< Of a node, a second.
    double resets = 0; ///< Of all connections to a running upstream, a second and upstream.
    bool deadlyPartFirst = false;
};

/// Nodes that send requests to upstreams and exchange their observations, with rows of stopped parts in a store.
class fleet_simulation
{
public:
    explicit fleet_simulation(const scenario &wanted)
        : m_scenario(wanted)
        , m_generator(wanted.seed)
        , m_upstreams(12)
    {
        for (std::size_t node = 0; node < wanted.nodes; ++node) {
            m_guards.push_back(std::make_unique<part_guard>(part_guard_options()));
        }
        for (upstream &entry : m_upstreams) {
            entry.key = ++m_lastKey;
        }
    }

    void run(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += step) {
            restartNodes();
            arrive();
            progress();
            resetConnections();
            beat();
            exchangeReports();
            followRows();
        }
    }

    std::size_t deadlyRunsAfterBound = 0; ///< Sent later than the bound after the fifth crash, by nodes that have run for the bound.
    std::size_t soundAfterBound = 0; ///< Sound requests later than twice the bound after the fifth crash,
    std::size_t rejectedAfterBound = 0; ///< and those of them that were rejected.
    std::size_t crashes = 0;

    /// Lets connections be left alone from now on.
    void endResets()
    {
        m_scenario.resets = 0;
    }

    /// Number of stops of parts, over all nodes.
    [[nodiscard]] std::size_t stops() const
    {
        std::size_t result = 0;
        for (const auto &guard : m_guards) {
            result += guard->stopped(m_now).size();
        }
        return result;
    }

private:
    struct active_run
    {
        std::size_t node = 0;
        prompt_run request;
        bool isDeadly = false;
        bool hasBegun = false;
        time_point sentAt;
        int attempt = 1;
    };
    struct upstream
    {
        upstream_key key = 0;
        time_point upAt{};
        std::vector<active_run> runs;
    };

    struct stop_row
    {
        std::set<std::uint64_t> together;
        std::set<upstream_key> lostUpstreams;
    };

    double chance()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_generator);
    }

    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_generator);
    }

    [[nodiscard]] bool isLaterThan(duration time) const
    {
        return m_fifthCrash && m_now > *m_fifthCrash + time;
    }

    void restartNodes()
    {
        if (chance() < m_scenario.restarts * std::chrono::duration<double>(step).count()) {
            const std::size_t node = below(m_guards.size());
            m_startedAt[node] = m_now;
            auto &guard = m_guards[node];
            guard = std::make_unique<part_guard>(part_guard_options());
            for (const auto &[part, row] : m_rows) {
                guard->stop(part, row.together, m_now, row.lostUpstreams);
            }
        }
    }

    void arrive()
    {
        if (chance() > 0.4) {
            return;
        }
        active_run run{.node = below(m_guards.size()), .isDeadly = m_now > m_start + 2s && chance() < m_scenario.deadlyShare};
        run.request.content = ++m_contents;
        run.request.parts = {1 + below(4)};
        if (run.isDeadly) {
            run.request.parts.insert(m_scenario.deadlyPartFirst ? run.request.parts.begin() : run.request.parts.end(), deadly);
        } else {
            run.request.parts.push_back(chance() < 0.1 ? newParts + m_contents : 10 + below(30));
        }
        send(std::move(run));
    }

    void send(active_run run)
    {
        const bool rejected = m_guards[run.node]->stoppedUntil(run.request, m_now).has_value();
        if (!run.isDeadly && run.attempt == 1 && isLaterThan(2 * bound)) {
            ++soundAfterBound;
            rejectedAfterBound += rejected ? 1 : 0;
        }
        std::vector<upstream *> usable;
        for (upstream &entry : m_upstreams) {
            if (entry.upAt <= m_now) {
                usable.push_back(&entry);
            }
        }
        if (rejected || usable.empty()) {
            return;
        }
        const bool isLongRunning = m_now > m_startedAt[run.node] + bound;
        deadlyRunsAfterBound += run.isDeadly && isLaterThan(bound) && isLongRunning ? 1 : 0;
        run.sentAt = m_now;
        run.hasBegun = false;
        usable[below(usable.size())]->runs.push_back(std::move(run));
    }

    void progress()
    {
        std::vector<active_run> again;
        for (upstream &entry : m_upstreams) {
            bool crashed = false;
            for (active_run &run : entry.runs) {
                if (!run.hasBegun && m_now >= run.sentAt + firstEvent) {
                    crashed = crashed || run.isDeadly;
                    if (!run.isDeadly) {
                        run.hasBegun = true;
                        m_guards[run.node]->recordProof(run.request, m_now);
                    }
                }
            }
            if (crashed) {
                crash(entry, again);
            }
            std::erase_if(entry.runs, [&](const active_run &run) {
                return m_now >= run.sentAt + runTime;
            });
        }
        for (active_run &run : again) {
            ++run.attempt;
            send(std::move(run));
        }
    }

    void resetConnections()
    {
        std::vector<active_run> again;
        for (upstream &entry : m_upstreams) {
            if (chance() < m_scenario.resets * std::chrono::duration<double>(step).count()) {
                loseRuns(entry, again);
                entry.runs.clear();
            }
        }
        for (active_run &run : again) {
            ++run.attempt;
            send(std::move(run));
        }
    }

    void beat()
    {
        if (m_now < m_beatAt) {
            return;
        }
        m_beatAt = m_now + heartbeatInterval;
        for (const upstream &entry : m_upstreams) {
            for (const auto &guard : m_guards) {
                if (entry.upAt <= m_now) {
                    (void)guard->recordAlive(entry.key, m_now - step, m_now);
                }
            }
        }
    }

    void crash(upstream &entry, std::vector<active_run> &again)
    {
        if (++crashes == 5) {
            m_fifthCrash = m_now;
        }
        loseRuns(entry, again);
        entry = {.key = ++m_lastKey, .upAt = m_now + downTime, .runs = {}};
    }

    void loseRuns(upstream &entry, std::vector<active_run> &again)
    {
        for (active_run &run : entry.runs) {
            if (!run.hasBegun) {
                (void)m_guards[run.node]->recordLoss(run.request, entry.key, m_now);
            }
            if (run.attempt < 2) {
                again.push_back(std::move(run));
            }
        }
    }

    void exchangeReports()
    {
        if (m_now < m_reportAt) {
            return;
        }
        m_reportAt = m_now + reportInterval;
        for (const auto &from : m_guards) {
            const std::vector<part_loss> losses = from->lossesToReport(m_now);
            const std::vector<std::uint64_t> proofs = from->proofsToReport(m_now);
            for (const auto &to : m_guards) {
                if (to != from && chance() >= m_scenario.reportLoss) {
                    (void)to->recordRemoteLosses(losses, false, m_now);
                    to->recordRemoteProofs(proofs, false, m_now);
                }
            }
        }
    }

    /// Nodes record what they have stopped themselves, and fewer parts together if they know better. A row that no node has stopped goes.
    void followRows()
    {
        std::set<std::uint64_t> stopped;
        for (const auto &guard : m_guards) {
            for (const quarantined_fingerprint &entry : guard->stopped(m_now)) {
                stopped.insert(entry.fingerprint);
            }
        }
        std::erase_if(m_rows, [&](const auto &row) {
            return !stopped.contains(row.first);
        });
        for (const auto &guard : m_guards) {
            for (const std::uint64_t part : guard->locallyStopped()) {
                const stop_row row{.together = guard->stoppedTogetherWith(part), .lostUpstreams = guard->stoppedBecauseOf(part)};
                if (m_rows.emplace(part, row).second) {
                    notifyOfRow(part);
                }
            }
            for (auto &[part, row] : m_rows) {
                const std::set<std::uint64_t> known = guard->stoppedTogetherWith(part);
                if (guard->isPart(part) && known.size() < row.together.size()) {
                    row.together = known;
                    notifyOfRow(part);
                }
            }
        }
    }

    void notifyOfRow(std::uint64_t part)
    {
        for (const auto &reader : m_guards) {
            reader->stop(part, m_rows.at(part).together, m_now, m_rows.at(part).lostUpstreams);
        }
    }

    scenario m_scenario;
    std::mt19937 m_generator;
    std::vector<std::unique_ptr<part_guard>> m_guards;
    std::vector<upstream> m_upstreams;
    std::map<std::size_t, time_point> m_startedAt; ///< Of nodes that were restarted.
    std::map<std::uint64_t, stop_row> m_rows;
    time_point m_beatAt{};
    time_point m_start{1h};
    time_point m_now{m_start};
    time_point m_reportAt{m_start};
    std::optional<time_point> m_fifthCrash;
    std::uint64_t m_contents = 0;
    upstream_key m_lastKey = 0;
};

} // namespace

TEST_CASE("part_guard keeps crashing requests from upstreams and serves sound ones, whatever is lost between the nodes")
{
    rc::prop("a fleet of nodes", [] {
        scenario wanted{.seed = *rc::gen::arbitrary<std::uint32_t>()};
        wanted.nodes = *rc::gen::inRange<std::size_t>(1, 14);
        wanted.deadlyShare = *rc::gen::inRange(2, 40) / 100.0;
        wanted.reportLoss = *rc::gen::inRange(0, 30) / 100.0;
        wanted.restarts = *rc::gen::inRange(0, 3);
        wanted.deadlyPartFirst = *rc::gen::arbitrary<bool>();
        fleet_simulation fleet(wanted);
        fleet.run(20s);
        RC_ASSERT(fleet.deadlyRunsAfterBound <= 3U);
        RC_ASSERT(2 * fleet.rejectedAfterBound <= fleet.soundAfterBound);
        RC_CLASSIFY(fleet.crashes >= 5);
        RC_CLASSIFY(fleet.rejectedAfterBound > 0);
    });
}

TEST_CASE("part_guard stops nothing for longer than two heartbeats when only connections are reset")
{
    rc::prop("a fleet of nodes without a part that crashes upstreams", [] {
        scenario wanted{.seed = *rc::gen::arbitrary<std::uint32_t>(), .deadlyShare = 0};
        wanted.nodes = *rc::gen::inRange<std::size_t>(1, 14);
        wanted.reportLoss = *rc::gen::inRange(0, 30) / 100.0;
        wanted.restarts = *rc::gen::inRange(0, 3);
        wanted.resets = *rc::gen::inRange(2, 20) / 2.0;
        fleet_simulation fleet(wanted);
        fleet.run(5s);
        fleet.endResets();
        const std::size_t before = fleet.stops();
        fleet.run(2 * heartbeatInterval + step);
        RC_ASSERT(fleet.stops() == 0U);
        RC_CLASSIFY(before > 0);
    });
}
