#include "unit/serving/path_network.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <random>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 10ms;
constexpr duration longestLoss = 1200ms; ///< Until every path of a total cut that hangs is lost.
constexpr duration longestRegain = 2s; ///< Until every path that works is open.
constexpr duration patience = 3s; ///< Of a caller.

/// A run that waits for its answer.
struct waiting_answer
{
    upstream_id upstream;
    time_point sentAt;
    time_point answersAt;
};

/// A gateway with random traffic that loses the way to some upstreams for a time, while others end.
class path_explorer
{
public:
    explicit path_explorer(std::uint64_t seed)
        : m_random(seed)
        , m_network(between(2, 40), between(1, 4))
        , m_load(static_cast<double>(m_network.upstreams.size()) * (chance(0.3) ? 0.002 : 0.05))
    {
        const std::vector<upstream_id> all = m_network.membersOf();
        const std::size_t extent = between(0, 2);
        m_cutIsTotal = extent == 0;
        m_concerned = extent == 1 ? m_network.membersOf("d0") : all;
        if (extent == 2) {
            std::erase_if(m_concerned, [this](const upstream_id &) {
                return chance(0.6);
            });
        }
        m_cutWay = chance(0.6) ? way::Hangs : way::Refuses;
        m_answersPass = m_cutWay == way::Refuses || chance(0.3);
        for (std::size_t count = between(0, 3); count > 0; --count) {
            m_crashes[all[between(0, all.size() - 1)]] = m_network.now + std::chrono::milliseconds(between(0, 6000));
        }
    }

    void run()
    {
        pass(2s);
        m_cutAt = m_network.now;
        m_network.cut(m_concerned, m_cutWay);
        const duration cutTime = std::chrono::milliseconds(between(200, 5000));
        pass(cutTime);
        if (m_cutIsTotal && cutTime > longestLoss) {
            RC_ASSERT(m_network.mostProbesWithin(1s, m_cutAt + longestLoss) <= 6U);
        }
        m_healedAt = m_network.now;
        std::erase_if(m_network.ways, [this](const auto &entry) {
            return !isDead(entry.first);
        });
        pass(6s);
        const auto seconds = std::chrono::duration<double>(10s + cutTime).count();
        RC_ASSERT(static_cast<double>(m_network.probedAt.size()) <= 15 * seconds + static_cast<double>(m_probesAtOnce));
        RC_ASSERT(m_network.givenTwice == 0U);
        RC_ASSERT(m_network.wokenAtOnce == 0U);
    }

    [[nodiscard]] std::size_t losses() const
    {
        return m_losses;
    }

private:
    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    std::size_t between(std::size_t least, std::size_t most)
    {
        return std::uniform_int_distribution<std::size_t>(least, most)(m_random);
    }

    [[nodiscard]] bool isDead(const upstream_id &upstream) const
    {
        const auto crash = m_crashes.find(upstream);
        return crash != m_crashes.end() && crash->second <= m_network.now;
    }

    void pass(duration time)
    {
        for (const time_point until = m_network.now + time; m_network.now < until;) {
            crash();
            answer();
            send();
            m_network.run(step);
            check();
        }
    }

    void crash()
    {
        for (const auto &[upstream, at] : m_crashes) {
            if (at <= m_network.now && m_crashed.insert(upstream).second) {
                m_network.ways[upstream] = chance(0.5) ? way::Hangs : way::Refuses;
            }
        }
    }

    void answer()
    {
        std::erase_if(m_runs, [this](const auto &entry) {
            const auto &[number, run] = entry;
            const bool isOpen = !m_network.ways.contains(run.upstream);
            const bool passes = isOpen || (m_answersPass && run.sentAt < m_cutAt && !isDead(run.upstream));
            const bool isAnswered = m_network.now >= run.answersAt && passes;
            if (isAnswered) {
                m_network.monitor.heard(number, m_network.now);
            }
            const bool ends = isAnswered || m_network.now > run.sentAt + patience;
            if (ends) {
                m_network.monitor.ended(number);
            }
            return ends;
        });
    }

