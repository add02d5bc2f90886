#include "record_codec.h"

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <stdexcept>

namespace banyan {

namespace json = boost::json;

namespace {

std::string base64Of(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto *input = reinterpret_cast<const unsigned char *>(bytes.data());
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), input, static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string bytesOfBase64(const std::string &text, std::size_t size)
{
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const auto *input = reinterpret_cast<const unsigned char *>(text.data());
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), input, static_cast<int>(text.size()));
    if (length < 0 || size > static_cast<std::size_t>(length)) {
        throw std::invalid_argument("body: expected base64");
    }
    bytes.resize(size);
    return bytes;
}

/// Whether @p text can stand in JSON as it is, that is, is valid UTF-8.
bool isText(const std::string &text)
{
    boost::system::error_code error;
    json::parse(json::serialize(json::string(text)), error);
    return !error;
}

void putBody(json::object &object, const std::string &body)
{
    if (isText(body)) {
        object["body"] = body;
        return;
    }
    object["body_base64"] = base64Of(body);
    object["body_size"] = body.size();
}

std::string textOf(const json::object &object, const char *name)
{
    return json::value_to<std::string>(object.at(name));
}

std::string bodyOf(const json::object &object)
{
    if (object.contains("body")) {
        return textOf(object, "body");
    }
    return bytesOfBase64(textOf(object, "body_base64"), object.at("body_size").to_number<std::size_t>());
}

json::array toJson(const std::vector<http_field> &fields)
{
    json::array list;
    for (const http_field &field : fields) {
        list.push_back(json::object{{"name", field.name}, {"value", field.value}});
    }
    return list;
}

std::vector<http_field> fieldsOf(const json::object &object)
{
    std::vector<http_field> fields;
    for (const json::value &entry : object.at("fields").as_array()) {
        const json::object &field = entry.as_object();
        fields.push_back({.name = textOf(field, "name"), .value = textOf(field, "value")});
    }
    return fields;
}

json::object toJson(const dispatch_request &request)
{
    return {{"id", request.id.text()},
            {"caller", request.caller.text()},
            {"service", request.service.text()},
            {"batch", request.workClass == work_class::Batch},
            {"repeatable", request.repeatable},
            {"resumable", request.resumable},
            {"streamed", request.streamed},
            {"fingerprint", request.fingerprint},
            {"prefix_hash", request.prefixHash},
            {"expected_tokens", request.expectedTokens},
            {"deadline", request.deadline.time_since_epoch().count()}};
}

dispatch_request dispatchOf(const json::object &object)
{
    return {.id = request_id(textOf(object, "id")),
            .caller = caller_id(textOf(object, "caller")),
            .service = service_name(textOf(object, "service")),
            .workClass = object.at("batch").as_bool() ? work_class::Batch : work_class::Online,
            .repeatable = object.at("repeatable").as_bool(),
            .resumable = object.at("resumable").as_bool(),
            .streamed = object.at("streamed").as_bool(),
            .fingerprint = object.at("fingerprint").to_number<std::uint64_t>(),
            .prefixHash = object.at("prefix_hash").to_number<std::uint64_t>(),
            .expectedTokens = object.at("expected_tokens").to_number<std::uint32_t>(),
            .deadline = time_point(duration(object.at("deadline").to_number<std::int64_t>()))};
}

http_request messageOf(const json::object &object)
{
    return {.method = textOf(object, "method"), .target = textOf(object, "target"), .fields = fieldsOf(object), .body = bodyOf(object)};
}

/// Runs @p reader on the JSON object in @p text.
template<typename Reader>
auto parsed(const std::string &what, const std::string &text, Reader reader)
{
    try {
        const json::value value = json::parse(text);
        return reader(value.as_object());
    } catch (const std::exception &error) {
        throw std::invalid_argument(what + ": " + error.what());
    }
}

} // namespace

std::string encodeRunRequest(const run_request &request)
{
    json::object message{
        {"method", request.message.method}, {"target", request.message.target}, {"fields", toJson(request.message.fields)}};
    putBody(message, request.message.body);
    return json::serialize(
        json::object{{"dispatch", toJson(request.dispatch)}, {"pool", request.pool.text()}, {"message", std::move(message)}});
}

run_request parseRunRequest(const std::string &text)
{
    return parsed("recorded request", text, [](const json::object &object) {
        return run_request{.dispatch = dispatchOf(object.at("dispatch").as_object()),
                           .pool = pool_name(textOf(object, "pool")),
                           .message = messageOf(object.at("message").as_object())};
    });
}

std::string encodeRunAnswer(const run_answer &answer)
{
    json::object object{{"disposition", static_cast<int>(answer.result.what)},
                        {"reason", static_cast<int>(answer.result.reason)},
                        {"status", answer.response.status},
                        {"fields", toJson(answer.response.fields)}};
    if (answer.result.retryAfter) {
        object["retry_after_us"] = answer.result.retryAfter->count();
    }
    putBody(object, answer.response.body);
    return json::serialize(object);
}

run_answer parseRunAnswer(const std::string &text)
{
    return parsed("recorded answer", text, [](const json::object &object) {
        run_answer answer{.result = {.what = static_cast<disposition>(object.at("disposition").to_number<int>()),
                                     .reason = static_cast<end_reason>(object.at("reason").to_number<int>())},
                          .response = {.status = object.at("status").to_number<unsigned>(), .fields = fieldsOf(object)}};
        if (const json::value *wait = object.if_contains("retry_after_us")) {
            answer.result.retryAfter = duration(wait->to_number<std::int64_t>());
        }
        answer.response.body = bodyOf(object);
        return answer;
    });
}

} // namespace banyan
