#include "banyan/core/serving/organisation_limits.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr duration silenceWait = std::chrono::milliseconds(100); // Until a keeper that did not answer is asked again.
constexpr int aheadDivisor = 2; // Part of a credit's time for which spare credits are asked; the rest covers the way of the ask.
constexpr int answerDivisor = 8; // Part of a credit's time in which an ask for spare credits is usually answered.

} // namespace

organisation_limits::organisation_limits(const organisation_limits_options &options)
    : m_options(options)
    , m_creditTime(creditTimeOf(options.tolerance))
    , m_pools({.self = options.self, .startedAt = options.startedAt})
{
}

void organisation_limits::configure(std::uint64_t version, std::span<const organisation> organisations, time_point now)
{
    advance(now);
    m_version = version;
    std::unordered_map<caller_key, limited> entries;
    for (const organisation &entry : organisations) {
        if (entry.requestsPerSecond <= 0) {
            continue;
        }
        const caller_key key = organisationKey(entry.name);
        const auto earlier = m_limited.find(key);
        if (earlier != m_limited.end()) {
            entries.insert(m_limited.extract(earlier));
        } else {
            entries.emplace(key, limited{.name = entry.name.text(), .pool = poolOf(key), .credits = {}});
        }
    }
    m_limited = std::move(entries);
    m_keeper.configure(version, organisations, m_options.tolerance, now);
}

void organisation_limits::setNodes(std::size_t count, duration leaseTime, bool mayKeep)
{
    m_pools.setNodes(count, leaseTime);
    m_pools.setMayKeep(mayKeep);
}

/// Ends leases in their order, so that after a pause of the process nothing is granted from a share that was lost meanwhile.
void organisation_limits::advance(time_point now)
{
    for (auto end = m_pools.nextEnd(); end && *end <= now; end = m_pools.nextEnd()) {
        m_pools.expire(*end);
        applyShares(*end);
    }
}

void organisation_limits::applyShares(time_point now)
{
    for (std::uint8_t pool = 0; pool < limit_pools::poolCount; ++pool) {
        m_keeper.setShare(pool, m_pools.shareOf(pool), now);
    }
}

limit_decision organisation_limits::settle(limited &entry, bool isAdmitted, time_point now)
{
    if (isAdmitted) {
        entry.credits.recordAdmitted(now);
        return {};
    }
    return {.verdict = limit_verdict::Refused, .retryAfter = entry.credits.recordRefused(m_options.tolerance.window, now), .ask = {}};
}

limit_decision organisation_limits::admit(const caller_id &name, time_point now)
{
    const caller_key key = organisationKey(name);
    const auto found = m_limited.find(key);
    if (found == m_limited.end()) {
        return {};
    }
    limited &entry = found->second;
    entry.credits.recordArrival(now);
    const bool isAdmitted = entry.credits.take(now);
    if (entry.credits.isDry(now)) {
        return settle(entry, isAdmitted, now);
    }
    const std::uint32_t spare = entry.credits.wantedSpare(m_creditTime / aheadDivisor, now);
    limit_decision decision = isAdmitted ? settle(entry, true, now) : limit_decision();
    if (!isAdmitted || spare > 0) {
        const limit_decision asked = ask(key, entry, isAdmitted ? 0 : 1, spare, now);
        decision.ask = asked.ask;
        if (!isAdmitted) {
            decision = asked;
        }
    }
    return decision;
}