    /// Requests for upstreams that are not lost; the others go through other gateways. One always waits, if there is one to ask.
    void send()
    {
        std::size_t count = std::poisson_distribution<std::size_t>(m_load)(m_random);
        const bool someWaits = std::any_of(m_runs.begin(), m_runs.end(), [this](const auto &entry) {
            return !m_network.monitor.isLost(entry.second.upstream);
        });
        for (count = std::max<std::size_t>(count, someWaits ? 0 : 1); count > 0; --count) {
            const upstream_id &upstream = m_network.upstreams[between(0, m_network.upstreams.size() - 1)].id;
            if (m_network.monitor.isLost(upstream)) {
                continue;
            }
            const duration answerTime = std::chrono::milliseconds(chance(0.1) ? between(300, 2500) : between(5, 300));
            m_runs[++m_lastRun] = {.upstream = upstream, .sentAt = m_network.now, .answersAt = m_network.now + answerTime};
            m_network.monitor.waits(m_lastRun, upstream, m_network.now);
            if (chance(0.3)) {
                m_network.connect(upstream);
            }
        }
    }

    void check()
    {
        for (const path_change &change : std::exchange(m_network.changes, {})) {
            m_losses += change.isLost ? 1 : 0;
            m_probesAtOnce += change.isLost ? 3 : m_network.monitor.lost().size() + change.upstreams.size();
            std::size_t guessed = 0;
            for (const upstream_id &upstream : change.upstreams) {
                guessed += change.isLost && change.isOfGroup && m_network.ways.contains(upstream) && !m_failed.contains(upstream) ? 1 : 0;
                if (!change.isLost) {
                    m_failed.erase(upstream);
                }
            }
            m_mostGuessed = std::max(m_mostGuessed, guessed);
            if (change.isLost && !change.isOfGroup) { // By its own failure.
                const upstream_id &lost = change.upstreams.front();
                m_failed.insert(lost);
                const bool wasCut = m_cutAt != time_point::max() && std::count(m_concerned.begin(), m_concerned.end(), lost) > 0;
                RC_ASSERT((wasCut || isDead(lost)));
            }
        }
        const bool hangs = m_cutIsTotal && m_cutWay == way::Hangs && !m_answersPass && m_healedAt == time_point::max();
        for (const replica &upstream : m_network.upstreams) {
            const bool isLost = m_network.monitor.isLost(upstream.id);
            time_point &worksSince = m_worksSince.try_emplace(upstream.id, m_network.now).first->second;
            worksSince = m_network.ways.contains(upstream.id) || !isLost ? m_network.now : worksSince;
            RC_ASSERT(m_network.now - worksSince <= longestRegain + 200ms * m_mostGuessed);
            RC_ASSERT((isLost || !hangs || m_cutAt == time_point::max() || m_network.now <= m_cutAt + longestLoss));
        }
    }

    std::mt19937_64 m_random;
    path_network m_network;
    double m_load; ///< Requests in a step.
    bool m_cutIsTotal = false;
    bool m_answersPass = false; ///< Of runs that were sent before the cut.
    way m_cutWay = way::Hangs;
    std::vector<upstream_id> m_concerned; ///< Upstreams that are cut off.
    time_point m_cutAt = time_point::max();
    time_point m_healedAt = time_point::max();
    std::map<upstream_id, time_point> m_crashes; ///< When upstreams end for good.
    std::set<upstream_id> m_crashed;
    std::map<path_monitor::run_number, waiting_answer> m_runs;
    path_monitor::run_number m_lastRun = 0;
    std::map<upstream_id, time_point> m_worksSince; ///< Since when a path works and is lost nevertheless.
    std::set<upstream_id> m_failed; ///< Lost by their own failure.
    std::size_t m_mostGuessed = 0; ///< Cut paths lost on the evidence of others; each may be probed once before a sound one.
    std::size_t m_losses = 0;
    std::size_t m_probesAtOnce = 0; ///< Most probes that losses and regains may have caused.
};

} // namespace

TEST_CASE("path_monitor loses what is cut and regains what works, within bounds and with few probes")
{
    std::size_t losses = 0;
    rc::prop("with random cuts, crashes and traffic", [&losses](std::uint64_t seed) {
        path_explorer explorer(seed);
        explorer.run();
        losses += explorer.losses();
    });
    CHECK(losses > 0);
}
