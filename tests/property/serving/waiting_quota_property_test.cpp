#include "banyan/core/serving/job_directory.h"
#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/waiting_quota.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t limit = 100000;
constexpr double allowedExcess = 0.1; // Fraction by which the accepted tokens may exceed the quota.
constexpr std::uint64_t largestJob = 8000;
constexpr duration step = 20ms;
constexpr duration longestDelay = 6s; // Maximum delay of a commit without an answer.
constexpr duration longestFeedDelay = 1s;

/// A node with its view of jobs and reservations, which can be suspended for a time.
struct quota_node
{
    explicit quota_node(const std::string &name)
        : jobs({.self = node_id(name)})
    {
    }

    waiting_quota quota{{.route = "r"}};
    job_directory jobs;
    std::size_t appliedChanges = 0; ///< Number of job changes that it has applied.
    std::vector<quota_reservation> readReservations; ///< The stored reservations when the node last read or wrote them.
    row_version version = 0;
    time_point pausedUntil;
};

/// Nodes that accept jobs of one route, with a store that loses answers and delays commits.
class quota_fleet
{
public:
    explicit quota_fleet(std::uint32_t seed)
        : m_generator(seed)
    {
        for (int number = 0; number < 12; ++number) {
            m_nodes.push_back(std::make_unique<quota_node>("n" + std::to_string(number)));
        }
    }

    void run(duration time)
    {
        for (const time_point until = m_now + time; m_now < until; m_now += step) {
            applyLateCommits();
            for (const auto &node : m_nodes) {
                applyChanges(*node);
            }
            injectFaults();
            if (chance(0.5)) {
                submit(*m_nodes[number(m_nodes.size())]);
            }
            finishSome(0.2);
        }
    }

    /// Ends all jobs and lets the nodes observe it.
    void settle()
    {
        for (duration passed{}; passed < longestDelay + 11s; passed += step) {
            m_now += step;
            applyLateCommits();
            finishSome(1);
            for (const auto &node : m_nodes) {
                node->pausedUntil = {};
                applyChanges(*node);
            }
        }
    }

    [[nodiscard]] bool fitsEverywhere()
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
            read(*node);
            const waiting_quota::decision decision = decide(*node, {{.job = job_id("last"), .tokens = limit, .claim = 1}});
            return decision.fits == std::vector<bool>{true};
        });
    }

    std::uint64_t maximumWaiting = 0; ///< Maximum number of accepted tokens that waited when a job was accepted.
    std::uint64_t accepted = 0;

