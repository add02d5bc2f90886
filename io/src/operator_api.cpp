#include "banyan/io/operator_api.h"

#include "banyan/io/http_server.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/store_error.h"
#include "operator_json.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <stdexcept>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::size_t maximumPatch = std::size_t(4) << 20; ///< Bytes.
constexpr std::size_t maximumAuditPage = 1000; ///< Records.
constexpr std::string_view bearer = "Bearer ";

/// A request that cannot be understood; what() says what was expected.
class bad_request : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

template<typename Number>
Number numberFrom(const std::optional<std::string> &text, std::string_view name, Number otherwise)
{
    if (!text) {
        return otherwise;
    }
    Number value{};
    const char *const end = text->data() + text->size();
    if (std::from_chars(text->data(), end, value).ptr != end || text->empty()) {
        throw bad_request(std::string(name) + ": expected a whole number, found \"" + *text + "\"");
    }
    return value;
}

/// Reads a time in the form of toIsoText(); the part after the seconds may be left out.
std::optional<time_point> timeFrom(const std::optional<std::string> &text, std::string_view name)
{
    if (!text) {
        return std::nullopt;
    }
    std::tm parts{};
    const char *const rest = strptime(text->c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    unsigned microseconds = 0;
    const bool sound = rest != nullptr && (std::string_view(rest) == "Z" || std::sscanf(rest, ".%6uZ", &microseconds) == 1);
    if (!sound) {
        throw bad_request(std::string(name) + ": expected a time such as 2026-12-04T03:00:00.000000Z, found \"" + *text + "\"");
    }
    return time_point(std::chrono::seconds(timegm(&parts)) + std::chrono::microseconds(microseconds));
}

std::optional<bool> flagFrom(const std::optional<std::string> &text, std::string_view name)
{
    if (!text) {
        return std::nullopt;
    }
    if (*text != "true" && *text != "false") {
        throw bad_request(std::string(name) + ": expected true or false, found \"" + *text + "\"");
    }
    return *text == "true";
}

audit_filter auditFilter(const http_exchange &exchange)
{
    audit_filter filter;
    filter.from = timeFrom(exchange.query("from"), "from");
    if (const std::optional<std::string> after = exchange.query("after")) {
        filter.from = time_point(duration(numberFrom<std::int64_t>(after, "after", 0) + 1));
    }
    filter.until = timeFrom(exchange.query("until"), "until");
    filter.kind = exchange.query("kind");
    if (const std::optional<std::string> actor = exchange.query("operator")) {
        filter.actor = operator_id(*actor);
    }
    filter.accepted = flagFrom(exchange.query("accepted"), "accepted");
    filter.limit = std::min(numberFrom(exchange.query("limit"), "limit", filter.limit), maximumAuditPage);
    return filter;
}

/// The field @p name of a submission, of the type that @p expected names.
const json::value &requiredField(const json::object &object, json::string_view name, json::kind kind, const char *expected)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || value->kind() != kind) {
        throw bad_request(std::string(name) + ": expected " + expected);
    }
    return *value;
}

configuration_version baseVersionOf(const json::object &object)
{
    const json::value *value = object.if_contains("base_version");
    boost::system::error_code error;
    const auto version = value == nullptr ? 0 : value->to_number<configuration_version>(error);
    if (value == nullptr || error) {
        throw bad_request("base_version: expected the number of the version that the patch was made for");
    }
    return version;
}

/// The id of a submission that is sent again; empty if none is given.
std::string submissionIdOf(const json::object &object)
{
    const json::value *id = object.if_contains("submission_id");
    return id != nullptr && id->is_string() ? json::value_to<std::string>(*id) : std::string();
}

patch_request parseSubmission(const std::string &body, const operator_identity &who)
{
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    if (error || !document.is_object()) {
        throw bad_request("expected a JSON object with base_version, patch and reason");
    }
    const json::object &object = document.as_object();
    const json::value &reason = requiredField(object, "reason", json::kind::string, "a text that says why");
    const json::value &patch = requiredField(object, "patch", json::kind::object, "a JSON merge patch, which is an object");
    return {.submissionId = submissionIdOf(object),
            .author = who.id,
            .baseVersion = baseVersionOf(object),
            .mergePatch = json::serialize(patch),
            .reason = json::value_to<std::string>(reason)};
}

/// A refusal with what the operator needs in order to try again.
http_response patchRefusal(unsigned status, std::string_view code, const patch_result &result)
{
    http_response response = errorAnswer(status, code, result.message);
    json::object body = json::parse(response.body).as_object();
    for (const json::key_value_pair &field : patchResultJson(result)) {
        body[field.key()] = field.value();
    }
    response.body = json::serialize(body);
    return response;
}