/// Asks the keeper of the organisation's pool. If that is this node, the answer decides at once.
limit_decision organisation_limits::ask(caller_key key, limited &entry, std::uint32_t needed, std::uint32_t spare, time_point now)
{
    advance(now);
    const std::uint64_t id = ++m_lastAsk;
    const credit_ask message{
        .sender = m_options.self, .id = id, .organisation = key, .needed = needed, .spare = spare, .version = m_version};
    m_asks.emplace(id, open_ask{.organisation = key, .askedAt = now, .isWaiting = needed > 0});
    if (spare > 0) {
        entry.credits.recordSpareAsked(now + m_creditTime / answerDivisor);
    }
    const node_id keeper = m_pools.keeperOf(entry.pool, now);
    if (keeper != m_options.self) {
        return {.verdict = limit_verdict::Waiting, .retryAfter = {}, .ask = outgoing_ask{.to = keeper, .ask = message}};
    }
    const std::optional<settled_request> settled = record(m_keeper.grant(message, now), now);
    return settled ? settled->decision : limit_decision();
}

credit_grant organisation_limits::answer(const credit_ask &ask, time_point now)
{
    advance(now);
    return m_keeper.grant(ask, now);
}

std::optional<settled_request> organisation_limits::record(const credit_grant &grant, time_point now)
{
    const auto asked = m_asks.find(grant.id);
    if (asked == m_asks.end()) {
        return std::nullopt; // Granted twice, by a repeated message: only one of the grants counts.
    }
    const open_ask ask = asked->second;
    m_asks.erase(asked);
    const auto found = m_limited.find(ask.organisation);
    if (found == m_limited.end()) {
        return ask.isWaiting ? std::optional(settled_request{.ask = grant.id, .decision = {}}) : std::nullopt;
    }
    organisation_credits &credits = found->second.credits;
    const time_point end = ask.askedAt + m_creditTime;
    if (now < end) {
        credits.add(grant.granted, end);
    }
    if (grant.wait > duration(0)) {
        credits.recordDry(now + grant.wait);
    }
    if (!ask.isWaiting) {
        return std::nullopt;
    }
    const bool isAdmitted = credits.take(now);
    return settled_request{.ask = grant.id, .decision = settle(found->second, isAdmitted, now)};
}

limit_decision organisation_limits::giveUp(std::uint64_t ask, time_point now)
{
    const auto asked = m_asks.find(ask);
    if (asked == m_asks.end()) {
        return {.verdict = limit_verdict::Refused, .retryAfter = silenceWait, .ask = {}};
    }
    asked->second.isWaiting = false;
    const auto found = m_limited.find(asked->second.organisation);
    if (found == m_limited.end()) {
        return {};
    }
    const bool isAdmitted = found->second.credits.take(now);
    if (!isAdmitted) {
        found->second.credits.recordDry(now + silenceWait);
    }
    return settle(found->second, isAdmitted, now);
}

limit_pool_report organisation_limits::report(std::uint64_t sequence, time_point now)
{
    advance(now);
    // A waiting request is given up before its ask is forgotten.
    std::erase_if(m_asks, [&](const auto &entry) {
        return !entry.second.isWaiting && now - entry.second.askedAt > m_creditTime;
    });
    if (empty()) {
        return {};
    }
    limit_pool_report report = m_pools.report(sequence, now);
    applyShares(now);
    return report;
}

void organisation_limits::recordReport(const node_id &from,
                                       std::uint64_t sequence,
                                       bool mayKeep,
                                       const limit_pool_report &report,
                                       time_point now)
{
    if (empty()) {
        return;
    }
    advance(now);
    const bool knowsLimits = report.leaseTime > duration(0);
    m_pools.record(from, sequence, mayKeep && knowsLimits, report, now);
    applyShares(now);
}

double organisation_limits::shareOf(std::uint8_t pool) const
{
    return m_pools.shareOf(pool);
}

std::vector<organisation_limits::usage> organisation_limits::usages() const
{
    std::vector<usage> result;
    result.reserve(m_limited.size());
    for (const auto &[key, entry] : m_limited) {
        result.push_back({.name = entry.name, .pool = entry.pool, .totals = entry.credits.totals()});
    }
    std::sort(result.begin(), result.end(), [](const usage &left, const usage &right) {
        return left.name < right.name;
    });
    return result;
}

bool organisation_limits::empty() const
{
    return m_limited.empty();
}

} // namespace banyan