private:
    double uniform()
    {
        return std::uniform_real_distribution<double>()(m_generator);
    }
    bool chance(double probability)
    {
        return uniform() < probability;
    }
    std::size_t number(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(m_generator);
    }

    void read(quota_node &node)
    {
        node.readReservations = m_reservations;
        node.version = m_version;
    }

    waiting_quota::decision decide(quota_node &node, const std::vector<quota_reservation> &wanted)
    {
        return node.quota.decide({.limit = limit,
                                  .reservations = node.readReservations,
                                  .storeTime = m_now.time_since_epoch(),
                                  .jobs = node.jobs,
                                  .jobsCurrent = true},
                                 wanted);
    }

    bool commit(quota_node &node, const std::vector<quota_reservation> &readReservations)
    {
        if (node.version != m_version) {
            return false;
        }
        m_reservations = readReservations;
        node.version = ++m_version;
        node.readReservations = readReservations;
        return true;
    }

    /// Submits a job to a node: a new one, or one whose earlier submission got no answer.
    void submit(quota_node &node)
    {
        if (m_now < node.pausedUntil) {
            return;
        }
        job_id job("j" + std::to_string(++m_submitted));
        std::uint64_t tokens = 1 + number(largestJob);
        if (!m_unanswered.empty() && chance(0.3)) {
            std::tie(job, tokens) = m_unanswered.front();
            m_unanswered.pop_front();
            if (node.jobs.find(job) != nullptr) {
                answer(job);
                return;
            }
        }
        // Nodes decide on what they last read; their commit fails if that is outdated.
        const quota_reservation reservation{.job = job, .tokens = tokens, .claim = ++m_claims};
        for (int attempt = 0; attempt < 4; ++attempt) {
            const waiting_quota::decision decision = decide(node, {reservation});
            if (!decision.fits.front()) {
                read(node);
                continue;
            }
            if (chance(0.1)) {
                // The answer is lost: the commit takes effect after a delay, and the node reads the stored reservations again.
                lateCommit([this, readReservations = decision.reservations, version = node.version] {
                    if (version == m_version) {
                        m_reservations = readReservations;
                        ++m_version;
                    }
                });
                read(node);
                continue;
            }
            if (commit(node, decision.reservations)) {
                record(node, reservation);
                return;
            }
            read(node);
        }
    }

    /// The node records the job whose tokens it has reserved, ends before that, gets no answer, or releases the tokens.
    void record(quota_node &node, const quota_reservation &reservation)
    {
        const double draw = uniform();
        if (draw < 0.1) {
            m_unanswered.emplace_back(reservation.job, reservation.tokens);
        } else if (draw < 0.2) {
            m_unanswered.emplace_back(reservation.job, reservation.tokens);
            lateCommit([this, reservation] {
                create(reservation);
            });
        } else if (draw < 0.3) {
            read(node);
            std::vector<quota_reservation> remaining = node.readReservations;
            std::erase_if(remaining, [&](const quota_reservation &other) {
                return other.claim == reservation.claim;
            });
            (void)commit(node, remaining); // If the commit fails, the reservation lapses after its lifetime.
        } else {
            create(reservation);
            answer(reservation.job);
        }
    }

    void create(const quota_reservation &reservation)
    {
        if (!m_jobs.contains(reservation.job)) {
            change({.id = reservation.job, .route = "r", .tokensLeft = reservation.tokens});
        }
    }

    void change(job_entry entry)
    {
        entry.version = ++m_rowVersion;
        if (entry.isOpen()) {
            m_open.insert(entry.id);
        } else {
            m_open.erase(entry.id);
        }
        m_jobs.insert_or_assign(entry.id, entry);
        m_changes.emplace_back(m_now, entry);
    }

    /// Tells the client that its job was accepted, and updates the maximum of the waiting tokens.
    void answer(const job_id &job)
    {
        m_accepted.insert(job);
        ++accepted;
        std::uint64_t waiting = 0;
        for (const job_id &id : m_open) {
            waiting += m_accepted.contains(id) ? m_jobs.at(id).tokensLeft : 0;
        }
        maximumWaiting = std::max(maximumWaiting, waiting);
    }

    void finishSome(double probability)
    {
        const std::set<job_id> open = m_open;
        for (const job_id &id : open) {
            if (chance(probability / 10)) {
                job_entry entry = m_jobs.at(id);
                entry.tokensLeft /= 2;
                entry.complete = entry.tokensLeft < 100;
                entry.ended = chance(0.05);
                change(entry);
            }
        }
    }

    void applyChanges(quota_node &node)
    {
        while (m_now >= node.pausedUntil && node.appliedChanges < m_changes.size()
               && (m_now - m_changes[node.appliedChanges].first > longestFeedDelay || chance(0.02))) {
            node.jobs.update(m_changes[node.appliedChanges].second);
            ++node.appliedChanges;
        }
    }

    /// Suspends a node for a while, or replaces one by a new node without any data.
    void injectFaults()
    {
        if (chance(0.005)) {
            m_nodes[number(m_nodes.size())]->pausedUntil = m_now + 4s;
        }
        if (chance(0.005)) {
            m_nodes[number(m_nodes.size())] = std::make_unique<quota_node>("new-" + std::to_string(++m_claims));
        }
    }

    void lateCommit(std::function<void()> what)
    {
        m_lateCommits.emplace(m_now + duration(number(static_cast<std::size_t>(longestDelay.count()))), std::move(what));
    }

    void applyLateCommits()
    {
        while (!m_lateCommits.empty() && m_lateCommits.begin()->first <= m_now) {
            m_lateCommits.begin()->second();
            m_lateCommits.erase(m_lateCommits.begin());
        }
    }

    std::mt19937 m_generator;
    time_point m_now{1h};
    std::vector<std::unique_ptr<quota_node>> m_nodes;
    std::vector<quota_reservation> m_reservations;
    row_version m_version = 0;
    row_version m_rowVersion = 0;
    std::map<job_id, job_entry> m_jobs;
    std::set<job_id> m_open; ///< Jobs that have items to run.
    std::vector<std::pair<time_point, job_entry>> m_changes;
    std::multimap<time_point, std::function<void()>> m_lateCommits;
    std::deque<std::pair<job_id, std::uint64_t>> m_unanswered;
    std::set<job_id> m_accepted;
    std::uint64_t m_submitted = 0;
    std::uint64_t m_claims = 0;
};

} // namespace

TEST_CASE("waiting_quota holds while nodes end, are suspended, have outdated data and get no answers, and is released in full afterwards")
{
    rc::prop("accepted tokens stay within the quota and the allowed excess", [](std::uint32_t seed) {
        quota_fleet fleet(seed);
        fleet.run(30s);
        RC_LOG() << "accepted=" << fleet.accepted << " most=" << fleet.maximumWaiting << "\n";
        RC_ASSERT(fleet.accepted > 20U);
        RC_ASSERT(static_cast<double>(fleet.maximumWaiting) <= limit * (1 + allowedExcess));
        RC_ASSERT(static_cast<double>(fleet.maximumWaiting) > limit * 0.5); // The run was long enough to come near the limit.
        fleet.settle();
        const bool isFreeAgain = fleet.fitsEverywhere();
        RC_LOG() << "accepted=" << fleet.accepted << " most=" << fleet.maximumWaiting << " limit=" << limit << " free=" << isFreeAgain
                 << "\n";
        RC_ASSERT(isFreeAgain);
    });
}