http_response patchResponse(const patch_result &result)
{
    switch (result.outcome) {
    case patch_outcome::Accepted:
        return jsonAnswer(200, patchResultJson(result));
    case patch_outcome::Conflict:
        return patchRefusal(409, "version_conflict", result);
    case patch_outcome::Invalid:
        return patchRefusal(400, "invalid_patch", result);
    case patch_outcome::Unavailable:
        return patchRefusal(503, "store_unavailable", result);
    case patch_outcome::OutcomeUnknown:
        return patchRefusal(504, "outcome_unknown", result);
    }
    return errorAnswer(500, "internal_error", "unknown outcome");
}

http_response cancelResponse(job_cancel_result result)
{
    switch (result) {
    case job_cancel_result::Cancelled:
        return jsonAnswer(200, json::object{{"cancelled", true}});
    case job_cancel_result::NotFound:
        return errorAnswer(404, "job_not_found", "There is no such job.");
    case job_cancel_result::AlreadyEnded:
        return errorAnswer(409, "job_ended", "The job has ended already.");
    case job_cancel_result::StoreUnavailable:
        return errorAnswer(503, "store_unavailable", "The cancellation could not be recorded; the job goes on.");
    }
    return errorAnswer(500, "internal_error", "unknown result");
}

template<typename Value, typename Function>
http_response foundOrNot(const std::optional<Value> &value, Function toObject, std::string_view code, std::string_view message)
{
    return value ? jsonAnswer(200, toObject(*value)) : errorAnswer(404, code, message);
}

/// The error of a layer below as an answer; null if the error has no answer of its own.
std::optional<http_response> answerFor(const std::exception &error)
{
    if (dynamic_cast<const bad_request *>(&error) != nullptr) {
        return errorAnswer(400, "invalid_request", error.what());
    }
    if (dynamic_cast<const std::bad_function_call *>(&error) != nullptr) {
        return errorAnswer(501, "not_available", "This node does not offer that call.");
    }
    if (dynamic_cast<const platform_unavailable *>(&error) != nullptr || dynamic_cast<const store_unavailable *>(&error) != nullptr) {
        return errorAnswer(503, "store_unavailable", "The platform's store does not answer; nothing was changed.");
    }
    if (dynamic_cast<const platform_outcome_unknown *>(&error) != nullptr
        || dynamic_cast<const record_outcome_unknown *>(&error) != nullptr) {
        return errorAnswer(504, "outcome_unknown", "The platform's store was asked and its answer was lost.");
    }
    return std::nullopt;
}

configuration configurationOrEmpty(const operator_api_hooks &hooks)
{
    const std::shared_ptr<const configuration> current = hooks.currentConfiguration ? hooks.currentConfiguration() : nullptr;
    return current ? *current : configuration{};
}

} // namespace

operator_api::operator_api(operator_api_options options)
    : m_options(std::move(options))
{
}

void operator_api::addRoutes(http_server &server)
{
    const std::string base = "/operator/v1";
    const auto viewer = operator_role::Viewer;
    const auto editor = operator_role::Editor;
    addRoute(server, "GET", base + "/configuration", viewer, &operator_api::showConfiguration);
    addRoute(server, "POST", base + "/configuration/patches", editor, &operator_api::patchConfiguration);
    addRoute(server, "GET", base + "/audit", viewer, &operator_api::showAudit);
    addRoute(server, "GET", base + "/services", viewer, &operator_api::showServices);
    addRoute(server, "GET", base + "/upstreams", viewer, &operator_api::showUpstreams);
    addRoute(server, "GET", base + "/jobs", viewer, &operator_api::listJobs);
    addRoute(server, "GET", base + "/jobs/{}", viewer, &operator_api::showJob);
    addRoute(server, "POST", base + "/jobs/{}/cancel", editor, &operator_api::cancelJob);
    addRoute(server, "GET", base + "/status", viewer, &operator_api::showStatus);
    addRoute(server, "POST", base + "/drain", editor, &operator_api::drain);
    addRoute(server, "GET", base + "/explain/{}", viewer, &operator_api::explain);
}

void operator_api::addRoute(http_server &server, const std::string &method, const std::string &pattern, operator_role role, handler handle)
{
    server.route(method, pattern, [this, role, handle](http_exchange &exchange) {
        return admit(exchange, role, handle);
    });
}

