#include "banyan/core/configuration_head.h"

#include "banyan/core/time_text.h"
#include "json_object_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace banyan {

namespace json = boost::json;

configuration_head parseHead(const std::optional<row> &stored)
{
    constexpr std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max();
    configuration_head result;
    if (!stored) {
        return result;
    }
    json::error_code error;
    const json::value value = json::parse(stored->value, error);
    if (error) {
        rejectField(stored->key, "JSON", error.message());
    }
    json_object_reader reader(value, stored->key);
    result.rowVersion = stored->version;
    result.version = reader.integer("version", 1, maximum, 0);
    result.snapshotVersion = reader.integer("snapshot_version", 0, maximum, 0);
    result.snapshotObject = reader.text("snapshot_object", "");
    return result;
}

std::string toJson(const configuration_head &head)
{
    json::object result;
    result["version"] = head.version;
    result["snapshot_version"] = head.snapshotVersion;
    result["snapshot_object"] = head.snapshotObject;
    return json::serialize(result);
}

std::string patchKey(configuration_version version)
{
    return std::string(configurationPatchPrefix) + toSortableText(version);
}

std::string snapshotObjectName(configuration_version version, const std::string &submissionId)
{
    return std::string(configurationSnapshotPrefix) + toSortableText(version) + "/" + submissionId;
}

} // namespace banyan
