#include "banyan/core/file_record.h"

#include "banyan/core/row_key.h"
#include "record_json.h"

namespace banyan {

namespace json = boost::json;

namespace {

json::array partsToJson(const std::vector<file_part> &parts)
{
    json::array result;
    for (const file_part &part : parts) {
        result.push_back(json::array{part.bytes, part.items});
    }
    return result;
}

std::vector<file_part> partsFromJson(const json::array &values)
{
    std::vector<file_part> parts;
    parts.reserve(values.size());
    for (const json::value &value : values) {
        const json::array &pair = value.as_array();
        parts.push_back({.bytes = pair.at(0).to_number<std::uint32_t>(), .items = pair.at(1).to_number<std::uint32_t>()});
    }
    return parts;
}

} // namespace

std::uint64_t file_record::bytes() const
{
    std::uint64_t sum = 0;
    for (const file_part &part : parts) {
        sum += part.bytes;
    }
    return sum;
}

std::uint64_t file_record::items() const
{
    std::uint64_t sum = 0;
    for (const file_part &part : parts) {
        sum += part.items;
    }
    return sum;
}

std::string file_record::toJson() const
{
    json::object object;
    object["id"] = id.text();
    object["caller"] = caller.text();
    object["file_name"] = fileName;
    object["purpose"] = purpose;
    object["stored"] = state == file_state::Stored;
    object["created"] = timeToRow(createdAt);
    object["expires"] = timeToRow(expiresAt);
    object["hash"] = contentHash;
    object["parts"] = partsToJson(parts);
    return json::serialize(object);
}

file_record file_record::fromJson(std::string_view text)
{
    return readRecord(text, "file", [](const json::object &object) {
        return file_record{.id = file_id(textOf(object, "id")),
                           .caller = caller_id(textOf(object, "caller")),
                           .fileName = textOf(object, "file_name"),
                           .purpose = textOf(object, "purpose"),
                           .state = object.at("stored").as_bool() ? file_state::Stored : file_state::Uploading,
                           .createdAt = timeFromRow(numberOf<std::int64_t>(object, "created")),
                           .expiresAt = timeFromRow(numberOf<std::int64_t>(object, "expires")),
                           .contentHash = textOf(object, "hash"),
                           .parts = partsFromJson(object.at("parts").as_array())};
    });
}

std::string fileKey(const caller_id &caller, const file_id &file)
{
    return fileKeyPrefix(caller) + keyPart(file.text());
}

std::string fileKeyPrefix(const caller_id &caller)
{
    return "file/" + keyPart(caller.text()) + "/";
}

std::string partObjectName(const file_id &file, std::size_t part)
{
    return "files/" + keyPart(file.text()) + "/" + std::to_string(part);
}

} // namespace banyan