task<> operator_api::admit(http_exchange &exchange, operator_role role, handler handle)
{
    const std::optional<operator_identity> who = identify(exchange);
    if (!who) {
        co_await exchange.respond(errorAnswer(401, "invalid_api_key", "The operator's key is missing or wrong."));
        co_return;
    }
    if (role == operator_role::Editor && who->role != operator_role::Editor) {
        co_await exchange.respond(errorAnswer(403, "editor_required", "The operator " + who->id.text() + " may only read."));
        co_return;
    }
    co_await guard(exchange, *who, handle);
}

task<> operator_api::guard(http_exchange &exchange, operator_identity who, handler handle)
{
    std::optional<http_response> failure;
    try {
        co_await (this->*handle)(exchange, who);
    } catch (const std::exception &error) {
        failure = answerFor(error);
        if (!failure) {
            throw;
        }
        logEvent(log_level::Warning,
                 "operator_call_failed",
                 {{"request_id", exchange.requestId()}, {"path", exchange.path()}, {"error", error.what()}});
    }
    if (failure) {
        co_await exchange.respond(std::move(*failure));
    }
}

std::optional<operator_identity> operator_api::identify(const http_exchange &exchange) const
{
    const std::string field = exchange.field("Authorization");
    if (!field.starts_with(bearer)) {
        return std::nullopt;
    }
    return identifyOperator(field.substr(bearer.size()), configurationOrEmpty(m_options.hooks), m_options.bootstrapKeyHash);
}

task<> operator_api::showConfiguration(http_exchange &exchange, const operator_identity & /*who*/)
{
    co_await exchange.respond(jsonAnswer(200, configurationJson(configurationOrEmpty(m_options.hooks))));
}

task<> operator_api::patchConfiguration(http_exchange &exchange, const operator_identity &who)
{
    const std::string body = co_await exchange.body(maximumPatch);
    patch_request request = parseSubmission(body, who);
    const patch_result result = co_await m_options.hooks.submitPatch(std::move(request));
    co_await exchange.respond(patchResponse(result));
}

task<> operator_api::showAudit(http_exchange &exchange, const operator_identity & /*who*/)
{
    const std::vector<audit_record> records = co_await m_options.hooks.readAudit(auditFilter(exchange));
    co_await exchange.respond(jsonAnswer(200, auditJson(records)));
}

task<> operator_api::showServices(http_exchange &exchange, const operator_identity & /*who*/)
{
    co_await exchange.respond(jsonAnswer(200, servicesJson(configurationOrEmpty(m_options.hooks))));
}

task<> operator_api::showUpstreams(http_exchange &exchange, const operator_identity & /*who*/)
{
    co_await exchange.respond(jsonAnswer(200, upstreamsJson(m_options.hooks.upstreams())));
}

task<> operator_api::listJobs(http_exchange &exchange, const operator_identity & /*who*/)
{
    std::optional<caller_id> caller;
    if (const std::optional<std::string> name = exchange.query("caller")) {
        caller = caller_id(*name);
    }
    const std::vector<job_summary> jobs = co_await m_options.hooks.listJobs(std::move(caller));
    co_await exchange.respond(jsonAnswer(200, jobsJson(jobs)));
}

task<> operator_api::showJob(http_exchange &exchange, const operator_identity & /*who*/)
{
    const std::optional<job_summary> job = co_await m_options.hooks.findJob(job_id(exchange.pathArguments().at(0)));
    co_await exchange.respond(foundOrNot(job, jobJson, "job_not_found", "There is no such job."));
}

task<> operator_api::cancelJob(http_exchange &exchange, const operator_identity &who)
{
    const job_cancel_result result = co_await m_options.hooks.cancelJob(job_id(exchange.pathArguments().at(0)), who.id);
    co_await exchange.respond(cancelResponse(result));
}

task<> operator_api::showStatus(http_exchange &exchange, const operator_identity & /*who*/)
{
    co_await exchange.respond(jsonAnswer(200, statusJson(m_options.hooks.status())));
}

task<> operator_api::drain(http_exchange &exchange, const operator_identity &who)
{
    co_await m_options.hooks.drain(who.id);
    co_await exchange.respond(jsonAnswer(202, json::object()));
}

task<> operator_api::explain(http_exchange &exchange, const operator_identity & /*who*/)
{
    const request_id id(exchange.pathArguments().at(0));
    const std::optional<request_explanation> explanation = co_await m_options.hooks.explain(id);
    co_await exchange.respond(
        foundOrNot(explanation, explanationJson, "request_not_found", "This node knows nothing of that request, or no longer."));
}

} // namespace banyan
