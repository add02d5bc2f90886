#include "banyan/io/caller_api.h"

#include "banyan/core/sha256.h"
#include "banyan/io/clock.h"
#include "banyan/io/error_answers.h"
#include "banyan/io/explain_log.h"
#include "banyan/io/http_server.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/record_service.h"
#include "banyan/io/request_refused.h"
#include "banyan/io/request_router.h"
#include "banyan/io/store_error.h"
#include "banyan/io/whole_answer.h"

#include <boost/beast/core/string.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t longestIdempotencyKey = 255; // Characters.
constexpr std::int64_t longestDeadlineMs = std::int64_t(24) * 3600 * 1000;
constexpr duration notReadyRetryAfter = std::chrono::seconds(1);
constexpr duration drainingRetryAfter = std::chrono::seconds(1);
constexpr duration settlingTime = std::chrono::seconds(5); // For a record's commit beyond which its outcome is reported as unknown.

/// Fields of an upstream's answer that describe its connection, not its content.
bool isHopByHop(const std::string &name)
{
    for (const char *hop :
         {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "X-Request-Id", "Date", "Server"}) {
        if (boost::beast::iequals(name, hop)) {
            return true;
        }
    }
    return false;
}

std::vector<http_field> answerFields(const std::vector<http_field> &fromUpstream)
{
    std::vector<http_field> result;
    std::copy_if(fromUpstream.begin(), fromUpstream.end(), std::back_inserter(result), [](const http_field &field) {
        return !isHopByHop(field.name);
    });
    result.push_back({.name = "X-Banyan-Run", .value = std::string(toString(run_claim::Ran))});
    return result;
}

http_response jsonAnswer(const json::value &body)
{
    return {.status = 200, .fields = {{"Content-Type", "application/json"}}, .body = json::serialize(body)};
}

std::optional<bool> readRepeatable(const http_exchange &exchange)
{
    const std::string text = exchange.field("X-Banyan-Repeatable");
    if (text.empty()) {
        return std::nullopt;
    }
    if (text != "true" && text != "false") {
        throw request_refused(400, "invalid_header", "X-Banyan-Repeatable: expected true or false, found \"" + text + "\"");
    }
    return text == "true";
}

std::optional<work_class> readUrgency(const http_exchange &exchange)
{
    const std::string text = exchange.field("X-Banyan-Urgency");
    if (text.empty()) {
        return std::nullopt;
    }
    if (text != "batch") {
        throw request_refused(400, "invalid_header", "X-Banyan-Urgency: expected batch, found \"" + text + "\"");
    }
    return work_class::Batch;
}

std::optional<duration> readDeadline(const http_exchange &exchange)
{
    const std::string text = exchange.field("X-Banyan-Deadline-Ms");
    if (text.empty()) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    const char *const end = text.data() + text.size();
    if (std::from_chars(text.data(), end, milliseconds).ptr != end || milliseconds <= 0 || milliseconds > longestDeadlineMs) {
        throw request_refused(400, "invalid_header", "X-Banyan-Deadline-Ms: expected milliseconds up to a day, found \"" + text + "\"");
    }
    return std::chrono::milliseconds(milliseconds);
}

std::string readIdempotencyKey(const http_exchange &exchange)
{
    std::string key = exchange.field("Idempotency-Key");
    if (key.size() > longestIdempotencyKey) {
        throw request_refused(400, "invalid_header", "Idempotency-Key: expected at most 255 characters");
    }
    return key;
}

json::object modelJson(const std::string &model, const service_settings &service)
{
    return {{"id", model}, {"object", "model"}, {"created", 0}, {"owned_by", service.name.text()}};
}

/// The models that a caller may use, each once.
std::map<std::string, json::object> modelsOf(const configuration &current, const caller_id &caller)
{
    std::map<std::string, json::object> models;
    for (const auto &[name, service] : current.services) {
        const bool admitted = std::any_of(service.access.begin(), service.access.end(), [&](const access_rule &rule) {
            return rule.caller == caller;
        });
        for (const std::string &model : service.models) {
            if (admitted && service.kind == service_kind::Model) {
                models.emplace(model, modelJson(model, service));
            }
        }
    }
    return models;
}

/// Passes an answer on to the caller: piece by piece, or collected to be sent whole.
class answer_relay
{
public:
    answer_relay(http_exchange &exchange, bool streamed, std::function<void()> onFirstByte)
        : m_exchange(exchange)
        , m_streamed(streamed)
        , m_onFirstByte(std::move(onFirstByte))
    {
    }

