#include "work_estimator.h"

#include "../seconds.h"

#include <algorithm>
#include <bit>

namespace banyan {

namespace {

constexpr std::uint32_t runMemory = 64; ///< Runs after which older ones hardly count, by size class and by caller.
constexpr std::uint32_t classMemory = 256; ///< The same for all runs of a work class.
constexpr double priorRuns = 4; ///< Weight of the more general expectation, in runs.
constexpr double trustBound = 4; ///< A statement or a caller changes an expectation by at most this factor.
constexpr std::uint32_t neededMeasurements = 16; ///< For a typical value of its own.
constexpr double shortestSeconds = 1e-4; ///< Expectations are divisors elsewhere.
constexpr double smallestRemainder = 0.1; ///< Least share of its whole work that a continued item is expected to need.

double bounded(double factor)
{
    return std::clamp(factor, 1 / trustBound, trustBound);
}

double statedTokens(const request_size &size)
{
    return static_cast<double>(size.promptTokens) + static_cast<double>(size.maximumOutputTokens);
}

/// The typical value of a size class, or the general one while it is hardly known.
double typicalOf(const typical_value &ofSize, const typical_value &general, double prior)
{
    const typical_value &known = ofSize.count() >= neededMeasurements ? ofSize : general;
    return std::max(known.count() > 0 ? known.value() : prior, shortestSeconds);
}

std::size_t indexOf(work_class workClass)
{
    return workClass == work_class::Online ? 0 : 1;
}

} // namespace

work_estimator::work_estimator(const expected_work &prior)
    : m_prior(prior)
{
}

const work_estimator::class_statistics &work_estimator::classOf(const slot_request &request) const
{
    return m_classes[indexOf(request.workClass)];
}

std::size_t work_estimator::sizeIndex(const request_size &size)
{
    const auto classOfTokens = [](std::uint32_t tokens) {
        return std::min<std::size_t>(std::bit_width(tokens), sizeClasses - 1);
    };
    return classOfTokens(size.promptTokens) * sizeClasses + classOfTokens(size.maximumOutputTokens);
}

std::size_t work_estimator::callerIndex(const slot_request &request)
{
    return request.caller % callerEntries;
}

expected_work work_estimator::expectedBySize(const slot_request &request) const
{
    const class_statistics &general = classOf(request);
    const statistics &ofSize = general.bySize[sizeIndex(request.size)];
    const double stated = statedTokens(request.size);
    const double mean = general.statedTokens.value();
    const double scale = stated > 0 && mean > 0 ? bounded(stated / mean) : 1;
    const double firstByte = general.all.firstByte.towards(m_prior.firstByteSeconds, priorRuns);
    const double run = general.all.run.towards(m_prior.runSeconds, priorRuns);
    return {.firstByteSeconds = ofSize.firstByte.towards(firstByte, priorRuns), .runSeconds = ofSize.run.towards(run * scale, priorRuns)};
}

expected_work work_estimator::expected(const slot_request &request, bool cached) const
{
    expected_work work = expectedBySize(request);
    const double whole = work.runSeconds * bounded(m_callers[callerIndex(request)].towards(1, priorRuns));
    work.runSeconds = std::max(whole - toSeconds(request.earlierRunTime), whole * smallestRemainder);
    if (cached) {
        work.firstByteSeconds *= std::min(1.0, bounded(m_cached.towards(1, priorRuns)));
    }
    work.firstByteSeconds = std::max(work.firstByteSeconds, shortestSeconds);
    work.runSeconds = std::max(work.runSeconds, shortestSeconds);
    return work;
}

expected_work work_estimator::typical(const slot_request &request, bool cached) const
{
    const class_statistics &general = classOf(request);
    const statistics &ofSize = general.bySize[sizeIndex(request.size)];
    const auto firstByte = cached ? &statistics::typicalCachedFirstByte : &statistics::typicalFirstByte;
    return {.firstByteSeconds = typicalOf(ofSize.*firstByte, general.all.*firstByte, m_prior.firstByteSeconds),
            .runSeconds = typicalOf(ofSize.typicalRun, general.all.typicalRun, m_prior.runSeconds)};
}

void work_estimator::recordTypical(const slot_request &request, bool cached, const expected_work &measured)
{
    class_statistics &general = m_classes[indexOf(request.workClass)];
    for (statistics *const updated : {&general.all, &general.bySize[sizeIndex(request.size)]}) {
        if (measured.firstByteSeconds > 0) {
            (cached ? updated->typicalCachedFirstByte : updated->typicalFirstByte).add(measured.firstByteSeconds);
        }
        if (measured.runSeconds > 0) {
            updated->typicalRun.add(measured.runSeconds);
        }
    }
}

void work_estimator::recordFirstByte(const slot_request &request, bool cached, double seconds)
{
    if (cached) {
        const double usual = expectedBySize(request).firstByteSeconds;
        m_cached.add(usual > 0 ? bounded(seconds / usual) : 1, runMemory);
        return;
    }
    class_statistics &general = m_classes[indexOf(request.workClass)];
    general.all.firstByte.add(seconds, classMemory);
    general.bySize[sizeIndex(request.size)].firstByte.add(seconds, runMemory);
}

void work_estimator::recordRun(const slot_request &request, double seconds)
{
    const double whole = seconds + toSeconds(request.earlierRunTime);
    const double usual = expectedBySize(request).runSeconds;
    m_callers[callerIndex(request)].add(usual > 0 ? bounded(whole / usual) : 1, runMemory);
    class_statistics &general = m_classes[indexOf(request.workClass)];
    general.statedTokens.add(statedTokens(request.size), classMemory);
    general.all.run.add(whole, classMemory);
    general.bySize[sizeIndex(request.size)].run.add(whole, runMemory);
}

} // namespace banyan
