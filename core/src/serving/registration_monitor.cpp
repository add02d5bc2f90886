#include "banyan/core/serving/registration_monitor.h"

#include "banyan/core/serving/report_hubs.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace banyan {

namespace {

/// A number from 0 to 1 that differs between nodes.
double fractionOf(const node_id &node)
{
    constexpr double range = 4294967296.0; // Of a 32-bit hash.
    return XXH32(node.text().data(), node.text().size(), 0) / range;
}

} // namespace

registration_monitor::registration_monitor(const registration_monitor_options &options)
    : m_options(options)
    , m_delay(static_cast<duration::rep>(static_cast<double>(options.spread.count()) * fractionOf(options.self)))
    , m_silence(options.silence)
{
}

void registration_monitor::setRegistered(const std::map<std::string, registered_gateway> &gateways, const report_hubs &hubs, time_point now)
{
    const std::map<std::string, observed_row> before = std::exchange(m_rows, {});
    const bool heardHubsOnly = std::exchange(m_hearsHubsOnly, !hubs.isHub(m_options.self));
    m_heardAnyAt = m_hearsHubsOnly && heardHubsOnly ? m_heardAnyAt : now;
    m_silence = std::max(m_options.silence, hubs.reportTimeout());
    for (const auto &[key, gateway] : gateways) {
        if (gateway.node == m_options.self) {
            continue;
        }
        const auto found = before.find(key);
        const bool isKnown = found != before.end() && found->second.gateway.node == gateway.node;
        observed_row row = isKnown ? found->second : observed_row();
        const bool isExpected = !m_hearsHubsOnly || hubs.isHub(gateway.node);
        row.expectedSince = isExpected ? std::optional(row.expectedSince.value_or(now)) : std::nullopt;
        row.isHub = hubs.isHub(gateway.node);
        if (gateway.calledBy.text().empty()) {
            const bool wasWritten = isKnown && row.gateway.version != gateway.version; // Perhaps between a call and this look at the row.
            row.answeredAt = wasWritten ? std::optional(now) : row.answeredAt;
            row.calledAt.reset();
        } else if (!row.calledAt || row.gateway.version != gateway.version) {
            row.calledAt = now;
        }
        row.gateway = gateway;
        m_rows.emplace(key, std::move(row));
    }
    std::set<node_id> registered;
    for (const auto &[key, row] : m_rows) {
        registered.insert(row.gateway.node);
    }
    std::erase_if(m_heardAt, [&](const auto &heard) {
        return !registered.contains(heard.first);
    });
}

void registration_monitor::recordReport(const node_id &node, time_point now)
{
    m_heardAt.insert_or_assign(node, now);
    m_heardAnyAt = std::max(m_heardAnyAt, now);
}

void registration_monitor::resumed(time_point now)
{
    m_heardAnyAt = now;
    for (auto &[key, row] : m_rows) {
        row.expectedSince = row.expectedSince ? std::optional(now) : std::nullopt;
        row.calledAt = row.calledAt ? std::optional(now) : std::nullopt;
    }
}

std::optional<time_point> registration_monitor::heardAt(const observed_row &row) const
{
    const auto heard = m_heardAt.find(row.gateway.node);
    return heard == m_heardAt.end() ? std::nullopt : std::optional(heard->second);
}

/// Whether reports of the node should come and do not.
bool registration_monitor::isSilent(const observed_row &row, time_point now) const
{
    return row.expectedSince && now - std::max(*row.expectedSince, heardAt(row).value_or(*row.expectedSince)) >= m_silence;
}

/// A call that an old build cannot answer says nothing any more after some time.
bool registration_monitor::hasOpenCall(const observed_row &row, time_point now) const
{
    return row.calledAt && (row.gateway.answersCalls || now - *row.calledAt < m_options.callLifetime);
}

/// Whether the node has been called in vain.
bool registration_monitor::isGone(const observed_row &row, time_point now) const
{
    if (!hasOpenCall(row, now)) {
        return false;
    }
    const bool isCaller = row.gateway.calledBy == m_options.self;
    const time_point lastSign = std::max(*row.calledAt, heardAt(row).value_or(*row.calledAt));
    const bool isOverdue = now - lastSign >= m_options.answerTime + (isCaller ? duration(0) : m_delay);
    return isOverdue && (row.gateway.answersCalls || (!isCaller && isSilent(row, now)));
}

bool registration_monitor::mayCall(const observed_row &row, time_point now) const
{
    return !hasOpenCall(row, now) && (!row.answeredAt || now - *row.answeredAt >= m_options.pauseAfterAnswer);
}

/// Whether this node hears hubs only, has heard none for the time of a call, and none has answered one.
bool registration_monitor::missesAllHubs(time_point now) const
{
    const bool isLongAgo = now - m_heardAnyAt >= m_silence + m_options.answerTime + m_delay;
    return m_hearsHubsOnly && isLongAgo && std::none_of(m_rows.begin(), m_rows.end(), [&](const auto &entry) {
               return entry.second.isHub && entry.second.answeredAt && *entry.second.answeredAt >= m_heardAnyAt;
           });
}

registration_review registration_monitor::review(time_point now) const
{
    registration_review result;
    const bool callsEveryone = missesAllHubs(now);
    for (const auto &[key, row] : m_rows) {
        if (isGone(row, now)) {
            result.removals.push_back(key);
        } else if (mayCall(row, now) && ((callsEveryone && row.gateway.answersCalls) || isSilent(row, now - m_delay))) {
            result.calls.push_back(key);
        }
    }
    return result;
}

} // namespace banyan