    [[nodiscard]] answer_sink sink()
    {
        return m_streamed ? streamingSink() : collectingSink();
    }

    /// Ends the answer of a request that has ended with @p result.
    [[nodiscard]] task<> finish(final_result result)
    {
        if (result.what == disposition::Completed) {
            if (m_begun) {
                co_await m_exchange.finish();
                co_return;
            }
            http_response whole = m_collected.take();
            whole.framing = isProvenWhole(whole) ? answer_framing::Length : answer_framing::ConnectionEnd;
            whole.fields = answerFields(whole.fields);
            co_await m_exchange.respond(std::move(whole));
            co_return;
        }
        http_response error = errorAnswer(result);
        if (!m_begun) {
            co_await m_exchange.respond(std::move(error));
            co_return;
        }
        // The head has left: the error goes into the stream, and the connection is cut so that it cannot pass for an end.
        const std::string event = "data: " + error.body + "\n\n";
        co_await m_exchange.write(event);
        throw std::runtime_error("the upstream's answer was cut");
    }

private:
    [[nodiscard]] answer_sink streamingSink()
    {
        answer_sink result;
        result.head = [this](unsigned status, std::vector<http_field> fields) -> task<> {
            m_onFirstByte();
            m_begun = true;
            co_await m_exchange.begin(status, answerFields(fields), framingOf(status, fields));
        };
        result.piece = [this](std::string piece) -> task<> {
            co_await m_exchange.write(piece);
        };
        return result;
    }

    [[nodiscard]] answer_sink collectingSink()
    {
        answer_sink result = m_collected.sink();
        result.head = [this, collect = result.head](unsigned status, std::vector<http_field> fields) {
            m_onFirstByte();
            return collect(status, std::move(fields));
        };
        return result;
    }

    http_exchange &m_exchange;
    bool m_streamed;
    bool m_begun = false;
    std::function<void()> m_onFirstByte;
    whole_answer m_collected;
};

} // namespace

caller_api::caller_api(const caller_api_options &options)
    : m_options(options)
{
}

void caller_api::addRoutes(http_server &server)
{
    addRoute(server, "GET", "/v1/models", &caller_api::listModels);
    addRoute(server, "GET", "/v1/models/{*}", &caller_api::showModel);
    addRoute(server, "POST", "/v1/chat/completions", &caller_api::runRequest);
    addRoute(server, "GET", "/v1/results/{}", &caller_api::readResult);
    for (const char *method : {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}) {
        addRoute(server, method, "/v1/services/{}/{*}", &caller_api::runRequest);
        addRoute(server, method, "/v1/services/{}", &caller_api::runRequest);
    }
}

void caller_api::addRoute(http_server &server, const std::string &method, const std::string &pattern, handler handle)
{
    server.route(method, pattern, [this, handle](http_exchange &exchange) {
        return guard(exchange, handle);
    });
}

task<> caller_api::guard(http_exchange &exchange, handler handle)
{
    std::optional<http_response> refusal;
    try {
        co_await (this->*handle)(exchange);
    } catch (const request_refused &error) {
        refusal = errorAnswer(error);
    } catch (const platform_unavailable &) {
        refusal = errorAnswer(503, "store_unavailable", "The store cannot be read now.", run_claim::Unknown, notReadyRetryAfter);
    }
    if (refusal) {
        m_options.metrics.count("request_refused");
        logEvent(log_level::Info,
                 "request_refused",
                 {{"request_id", exchange.requestId()}, {"path", exchange.path()}, {"status", std::to_string(refusal->status)}});
        co_await exchange.respond(std::move(*refusal));
    }
}

std::shared_ptr<const configuration> caller_api::requireConfiguration() const
{
    std::shared_ptr<const configuration> current = m_options.currentConfiguration();
    if (!current) {
        throw request_refused(503, "not_ready", "This node has no configuration yet.", notReadyRetryAfter);
    }
    return current;
}

void caller_api::refreshDirectory()
{
    const std::shared_ptr<const configuration> current = requireConfiguration();
    if (current != m_directorySource) {
        m_directorySource = current;
        m_directory.emplace(*current);
        m_limits.prune(*current);
    }
}

