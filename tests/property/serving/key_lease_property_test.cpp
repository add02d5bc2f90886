#include "banyan/core/serving/key_check.h"
#include "banyan/core/serving/key_directory.h"
#include "banyan/core/serving/key_lease.h"
#include "banyan/core/serving/organisation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <optional>
#include <random>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr duration revocationTime = 5s;
constexpr duration tick = 10ms;
constexpr duration dayLength = 120s;
const key_digest key{1};

/// When a version of the configuration was acknowledged, and whether it has the key.
struct acknowledged_version
{
    time_point at;
    bool hasKey = true;
};

/// A call that reads the configuration, with the state that the store will answer with.
struct reading_call
{
    time_point begunByOwnClock;
    time_point answersAt;
    bool hasKey = true;
    bool fails = false;
};

/// One node with a clock of its own, which is frozen and cut off from the store at times, and the versions that come meanwhile.
class key_explorer
{
public:
    explicit key_explorer(std::uint64_t seed)
        : m_random(seed)
        , m_clockRate(1.0 + (chance(0.5) ? 0.004 : -0.004))
        , m_clockStart(std::chrono::seconds(between(0, 100000)))
    {
        m_versions.push_back({.at = m_now, .hasKey = true});
    }

    void run()
    {
        const time_point end = m_now + dayLength;
        for (; m_now < end; m_now += tick) {
            if (m_now == m_versionDueAt || chance(0.0006)) {
                m_versions.push_back({.at = m_now, .hasKey = !m_versions.back().hasKey});
            }
            if (chance(0.001)) {
                m_frozenUntil = m_now + std::chrono::milliseconds(between(100, 20000));
            }
            if (chance(0.001)) {
                m_cutUntil = m_now + std::chrono::milliseconds(between(100, 15000));
            }
            if (chance(0.3)) {
                m_requests.push_back(m_now);
            }
            if (m_now >= m_frozenUntil) {
                followStore();
                decideRequests();
            }
        }
    }

    [[nodiscard]] int taken() const
    {
        return m_taken;
    }

private:
    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
    }

    /// A clock that goes on during freezes, and runs a little too fast or too slow.
    [[nodiscard]] time_point ownClock() const
    {
        const double passed = static_cast<double>(m_now.time_since_epoch().count()) * m_clockRate;
        return m_clockStart + duration(static_cast<duration::rep>(passed));
    }

    /// The call is answered with the state at any time between its begin and its answer, or fails.
    void followStore()
    {
        if (m_call && m_now >= m_call->answersAt) {
            if (!m_call->fails) {
                m_hasKey = m_call->hasKey;
                m_lease.recordReading(m_call->begunByOwnClock);
            }
            m_call.reset();
        } else if (!m_call) {
            const bool fails = m_now < m_cutUntil || chance(0.05);
            m_call = reading_call{.begunByOwnClock = ownClock(),
                                  .answersAt = m_now + std::chrono::milliseconds(between(10, 2000)),
                                  .hasKey = m_versions.back().hasKey,
                                  .fails = fails};
            if (chance(0.02)) { // The worst moment: right after the begin of the last call that succeeds.
                m_versionDueAt = m_now + tick;
                m_cutUntil = m_now + 2 * revocationTime;
            }
        } else if (chance(0.01)) {
            m_call->hasKey = m_versions.back().hasKey;
        }
    }

    void decideRequests()
    {
        for (const time_point sentAt : m_requests) {
            const std::vector<organisation> known = {
                {.name = caller_id("o"), .keys = m_hasKey ? std::vector<key_digest>{key} : std::vector<key_digest>()}};
            const key_directory keys(known, true);
            const duration sinceSent = m_now - sentAt;
            const presented_key presented{.digest = key, .arrivedAt = ownClock() - sinceSent / 2};
            const key_verdict verdict = checkKey(keys, m_lease, presented, false, ownClock()).verdict;
            if (verdict == key_verdict::Taken) {
                ++m_taken;
                RC_ASSERT(hadKeyWithin(sentAt - revocationTime, m_now));
            } else if (verdict == key_verdict::Unknown) {
                RC_ASSERT(lackedKeyWithin(sentAt, m_now));
            }
        }
        m_requests.clear();
    }

    /// Whether a version with the key was in force at any time from @p from to @p to.
    [[nodiscard]] bool hadKeyWithin(time_point from, time_point to) const
    {
        return wasWithin(true, from, to);
    }

    [[nodiscard]] bool lackedKeyWithin(time_point from, time_point to) const
    {
        return wasWithin(false, from, to);
    }

    [[nodiscard]] bool wasWithin(bool hasKey, time_point from, time_point to) const
    {
        for (std::size_t index = 0; index < m_versions.size(); ++index) {
            const bool lasted = index + 1 == m_versions.size() || m_versions[index + 1].at >= from;
            if (m_versions[index].hasKey == hasKey && lasted && m_versions[index].at <= to) {
                return true;
            }
        }
        return false;
    }

    std::mt19937_64 m_random;
    double m_clockRate;
    time_point m_clockStart;
    time_point m_now;
    time_point m_frozenUntil;
    time_point m_cutUntil;
    time_point m_versionDueAt;
    std::vector<acknowledged_version> m_versions;
    std::optional<reading_call> m_call;
    std::vector<time_point> m_requests; ///< When requests were sent that the node has not decided on.
    key_lease m_lease{revocationTime};
    bool m_hasKey = false; ///< By the configuration in force at the node.
    int m_taken = 0;
};

} // namespace

TEST_CASE("no node takes a request later than the revocation time after its key was taken away, and none refuses a key unread")
{
    int taken = 0;
    const bool holds = rc::check([&taken](std::uint64_t seed) {
        key_explorer explorer(seed);
        explorer.run();
        taken += explorer.taken();
    });
    CHECK(holds);
    CHECK(taken > 0);
}
