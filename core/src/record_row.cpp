#include "banyan/core/record_row.h"

#include "banyan/core/sha256.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace banyan {

namespace json = boost::json;

namespace {

json::value toJson(const stored_payload &payload)
{
    if (!payload.objectName.empty()) {
        return json::object{{"object", payload.objectName}};
    }
    return json::object{{"text", payload.text}};
}

stored_payload payloadOf(const json::value &value)
{
    const json::object &object = value.as_object();
    if (const json::value *name = object.if_contains("object")) {
        return {.objectName = json::value_to<std::string>(*name)};
    }
    return {.text = json::value_to<std::string>(object.at("text"))};
}

std::string textOf(const json::object &object, const char *name)
{
    return json::value_to<std::string>(object.at(name));
}

} // namespace

std::string recordKeyOf(const caller_id &caller, std::string_view idempotencyKey)
{
    std::string name = caller.text();
    name += '\0';
    name += idempotencyKey;
    return std::string(recordPrefix) + sha256Hex(name);
}

std::string encodeRecordRow(const record_row &value)
{
    return json::serialize(json::object{{"caller", value.caller.text()},
                                        {"idempotency_key", value.idempotencyKey},
                                        {"content_hash", value.contentHash},
                                        {"repeatable", value.repeatable},
                                        {"may_have_run", value.mayHaveRun},
                                        {"state", toString(value.state)},
                                        {"owner", value.owner},
                                        {"fencing_number", value.fencingNumber},
                                        {"attempt", value.attempt},
                                        {"request", toJson(value.request)},
                                        {"answer", toJson(value.answer)},
                                        {"changed_at", value.changedAt.time_since_epoch().count()}});
}

record_row parseRecordRow(std::string_view text)
{
    try {
        const json::value parsed = json::parse(json::string_view(text.data(), text.size()));
        const json::object &object = parsed.as_object();
        return {.caller = caller_id(textOf(object, "caller")),
                .idempotencyKey = textOf(object, "idempotency_key"),
                .contentHash = textOf(object, "content_hash"),
                .repeatable = object.at("repeatable").as_bool(),
                .mayHaveRun = object.at("may_have_run").as_bool(),
                .state = recordStateOf(textOf(object, "state")),
                .owner = textOf(object, "owner"),
                .fencingNumber = object.at("fencing_number").to_number<std::uint64_t>(),
                .attempt = textOf(object, "attempt"),
                .request = payloadOf(object.at("request")),
                .answer = payloadOf(object.at("answer")),
                .changedAt = time_point(duration(object.at("changed_at").to_number<std::int64_t>()))};
    } catch (const std::exception &error) {
        throw std::invalid_argument(std::string("record row: ") + error.what());
    }
}

} // namespace banyan