caller_id caller_api::identify(const http_exchange &exchange)
{
    refreshDirectory();
    const std::string field = exchange.field("Authorization");
    std::optional<caller_id> caller;
    if (field.starts_with(bearer)) {
        caller = m_directory->find(std::string_view(field).substr(bearer.size()));
    }
    if (!caller) {
        throw request_refused(401, "invalid_api_key", "Expected \"Authorization: Bearer KEY\" with a caller's key.");
    }
    return *caller;
}

task<> caller_api::listModels(http_exchange &exchange)
{
    const caller_id caller = identify(exchange);
    json::array data;
    for (auto &[name, model] : modelsOf(*m_directorySource, caller)) {
        data.push_back(std::move(model));
    }
    json::object body;
    body["object"] = "list";
    body["data"] = std::move(data);
    co_await exchange.respond(jsonAnswer(body));
}

task<> caller_api::showModel(http_exchange &exchange)
{
    const caller_id caller = identify(exchange);
    const std::map<std::string, json::object> models = modelsOf(*m_directorySource, caller);
    const auto found = models.find(exchange.pathArguments().front());
    if (found == models.end()) {
        throw request_refused(404, "model_not_found", "The model does not exist or you have no access to it.");
    }
    co_await exchange.respond(jsonAnswer(found->second));
}

task<caller_request> caller_api::readRequest(http_exchange &exchange, caller_id caller)
{
    caller_request request{.id = request_id(exchange.requestId()), .caller = std::move(caller), .method = exchange.method()};
    request.target = exchange.target();
    request.workClass = readUrgency(exchange);
    request.repeatable = readRepeatable(exchange);
    request.timeLeft = readDeadline(exchange);
    const std::string contentType = exchange.field("Content-Type");
    request.contentType = contentType.empty() ? request.contentType : contentType;
    const std::string idempotencyKey = readIdempotencyKey(exchange);
    if (!idempotencyKey.empty()) {
        request.extraFields.push_back({.name = "Idempotency-Key", .value = idempotencyKey});
    }
    const std::string accept = exchange.field("Accept");
    if (!accept.empty()) {
        request.extraFields.push_back({.name = "Accept", .value = accept});
    }
    request.body = co_await exchange.body(m_options.maximumBody);
    co_return request;
}

void caller_api::admit(const configuration &current, const resolved_request &resolved, time_point now)
{
    const auto caller = current.callers.find(resolved.run.dispatch.caller);
    if (caller == current.callers.end()) {
        throw request_refused(401, "invalid_api_key", "The caller has been removed.");
    }
    if (const std::optional<duration> wait = m_limits.admit(caller->second, resolved.service, now)) {
        throw request_refused(429, "rate_limited", "The caller's or the service's request rate is used up.", wait);
    }
}

task<> caller_api::runRequest(http_exchange &exchange)
{
    const caller_id caller = identify(exchange);
    if (m_options.draining()) {
        throw request_refused(503, "draining", "This node is stopping.", drainingRetryAfter);
    }
    const std::shared_ptr<const configuration> current = m_directorySource;
    const caller_request request = co_await readRequest(exchange, caller);
    const time_point now = currentTime();
    resolved_request resolved = resolveRequest(*current, request, now);
    admit(*current, resolved, now);
    if (resolved.recorded) {
        co_await runRecorded(exchange, std::move(resolved), request);
    } else {
        co_await runDirect(exchange, std::move(resolved));
    }
}

task<> caller_api::runDirect(http_exchange &exchange, resolved_request resolved)
{
    const time_point startedAt = currentTime();
    const auto cancellation = std::make_shared<run_cancellation>();
    exchange.onDisconnect([cancellation] {
        cancellation->cancel();
    });
    const dispatch_request &dispatch = resolved.run.dispatch;
    answer_relay relay(exchange, resolved.streamed, [&] {
        m_options.metrics.firstByte(dispatch.service.text(), dispatch.workClass, currentTime() - startedAt);
    });
    run_outcome outcome = co_await m_options.router.run(resolved.run, relay.sink(), cancellation);
    account(resolved, exchange.requestId(), startedAt, outcome.result, std::move(outcome.trace));
    co_await relay.finish(outcome.result);
}

