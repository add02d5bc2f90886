#include "job_rows.h"

#include "banyan/core/record_error.h"
#include "banyan/core/row_key.h"

#include <boost/json.hpp>

#include <xxhash.h>

#include <iomanip>
#include <sstream>

namespace banyan {

namespace json = boost::json;

std::string active_job::toJson() const
{
    return json::serialize(json::object{{"job", job.text()}, {"owner", owner}, {"deadline", deadline.time_since_epoch().count()}});
}

active_job active_job::fromJson(std::string_view text)
{
    try {
        const json::value parsed = json::parse(json::string_view(text.data(), text.size()));
        return {.job = job_id(json::value_to<std::string>(parsed.at("job"))),
                .owner = json::value_to<std::string>(parsed.at("owner")),
                .deadline = time_point(duration(parsed.at("deadline").to_number<std::int64_t>()))};
    } catch (const std::exception &error) {
        throw record_error(std::string("active job row: expected its JSON form, found: ") + error.what());
    }
}

std::uint32_t shardOf(const job_id &job)
{
    return static_cast<std::uint32_t>(XXH3_64bits(job.text().data(), job.text().size()) % activeShards);
}

std::string activePrefix(std::uint32_t shard)
{
    std::ostringstream text;
    text << "job-active/" << std::setw(3) << std::setfill('0') << shard << "/";
    return text.str();
}

std::string activeKey(const job_id &job)
{
    return activePrefix(shardOf(job)) + keyPart(job.text());
}

std::string callerJobPrefix(const caller_id &caller)
{
    return "job-of/" + keyPart(caller.text()) + "/";
}

std::string callerJobKey(const caller_id &caller, const job_id &job)
{
    return callerJobPrefix(caller) + keyPart(job.text());
}

std::string cancelPrefix(const std::string &lease)
{
    return "job-cancel/" + keyPart(lease) + "/";
}

std::string cancelKey(const std::string &lease, const job_id &job)
{
    return cancelPrefix(lease) + keyPart(job.text());
}

transaction changeJob(const job_record &next, row_version version, const std::string &before)
{
    transaction change{.id = next.id.text() + "-" + std::to_string(next.fencingNumber) + "-" + std::to_string(version)};
    change.conditions.push_back({.key = jobKey(next.id), .version = version});
    change.writes.push_back({.key = jobKey(next.id), .value = next.toJson()});
    const bool cancelNoticed = next.cancellingAt && !before.empty();
    if (isFinal(next.status)) {
        change.writes.push_back({.key = activeKey(next.id), .value = std::nullopt});
    } else if (next.owner != before || version == 0) {
        const active_job entry{.job = next.id, .owner = next.owner, .deadline = next.deadline};
        change.writes.push_back({.key = activeKey(next.id), .value = entry.toJson()});
    }
    if (cancelNoticed && (isFinal(next.status) || next.owner != before)) {
        change.writes.push_back({.key = cancelKey(before, next.id), .value = std::nullopt});
    }
    return change;
}

} // namespace banyan
