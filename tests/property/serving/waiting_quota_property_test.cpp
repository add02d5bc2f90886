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
constexpr double overage = 0.1; // What the users allow.
constexpr std::uint64_t largestJob = 8000;
constexpr duration step = 20ms;
constexpr duration longestDelay = 6s; // Of a commit without an answer.
constexpr duration longestFeedDelay = 1s;

/// A node: what it knows, and until when it stands still.
struct quota_node
{
    explicit quota_node(const std::string &name)
        : jobs({.self = node_id(name)})
    {
    }

    waiting_quota quota{{.route = "r"}};
    job_directory jobs;
    std::size_t seen = 0; ///< Changes of jobs that it has taken in.
    std::vector<quota_reservation> holdings; ///< As it read them last.
    row_version version = 0;
    time_point pausedUntil;
};

/// Nodes that accept jobs of one route, with a store that loses answers and does commits late.
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
            doLateCommits();
            for (const auto &node : m_nodes) {
                follow(*node);
            }
            disturb();
            if (chance(0.5)) {
                submit(*m_nodes[number(m_nodes.size())]);
            }
            finishSome(0.2);
        }
    }

    /// Ends all jobs and lets the nodes hear of it.
    void settle()
    {
        for (duration passed{}; passed < longestDelay + 11s; passed += step) {
            m_now += step;
            doLateCommits();
            finishSome(1);
            for (const auto &node : m_nodes) {
                node->pausedUntil = {};
                follow(*node);
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

    std::uint64_t most = 0; ///< Accepted tokens that waited, at any acceptance.
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
        node.holdings = m_holdings;
        node.version = m_version;
    }

    waiting_quota::decision decide(quota_node &node, const std::vector<quota_reservation> &wanted)
    {
        return node.quota.decide(
            {.limit = limit, .reservations = node.holdings, .storeTime = m_now.time_since_epoch(), .jobs = node.jobs, .jobsCurrent = true},
            wanted);
    }

    bool commit(quota_node &node, const std::vector<quota_reservation> &holdings)
    {
        if (node.version != m_version) {
            return false;
        }
        m_holdings = holdings;
        node.version = ++m_version;
        node.holdings = holdings;
        return true;
    }

    /// A job comes to a node: a new one, or one that was left without an answer.
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
        // Nodes decide by what they last read, and find out by their commit that it was old.
        const quota_reservation holding{.job = job, .tokens = tokens, .claim = ++m_claims};
        for (int attempt = 0; attempt < 4; ++attempt) {
            const waiting_quota::decision decision = decide(node, {holding});
            if (!decision.fits.front()) {
                read(node);
                continue;
            }
            if (chance(0.1)) {
                // Without an answer; the commit is done now or later, and what is stored is read again.
                lateCommit([this, holdings = decision.reservations, version = node.version] {
                    if (version == m_version) {
                        m_holdings = holdings;
                        ++m_version;
                    }
                });
                read(node);
                continue;
            }
            if (commit(node, decision.reservations)) {
                record(node, holding);
                return;
            }
            read(node);
        }
    }

    /// The node records the job whose tokens it holds, dies before that, or gets no answer.
    void record(quota_node &node, const quota_reservation &holding)
    {
        const double luck = uniform();
        if (luck < 0.1) {
            m_unanswered.emplace_back(holding.job, holding.tokens);
        } else if (luck < 0.2) {
            m_unanswered.emplace_back(holding.job, holding.tokens);
            lateCommit([this, holding] {
                create(holding);
            });
        } else if (luck < 0.3) {
            read(node);
            std::vector<quota_reservation> left = node.holdings;
            std::erase_if(left, [&](const quota_reservation &held) {
                return held.claim == holding.claim;
            });
            (void)commit(node, left); // Given back at once, or after its time.
        } else {
            create(holding);
            answer(holding.job);
        }
    }

    void create(const quota_reservation &holding)
    {
        if (!m_jobs.contains(holding.job)) {
            change({.id = holding.job, .route = "r", .tokensLeft = holding.tokens});
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

    /// The client hears that its job was accepted.
    void answer(const job_id &job)
    {
        m_accepted.insert(job);
        ++accepted;
        std::uint64_t waiting = 0;
        for (const job_id &id : m_open) {
            waiting += m_accepted.contains(id) ? m_jobs.at(id).tokensLeft : 0;
        }
        most = std::max(most, waiting);
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

    void follow(quota_node &node)
    {
        while (m_now >= node.pausedUntil && node.seen < m_changes.size()
               && (m_now - m_changes[node.seen].first > longestFeedDelay || chance(0.02))) {
            node.jobs.update(m_changes[node.seen].second);
            ++node.seen;
        }
    }

    /// Nodes stand still for a while, or begin anew with nothing.
    void disturb()
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
        m_late.emplace(m_now + duration(number(static_cast<std::size_t>(longestDelay.count()))), std::move(what));
    }

    void doLateCommits()
    {
        while (!m_late.empty() && m_late.begin()->first <= m_now) {
            m_late.begin()->second();
            m_late.erase(m_late.begin());
        }
    }

    std::mt19937 m_generator;
    time_point m_now{1h};
    std::vector<std::unique_ptr<quota_node>> m_nodes;
    std::vector<quota_reservation> m_holdings;
    row_version m_version = 0;
    row_version m_rowVersion = 0;
    std::map<job_id, job_entry> m_jobs;
    std::set<job_id> m_open; ///< Jobs that have items to run.
    std::vector<std::pair<time_point, job_entry>> m_changes;
    std::multimap<time_point, std::function<void()>> m_late;
    std::deque<std::pair<job_id, std::uint64_t>> m_unanswered;
    std::set<job_id> m_accepted;
    std::uint64_t m_submitted = 0;
    std::uint64_t m_claims = 0;
};

} // namespace

TEST_CASE("waiting_quota holds over nodes that die, stand still, know old things and get no answers, and is free again afterwards")
{
    rc::prop("accepted tokens stay within the quota and its allowance", [](std::uint32_t seed) {
        quota_fleet fleet(seed);
        fleet.run(30s);
        RC_LOG() << "accepted=" << fleet.accepted << " most=" << fleet.most << "\n";
        RC_ASSERT(fleet.accepted > 20U);
        RC_ASSERT(static_cast<double>(fleet.most) <= limit * (1 + overage));
        RC_ASSERT(static_cast<double>(fleet.most) > limit * 0.5); // The run had reached what is tested.
        fleet.settle();
        const bool isFreeAgain = fleet.fitsEverywhere();
        RC_LOG() << "accepted=" << fleet.accepted << " most=" << fleet.most << " limit=" << limit << " free=" << isFreeAgain << "\n";
        RC_ASSERT(isFreeAgain);
    });
}