task<std::optional<accept_outcome>> caller_api::acceptOrRefuse(http_exchange &exchange, record_request wish, time_point until)
{
    accept_outcome accepted;
    std::optional<http_response> failure;
    try {
        accepted = co_await m_options.records.accept(std::move(wish), until);
    } catch (const store_unavailable &error) {
        failure = errorAnswer(503,
                              "store_unavailable",
                              "This sending was not recorded and will not run. An earlier one under the same key may have.",
                              run_claim::NotRun,
                              error.retryAfter());
    } catch (const record_outcome_unknown &) {
        failure = errorAnswer(504,
                              "record_outcome_unknown",
                              "Whether the request was recorded is not known yet. Send it again with the same Idempotency-Key.",
                              run_claim::Unknown,
                              notReadyRetryAfter);
    }
    if (failure) {
        m_options.metrics.count("record_refused");
        co_await exchange.respond(std::move(*failure));
        co_return std::nullopt;
    }
    co_return accepted;
}

task<> caller_api::runRecorded(http_exchange &exchange, resolved_request resolved, const caller_request &request)
{
    const time_point startedAt = currentTime();
    const time_point deadline = resolved.run.dispatch.deadline;
    const std::string givenKey = exchange.field("Idempotency-Key");
    record_request wish{
        .caller = request.caller, .idempotencyKey = givenKey.empty() ? exchange.requestId() : givenKey, .request = resolved.run};
    wish.contentHash = sha256Hex(resolved.service.name.text() + "\n" + request.method + "\n" + request.target + "\n" + request.body);
    const std::optional<accept_outcome> outcome =
        co_await acceptOrRefuse(exchange, std::move(wish), std::min(deadline, startedAt + settlingTime));
    if (!outcome) {
        co_return;
    }
    accept_outcome accepted = *outcome;
    if (accepted.status == accept_status::Conflict) {
        throw request_refused(422, "idempotency_key_reused", "The Idempotency-Key stands for a request with other content.");
    }
    const bool replayed = accepted.status == accept_status::Existing;
    stored_record record = std::move(accepted.record);
    if (!boost::beast::iequals(exchange.field("Prefer"), "respond-async")) {
        record = co_await m_options.records.wait(std::move(record), deadline);
    }
    const final_result result = record.answer ? record.answer->result : final_result{.what = disposition::OutcomeUnknown};
    account(resolved, exchange.requestId(), startedAt, result, "step=recorded state=" + std::string(toString(record.state)));
    co_await answerRecord(exchange, std::move(record), replayed);
}

task<> caller_api::answerRecord(http_exchange &exchange, stored_record record, bool replayed)
{
    const std::string location = "/v1/results/" + record.idempotencyKey;
    http_response response;
    if (!isFinal(record.state) || !record.answer) {
        json::object body;
        body["id"] = record.idempotencyKey;
        body["state"] = toString(record.state);
        body["result"] = location;
        response = jsonAnswer(body);
        response.status = 202;
        response.fields.push_back({.name = "X-Banyan-Run", .value = std::string(toString(run_claim::Unknown))});
    } else if (record.answer->result.what == disposition::Completed) {
        response = record.answer->response;
        response.fields = answerFields(response.fields);
    } else {
        response = errorAnswer(record.answer->result);
    }
    response.fields.push_back({.name = "Location", .value = location});
    response.fields.push_back({.name = "X-Banyan-State", .value = std::string(toString(record.state))});
    if (replayed) {
        response.fields.push_back({.name = "X-Banyan-Replayed", .value = "true"});
    }
    co_await exchange.respond(std::move(response));
}

task<> caller_api::readResult(http_exchange &exchange)
{
    const caller_id caller = identify(exchange);
    const std::string key = exchange.pathArguments().front();
    std::optional<stored_record> record = co_await m_options.records.find(caller, key);
    if (!record) {
        throw request_refused(404, "result_not_found", "There is no record under this key.");
    }
    co_await answerRecord(exchange, std::move(*record), true);
}

void caller_api::account(const resolved_request &resolved,
                         const std::string &requestId,
                         time_point startedAt,
                         const final_result &result,
                         std::string trace)
{
    const dispatch_request &dispatch = resolved.run.dispatch;
    const duration taken = currentTime() - startedAt;
    const std::string what(toString(result.what));
    m_options.metrics.requestEnded(dispatch.service.text(), dispatch.workClass, result, taken);
    logEvent(log_level::Info,
             "request_ended",
             {{"request_id", requestId},
              {"caller", dispatch.caller.text()},
              {"service", dispatch.service.text()},
              {"disposition", what},
              {"reason", std::string(toString(result.reason))},
              {"taken_us", std::to_string(taken.count())}});
    m_options.explanations.add(request_id(requestId), dispatch.caller, dispatch.service, startedAt, what, std::move(trace));
}

} // namespace banyan
