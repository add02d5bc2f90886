#include "banyan/io/request_builder.h"

#include "banyan/io/request_refused.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <xxhash.h>

#include <algorithm>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::string_view chatTarget = "/v1/chat/completions";
constexpr std::string_view servicesPrefix = "/v1/services/";
constexpr std::size_t prefixBytes = 1024; // Of the prompt that requests with the same cached prefix share.
constexpr std::uint32_t largestTokenLimit = 1U << 20;

/// What routing needs to know of a chat request's body.
struct chat_facts
{
    std::string model;
    bool streamed = false;
    std::uint32_t maximumTokens = 0;
    std::uint64_t prefixHash = 0;
};

[[noreturn]] void refuseBody(const std::string &text)
{
    throw request_refused(400, "invalid_body", text);
}

std::uint32_t tokenLimit(const json::object &body)
{
    for (const char *name : {"max_completion_tokens", "max_tokens"}) {
        const json::value *value = body.if_contains(name);
        if (value == nullptr || value->is_null()) {
            continue;
        }
        boost::system::error_code error;
        const auto number = value->to_number<std::int64_t>(error);
        if (error || number <= 0) {
            refuseBody(std::string(name) + ": expected a positive whole number");
        }
        return static_cast<std::uint32_t>(std::min<std::int64_t>(number, largestTokenLimit));
    }
    return 0;
}

std::uint64_t prefixHashOf(const json::array &messages)
{
    const json::object *first = messages.empty() ? nullptr : messages.front().if_object();
    const json::value *content = first == nullptr ? nullptr : first->if_contains("content");
    const json::string *text = content == nullptr ? nullptr : content->if_string();
    if (text == nullptr || messages.size() < 2) {
        return 0;
    }
    return XXH3_64bits(text->data(), std::min(text->size(), prefixBytes));
}

chat_facts readChat(const std::string &body)
{
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    if (error || !document.is_object()) {
        refuseBody("expected a JSON object, found " + (error ? error.message() : "another JSON value"));
    }
    const json::object &object = document.as_object();
    const json::value *model = object.if_contains("model");
    if (model == nullptr || !model->is_string()) {
        refuseBody("model: expected a text");
    }
    const json::value *messages = object.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        refuseBody("messages: expected a list");
    }
    const json::value *stream = object.if_contains("stream");
    if (stream != nullptr && !stream->is_bool() && !stream->is_null()) {
        refuseBody("stream: expected true or false");
    }
    return {.model = std::string(model->as_string()),
            .streamed = stream != nullptr && stream->is_bool() && stream->as_bool(),
            .maximumTokens = tokenLimit(object),
            .prefixHash = prefixHashOf(messages->as_array())};
}

const access_rule *accessOf(const service_settings &service, const caller_id &caller)
{
    const auto found = std::find_if(service.access.begin(), service.access.end(), [&](const access_rule &rule) {
        return rule.caller == caller;
    });
    return found == service.access.end() ? nullptr : &*found;
}

/// The service that has the model and admits the caller.
const service_settings &serviceOfModel(const configuration &current, const caller_id &caller, const std::string &model)
{
    for (const auto &[name, service] : current.services) {
        const bool has = std::find(service.models.begin(), service.models.end(), model) != service.models.end();
        if (service.kind == service_kind::Model && has && accessOf(service, caller) != nullptr) {
            return service;
        }
    }
    throw request_refused(404, "model_not_found", "The model \"" + model + "\" does not exist or you have no access to it.");
}

const service_settings &plainService(const configuration &current, const caller_id &caller, const std::string &name)
{
    const auto found = current.services.find(service_name(name));
    if (found == current.services.end() || found->second.kind != service_kind::Plain || accessOf(found->second, caller) == nullptr) {
        throw request_refused(404, "service_not_found", "The service \"" + name + "\" does not exist or you have no access to it.");
    }
    return found->second;
}

bool changesNothing(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

std::uint64_t fingerprintOf(const caller_request &request)
{
    const std::string content = request.caller.text() + "\n" + request.method + "\n" + request.target + "\n" + request.body;
    return XXH3_64bits(content.data(), content.size());
}

http_request makeMessage(const caller_request &request, const service_settings &service, std::string target)
{
    http_request message{.method = request.method, .target = std::move(target), .body = request.body};
    if (!request.body.empty()) {
        message.fields.push_back({.name = "Content-Type", .value = request.contentType});
    }
    message.fields.push_back({.name = "X-Service-Version", .value = std::to_string(service.version)});
    message.fields.insert(message.fields.end(), request.extraFields.begin(), request.extraFields.end());
    return message;
}

resolved_request resolve(const caller_request &request, const service_settings &service, std::string upstreamTarget, time_point now)
{
    resolved_request result;
    result.service = service;
    result.recorded = service.durable && !changesNothing(request.method);
    result.run.pool = service.pool;
    result.run.message = makeMessage(request, service, std::move(upstreamTarget));
    dispatch_request &dispatch = result.run.dispatch;
    dispatch.id = request.id;
    dispatch.caller = request.caller;
    dispatch.service = service.name;
    dispatch.workClass = request.workClass.value_or(accessOf(service, request.caller)->urgency);
    dispatch.repeatable = changesNothing(request.method) || request.repeatable.value_or(service.repeatable);
    dispatch.resumable = service.resumable;
    dispatch.streamed = false;
    dispatch.fingerprint = fingerprintOf(request);
    dispatch.deadline = now + request.timeLeft.value_or(service.defaultDeadline);
    return result;
}

} // namespace

resolved_request resolveRequest(const configuration &current, const caller_request &request, time_point now)
{
    if (request.target == chatTarget) {
        const chat_facts chat = readChat(request.body);
        resolved_request result = resolve(request, serviceOfModel(current, request.caller, chat.model), request.target, now);
        result.streamed = chat.streamed;
        result.run.dispatch.streamed = chat.streamed;
        result.run.dispatch.expectedTokens = chat.maximumTokens;
        result.run.dispatch.prefixHash = chat.prefixHash;
        return result;
    }
    if (!request.target.starts_with(servicesPrefix)) {
        throw request_refused(404, "unknown_url", "No such call: " + request.target);
    }
    const std::string rest = request.target.substr(servicesPrefix.size());
    const std::string name = rest.substr(0, rest.find_first_of("/?"));
    const std::string path = rest.substr(name.size());
    resolved_request result = resolve(request, plainService(current, request.caller, name), path.starts_with('/') ? path : "/" + path, now);
    result.streamed = request.method == "GET";
    return result;
}

} // namespace banyan
