#include "engine_model.h"

#include <algorithm>
#include <cmath>

namespace banyan::bench {

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr double stepTolerance = 1e-6;

double slowdownAt(const engine_options &options, double load)
{
    return std::pow(1 + std::pow(load / options.saturation, options.sharpness), 1 / options.sharpness);
}

double baseSeconds(const engine_options &options)
{
    return static_cast<double>(options.stepTime.count()) / microsecondsPerSecond;
}

} // namespace

engine_model::engine_model(event_loop &loop, const engine_options &options)
    : m_loop(loop)
    , m_options(options)
{
}

double engine_model::throughputAt(const engine_options &options, double sequences)
{
    return sequences / (baseSeconds(options) * slowdownAt(options, sequences));
}

double engine_model::secondsPerStep() const
{
    const double load = m_decoding + (m_running - m_decoding) * m_options.prefillLoad;
    return baseSeconds(m_options) * slowdownAt(m_options, load) * m_slowdown;
}

void engine_model::advance()
{
    const double elapsed = static_cast<double>((m_loop.now() - m_advancedAt).count()) / microsecondsPerSecond;
    const double steps = elapsed / secondsPerStep();
    m_step += steps;
    m_tokensGenerated += steps * m_decoding;
    m_advancedAt = m_loop.now();
}

void engine_model::reschedule()
{
    ++m_generation;
    if (m_milestones.empty()) {
        return;
    }
    const double steps = std::max(0.0, m_milestones.begin()->step - m_step);
    const auto delay = duration(static_cast<std::int64_t>(std::ceil(steps * secondsPerStep() * microsecondsPerSecond)));
    m_loop.after(delay, [this, generation = m_generation] {
        reachMilestones(generation);
    });
}

bool engine_model::start(std::uint64_t key, const engine_job &job, first_token_handler onFirstToken, end_handler onEnd)
{
    if (m_loop.now() < m_downUntil) {
        return false;
    }
    advance();
    m_sequences[key] = {.job = job, .onFirstToken = std::move(onFirstToken), .onEnd = std::move(onEnd)};
    m_waiting.push_back(key);
    admitWaiting();
    reschedule();
    return true;
}

void engine_model::admitWaiting()
{
    while (!m_waiting.empty() && m_running < m_options.maximumRunning) {
        const std::uint64_t key = m_waiting.front();
        m_waiting.pop_front();
        admit(key);
    }
}

void engine_model::admit(std::uint64_t key)
{
    sequence &admitted = m_sequences.at(key);
    const bool cached = touchPrefix(admitted.job.prefixHash);
    admitted.running = true;
    admitted.firstTokenAt = m_step + admitted.job.prefillSteps * (cached ? m_options.cachedPrefillShare : 1);
    m_milestones.insert({.step = admitted.firstTokenAt, .key = key});
    ++m_running;
}

bool engine_model::touchPrefix(std::uint64_t prefix)
{
    if (prefix == 0) {
        return false;
    }
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    const bool cached = found != m_prefixes.end();
    if (cached) {
        m_prefixes.erase(found);
    }
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > m_options.cachedPrefixes) {
        m_prefixes.pop_back();
    }
    return cached;
}

void engine_model::reachMilestones(std::uint64_t generation)
{
    if (generation != m_generation) {
        return;
    }
    advance();
    while (!m_milestones.empty() && m_milestones.begin()->step <= m_step + stepTolerance) {
        const std::uint64_t key = m_milestones.begin()->key;
        m_milestones.erase(m_milestones.begin());
        reach(key);
    }
    reschedule();
}

void engine_model::reach(std::uint64_t key)
{
    sequence &reached = m_sequences.at(key);
    if (reached.decoding) {
        const end_handler onEnd = reached.onEnd;
        remove(key);
        onEnd(ending::Done);
        return;
    }
    if (reached.job.crashes) {
        crash(m_loop.now() + std::chrono::seconds(5));
        return;
    }
    reached.decoding = true;
    ++m_decoding;
    m_milestones.insert({.step = reached.firstTokenAt + reached.job.tokens, .key = key});
    const first_token_handler onFirstToken = reached.onFirstToken;
    onFirstToken();
}

void engine_model::remove(std::uint64_t key)
{
    const auto entry = m_sequences.find(key);
    const sequence &removed = entry->second;
    if (removed.running) {
        const double end = removed.decoding ? removed.firstTokenAt + removed.job.tokens : removed.firstTokenAt;
        m_milestones.erase({.step = end, .key = key});
        --m_running;
        m_decoding -= removed.decoding ? 1 : 0;
    } else {
        std::erase(m_waiting, key);
    }
    m_sequences.erase(entry);
    admitWaiting();
}

void engine_model::cancel(std::uint64_t key)
{
    if (!m_sequences.contains(key)) {
        return;
    }
    advance();
    remove(key);
    reschedule();
}

std::uint32_t engine_model::tokensOf(std::uint64_t key)
{
    const auto entry = m_sequences.find(key);
    if (entry == m_sequences.end() || !entry->second.decoding) {
        return 0;
    }
    advance();
    return static_cast<std::uint32_t>(std::max(0.0, m_step - entry->second.firstTokenAt));
}

void engine_model::setSlowdown(double factor)
{
    advance();
    m_slowdown = factor;
    reschedule();
}

void engine_model::crash(time_point until)
{
    advance();
    m_downUntil = until;
    const std::map<std::uint64_t, sequence> lost = std::move(m_sequences);
    m_sequences.clear();
    m_waiting.clear();
    m_milestones.clear();
    m_prefixes.clear();
    m_running = 0;
    m_decoding = 0;
    ++m_generation;
    for (const auto &[key, job] : lost) {
        job.onEnd(ending::Lost);
    }
}

} // namespace banyan::bench
