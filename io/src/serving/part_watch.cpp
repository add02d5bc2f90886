#include "banyan/io/serving/part_watch.h"

#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"

#include <charconv>

namespace banyan {

namespace {

constexpr std::string_view partMark = "part"; // Begins the text; the parts that were stopped together with it follow.
constexpr std::string_view lossMark = " at"; // Then come the keys of the upstreams whose loss has decided the stop.

/// Removes the decimal numbers, each after a space, that a text begins with, and returns them.
template<typename Number>
std::set<Number> takeNumbers(std::string_view &text)
{
    std::set<Number> result;
    Number value = 0;
    while (text.starts_with(' ')) {
        const auto [end, error] = std::from_chars(text.data() + 1, text.data() + text.size(), value);
        if (error != std::errc()) {
            break;
        }
        result.insert(value);
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    }
    return result;
}

} // namespace

part_watch::part_watch(node_metrics &metrics, const part_guard_options &options)
    : m_guard(options)
    , m_metrics(metrics)
{
}

void part_watch::recordLoss(const prompt_run &run, upstream_key upstream, time_point now)
{
    const std::vector<std::uint64_t> stopped = m_guard.recordLoss(run, upstream, now);
    for (const std::uint64_t part : run.parts) {
        logEvent(log_level::Info,
                 "part_lost",
                 {{"part", std::to_string(part)},
                  {"fingerprint", std::to_string(run.content)},
                  {"upstream_key", std::to_string(upstream)},
                  {"upstreams_lost", std::to_string(m_guard.lossCount(part))}});
    }
    logStops(stopped, "self");
}

void part_watch::recordProof(const prompt_run &run, time_point now)
{
    for (const std::uint64_t part : run.parts) {
        if (m_guard.isPart(part)) {
            m_metrics.count("part_released");
            logEvent(log_level::Info, "part_released", {{"part", std::to_string(part)}, {"fingerprint", std::to_string(run.content)}});
        }
    }
    m_guard.recordProof(run, now);
}

void part_watch::recordUnanswered(const prompt_run &run, upstream_key upstream, time_point now)
{
    m_guard.recordUnanswered(run, upstream, now);
}

void part_watch::recordUpstreamEnd(upstream_key upstream, time_point now)
{
    logStops(m_guard.recordUpstreamEnd(upstream, now), "self");
}

void part_watch::recordAlive(upstream_key upstream, time_point aliveAt, time_point now)
{
    for (const std::uint64_t part : m_guard.recordAlive(upstream, aliveAt, now)) {
        m_metrics.count("part_released");
        logEvent(log_level::Info, "part_released", {{"part", std::to_string(part)}, {"running_upstream_key", std::to_string(upstream)}});
    }
}

std::optional<time_point> part_watch::stoppedUntil(const prompt_run &run, time_point now) const
{
    return m_guard.stoppedUntil(run, now);
}

void part_watch::recordReport(const std::vector<part_loss> &losses,
                              const std::vector<std::uint64_t> &proofs,
                              std::string_view sender,
                              bool forward,
                              time_point now)
{
    logStops(m_guard.recordRemoteLosses(losses, forward, now), sender);
    m_guard.recordRemoteProofs(proofs, forward, now);
}

std::string part_watch::rowText(std::uint64_t part) const
{
    if (!m_guard.isPart(part)) {
        return {};
    }
    std::string text(partMark);
    for (const std::uint64_t other : m_guard.stoppedTogetherWith(part)) {
        text.append(" ").append(std::to_string(other));
    }
    const std::set<upstream_key> lost = m_guard.stoppedBecauseOf(part);
    text.append(lost.empty() ? std::string_view() : lossMark);
    for (const upstream_key upstream : lost) {
        text.append(" ").append(std::to_string(upstream));
    }
    return text;
}

bool part_watch::applyRow(std::uint64_t part, const std::string &text, time_point now)
{
    std::string_view rest = text;
    if (!rest.starts_with(partMark)) {
        return false;
    }
    rest.remove_prefix(partMark.size());
    const auto together = takeNumbers<std::uint64_t>(rest);
    std::set<upstream_key> lost;
    if (rest.starts_with(lossMark)) {
        rest.remove_prefix(lossMark.size());
        lost = takeNumbers<upstream_key>(rest);
    }
    m_guard.stop(part, together, now, lost);
    return true;
}

void part_watch::logStops(const std::vector<std::uint64_t> &parts, std::string_view seenBy)
{
    for (const std::uint64_t part : parts) {
        m_metrics.count("part_stopped");
        const std::size_t together = m_guard.stoppedTogetherWith(part).size();
        logEvent(log_level::Warning,
                 "part_stopped",
                 {{"part", std::to_string(part)}, {"seen_by", std::string(seenBy)}, {"together_with", std::to_string(together)}});
    }
}

} // namespace banyan
