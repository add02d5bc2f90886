#include "banyan/core/patch_record.h"

#include "json_object_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace banyan {

namespace json = boost::json;

namespace {

json::value parseText(std::string_view text, const std::string &what)
{
    json::error_code error;
    json::value value = json::parse({text.data(), text.size()}, error);
    if (error) {
        rejectField(what, "JSON", error.message());
    }
    return value;
}

void collectFields(const json::value &value, const std::string &path, std::vector<std::string> &result)
{
    if (!value.is_object() || value.get_object().empty()) {
        result.push_back(path);
        return;
    }
    for (const auto &member : value.get_object()) {
        std::string memberPath = path;
        memberPath.append(path.empty() ? "" : ".").append(member.key().data(), member.key().size());
        collectFields(member.value(), memberPath, result);
    }
}

} // namespace

std::string toJson(const patch_record &record)
{
    json::object result;
    result["version"] = record.version;
    result["operator"] = record.author.text();
    result["time_us"] = record.time.time_since_epoch().count();
    result["reason"] = record.reason;
    result["submission_id"] = record.submissionId;
    result["patch"] = record.mergePatch;
    return json::serialize(result);
}

patch_record parsePatchRecord(std::string_view text)
{
    constexpr std::uint64_t maximum = std::numeric_limits<std::int64_t>::max();
    const json::value value = parseText(text, "patch row");
    json_object_reader reader(value, "patch row");
    patch_record result;
    result.version = reader.integer("version", 1, maximum, 0);
    result.author = operator_id(reader.text("operator"));
    result.time = time_point(duration(static_cast<duration::rep>(reader.integer("time_us", 0, maximum, 0))));
    result.reason = reader.text("reason");
    result.submissionId = reader.text("submission_id");
    result.mergePatch = reader.text("patch");
    return result;
}

std::vector<std::string> changedFields(std::string_view mergePatch)
{
    std::vector<std::string> result;
    collectFields(parseText(mergePatch, "patch"), "", result);
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace banyan
