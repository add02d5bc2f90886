#pragma once

#include "banyan/core/serving/path_monitor.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace banyan::tests {

/// What becomes of connections that are opened to an upstream.
enum class way {
    Open,
    Hangs,
    Refuses,
};

/// A path_monitor whose probes meet a simulated network. Time passes as the monitor asks for it.
struct path_network
{
    /// An attempt of the gateway to open a connection.
    struct attempt
    {
        upstream_id upstream;
        time_point startedAt;
        duration allowed;
        connect_outcome outcome = connect_outcome::Established;
        time_point endsAt;
    };

    path_monitor monitor;
    time_point now{std::chrono::hours(1)};
    std::vector<replica> upstreams;
    std::map<upstream_id, way> ways; ///< Of those that are not open.
    std::vector<attempt> attempts;
    std::vector<time_point> probedAt;
    std::vector<path_change> changes;
    std::set<upstream_id> probing;
    std::size_t givenTwice = 0; ///< Probes of an upstream whose probe was in progress.
    std::size_t wokenAtOnce = 0; ///< Times that the monitor asked to be called again without time passing.

    /// Upstreams in domains that take turns.
    explicit path_network(std::size_t count, std::size_t domains = 3)
    {
        for (std::size_t number = 0; number < count; ++number) {
            upstreams.push_back({.id = idOf(number), .domain = failure_domain("d" + std::to_string(number % domains))});
        }
        monitor.setUpstreams(upstreams);
    }

    [[nodiscard]] static upstream_id idOf(std::size_t number)
    {
        return upstream_id("u" + std::to_string(1000 + number));
    }

    void cut(const std::vector<upstream_id> &concerned, way become)
    {
        for (const upstream_id &upstream : concerned) {
            ways[upstream] = become;
        }
    }

    /// All upstreams, or those of one domain.
    [[nodiscard]] std::vector<upstream_id> membersOf(const std::string &domain = {}) const
    {
        std::vector<upstream_id> result;
        for (const replica &upstream : upstreams) {
            if (domain.empty() || upstream.domain.text() == domain) {
                result.push_back(upstream.id);
            }
        }
        return result;
    }

    void connect(const upstream_id &upstream, duration allowed = std::chrono::milliseconds(200))
    {
        constexpr duration roundTrip = std::chrono::milliseconds(1);
        const auto cutWay = ways.find(upstream);
        const way taken = cutWay == ways.end() ? way::Open : cutWay->second;
        attempts.push_back({.upstream = upstream,
                            .startedAt = now,
                            .allowed = allowed,
                            .outcome = taken == way::Open      ? connect_outcome::Established
                                       : taken == way::Refuses ? connect_outcome::Refused
                                                               : connect_outcome::TimedOut,
                            .endsAt = now + (taken == way::Hangs ? allowed : roundTrip)});
    }

    void run(duration time)
    {
        for (const time_point until = now + time;; now = std::min(until, nextEvent())) {
            endAttempts();
            review();
            if (now >= until) {
                return;
            }
        }
    }

    [[nodiscard]] std::size_t mostProbesWithin(duration window, time_point from) const
    {
        std::size_t most = 0;
        for (auto first = std::lower_bound(probedAt.begin(), probedAt.end(), from); first != probedAt.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, probedAt.end(), *first + window) - first));
        }
        return most;
    }

private:
    void endAttempts()
    {
        const auto ended = std::stable_partition(attempts.begin(), attempts.end(), [this](const attempt &entry) {
            return entry.endsAt > now;
        });
        const std::vector<attempt> reported(ended, attempts.end());
        attempts.erase(ended, attempts.end());
        for (const attempt &entry : reported) {
            probing.erase(entry.upstream);
            monitor.connected(entry.upstream, entry.startedAt, entry.allowed, entry.outcome, now);
            review();
        }
    }

    void review()
    {
        for (const upstream_id &upstream : monitor.takeProbes(now)) {
            givenTwice += probing.insert(upstream).second ? 0 : 1;
            probedAt.push_back(now);
            connect(upstream, path_options().probeTime);
        }
        for (path_change &change : monitor.takeChanges()) {
            changes.push_back(std::move(change));
        }
    }

    [[nodiscard]] time_point nextEvent()
    {
        constexpr duration shortest = std::chrono::microseconds(100);
        time_point next = time_point::max();
        for (const attempt &entry : attempts) {
            next = std::min(next, entry.endsAt);
        }
        if (const std::optional<time_point> wakeUp = monitor.nextWakeUp(now)) {
            wokenAtOnce += *wakeUp <= now ? 1 : 0;
            next = std::min(next, std::max(*wakeUp, now + shortest));
        }
        return next;
    }
};

} // namespace banyan::tests
