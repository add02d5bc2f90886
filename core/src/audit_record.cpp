#include "banyan/core/audit_record.h"

#include "banyan/core/configuration_error.h"
#include "banyan/core/time_text.h"
#include "json_object_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <limits>

namespace banyan {

namespace json = boost::json;

namespace {

time_point timeOfKey(const std::string &key)
{
    std::uint64_t micros = 0;
    const char *const begin = key.data() + std::min(auditPrefix.size(), key.size());
    const auto parsed = std::from_chars(begin, key.data() + key.size(), micros);
    if (parsed.ec != std::errc() || !key.starts_with(auditPrefix)) {
        rejectField("audit key", "audit/MICROSECONDS/ID", "\"" + key + "\"");
    }
    return time_point(duration(static_cast<duration::rep>(micros)));
}

} // namespace

row_write auditRow(const audit_record &record, std::string_view unique)
{
    std::string key(auditPrefix);
    key.append(toSortableText(record.time)).append("/").append(unique);
    return {.key = std::move(key), .value = toJson(record)};
}

std::string toJson(const audit_record &record)
{
    json::object result;
    result["time"] = toIsoText(record.time);
    result["kind"] = record.kind;
    result["operator"] = record.actor.text();
    result["what"] = record.what;
    result["from_version"] = record.fromVersion;
    result["to_version"] = record.toVersion;
    result["accepted"] = record.accepted;
    result["reason"] = record.reason;
    return json::serialize(result);
}

audit_record parseAuditRow(const row &stored)
{
    constexpr std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max();
    json::error_code error;
    const json::value value = json::parse(stored.value, error);
    if (error) {
        rejectField(stored.key, "JSON", error.message());
    }
    json_object_reader reader(value, stored.key);
    static_cast<void>(reader.text("time"));
    audit_record result;
    result.time = timeOfKey(stored.key);
    result.kind = reader.text("kind");
    result.actor = operator_id(reader.text("operator"));
    result.what = reader.text("what");
    result.fromVersion = reader.integer("from_version", 0, maximum, 0);
    result.toVersion = reader.integer("to_version", 0, maximum, 0);
    result.accepted = reader.boolean("accepted", true);
    result.reason = reader.text("reason");
    return result;
}

} // namespace banyan
