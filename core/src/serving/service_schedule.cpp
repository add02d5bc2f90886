#include "service_schedule.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace banyan {

namespace {

constexpr std::uint32_t errorMemory = 128; ///< First bytes over which expected and measured times are compared.

std::vector<scheduled_upstream *> membersOf(const upstream_cell &cell, std::map<upstream_id, scheduled_upstream> &upstreams)
{
    std::vector<scheduled_upstream *> result;
    for (auto &[id, upstream] : upstreams) {
        if (upstream.isUsable() && cell.contains(id)) {
            result.push_back(&upstream);
        }
    }
    return result;
}

} // namespace

void cell_schedule::addBatch(const slot_request &request)
{
    const bool inserted = batch.emplace(request.id, request).second;
    boundBatch += inserted && !request.version.empty() ? 1 : 0;
}

void cell_schedule::removeBatch(const request_id &id)
{
    const auto removed = batch.extract(id);
    boundBatch -= !removed.empty() && !removed.mapped().version.empty() ? 1 : 0;
}

std::uint32_t cell_schedule::slots(const std::string &version) const
{
    return std::accumulate(members.begin(), members.end(), 0U, [&](std::uint32_t sum, const scheduled_upstream *upstream) {
        return upstream->info.hasVersion(version) ? sum + upstream->info.slots : sum;
    });
}

double cell_schedule::startsPerSecond(double runSeconds, const std::string &version) const
{
    return std::accumulate(members.begin(), members.end(), 0.0, [&](double sum, const scheduled_upstream *upstream) {
        return upstream->info.hasVersion(version) ? sum + upstream->startsPerSecond(runSeconds) : sum;
    });
}

std::uint32_t cell_schedule::limitedMembers() const
{
    return static_cast<std::uint32_t>(std::count_if(members.begin(), members.end(), [](const scheduled_upstream *upstream) {
        return upstream->starts.has_value();
    }));
}

cell_schedule &service_schedule::cell(const upstream_cell &cell)
{
    const auto [entry, inserted] = cells.try_emplace(cell);
    if (inserted) {
        entry->second.members = membersOf(cell, upstreams);
    }
    return entry->second;
}

cell_schedule &service_schedule::cellForBatch(const slot_request &request)
{
    cell_schedule &wanted = cell(request.cell);
    return wanted.members.empty() ? cell(upstream_cell()) : wanted;
}

/// Nothing else would end the wait of these runs: no slot of their cells becomes free, and their holders renew the claims.
void service_schedule::moveStrandedBatch()
{
    std::vector<slot_request> stranded;
    for (auto &[which, schedule] : cells) {
        if (which.count > 1 && schedule.members.empty()) {
            for (const auto &[id, request] : schedule.batch) {
                stranded.push_back(request);
            }
        }
    }
    for (const slot_request &request : stranded) {
        cell(request.cell).removeBatch(request.id);
        cellForBatch(request).addBatch(request);
    }
}

void service_schedule::upstreamsChanged()
{
    std::erase_if(upstreams, [](const auto &entry) {
        return !entry.second.registered && entry.second.online + entry.second.batch == 0;
    });
    const std::uint32_t count = cellCountFor(upstreams.size());
    std::erase_if(cells, [&](const auto &entry) {
        return entry.first.count != count && entry.second.online.empty() && entry.second.batch.empty();
    });
    std::set<std::uint32_t> counts;
    for (auto &[which, schedule] : cells) {
        schedule.members.clear();
        counts.insert(which.count);
    }
    for (auto &[id, upstream] : upstreams) {
        for (const std::uint32_t cellCount : counts) {
            const auto entry = cells.find(cellOf(id, cellCount));
            if (upstream.isUsable() && entry != cells.end()) {
                entry->second.members.push_back(&upstream);
            }
        }
    }
    moveStrandedBatch();
}

void service_schedule::recordFirstByte(const granted_run &run, scheduled_upstream &upstream, double seconds, time_point now)
{
    expectedFirstByte.add(run.expectedHere.firstByteSeconds, errorMemory);
    measuredFirstByte.add(seconds, errorMemory);
    firstByteError.add(std::abs(seconds - run.expectedHere.firstByteSeconds), errorMemory);
    upstream.speed.recordFirstByte(seconds / run.typical.firstByteSeconds, now);
    work.recordTypical(run.request, run.cached, {.firstByteSeconds = seconds / upstream.speed.usualFactor()});
    // The current factor, so that a disturbance is not taken for more work.
    work.recordFirstByte(run.request, run.cached, seconds / upstream.speed.currentFactor(now));
    compareSpeeds(now);
}

void service_schedule::recordRun(const granted_run &run, scheduled_upstream &upstream, double seconds, time_point now)
{
    const double usual = upstream.speed.usualFactor();
    if (run.request.earlierRunTime == duration(0)) {
        upstream.speed.recordRun(seconds / run.typical.runSeconds, now);
        work.recordTypical(run.request, run.cached, {.runSeconds = seconds / usual});
    }
    work.recordRun(run.request, seconds / usual);
}

void service_schedule::compareSpeeds(time_point now)
{
    if (!speeds.isDue(now)) {
        return;
    }
    std::vector<double> factors;
    bool settled = true;
    for (const auto &[id, upstream] : upstreams) {
        if (upstream.isUsable() && upstream.speed.isKnown(now)) {
            factors.push_back(upstream.speed.usualFactor());
            settled = settled && upstream.speed.isSettled(now);
        }
    }
    speeds.update(std::move(factors), settled, now);
    for (auto &[id, upstream] : upstreams) {
        upstream.speed.rebase(speeds.mean());
    }
}

std::uint32_t service_schedule::doubtOf(const slot_request &request, time_point now) const
{
    return request.earlierFailures + (failing.isFailing(request.origin, now) ? 1 : 0);
}

std::uint32_t service_schedule::waitingOnline() const
{
    std::size_t count = 0;
    for (const auto &[which, schedule] : cells) {
        count += schedule.online.size();
    }
    return static_cast<std::uint32_t>(count);
}

std::uint32_t service_schedule::waitingBatch() const
{
    std::size_t count = 0;
    for (const auto &[which, schedule] : cells) {
        count += schedule.batch.size();
    }
    return static_cast<std::uint32_t>(count);
}

} // namespace banyan
