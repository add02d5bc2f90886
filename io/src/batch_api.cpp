#include "banyan/io/batch_api.h"

#include "banyan/core/multipart_parser.h"
#include "banyan/io/error_answers.h"
#include "banyan/io/file_service.h"
#include "banyan/io/http_server.h"
#include "banyan/io/job_service.h"
#include "banyan/io/openai_error.h"
#include "banyan/io/request_refused.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <exception>
#include <optional>
#include <utility>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::size_t maximumJobBody = std::size_t(64) << 10;
constexpr std::size_t defaultPage = 20;
constexpr std::size_t maximumPage = 100;
constexpr std::size_t maximumFormField = 4096;

std::int64_t secondsOf(time_point time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

json::value secondsOrNull(const std::optional<time_point> &time)
{
    return time ? json::value(secondsOf(*time)) : json::value(nullptr);
}

http_response jsonAnswer(const json::value &body)
{
    http_response response;
    response.fields.push_back({.name = "Content-Type", .value = "application/json"});
    response.body = json::serialize(body);
    return response;
}

json::object toObject(const file_summary &file)
{
    json::object object;
    object["id"] = file.id.text();
    object["object"] = "file";
    object["bytes"] = file.bytes;
    object["created_at"] = secondsOf(file.createdAt);
    object["expires_at"] = secondsOf(file.expiresAt);
    object["filename"] = file.fileName;
    object["purpose"] = file.purpose;
    object["status"] = "processed";
    return object;
}

file_summary summaryOf(const file_record &file)
{
    return {.id = file.id,
            .fileName = file.fileName,
            .purpose = file.purpose,
            .bytes = file.bytes(),
            .createdAt = file.createdAt,
            .expiresAt = file.expiresAt};
}

void setEndTimes(json::object &object, const job_record &job)
{
    const auto endedAs = [&job](job_state state) {
        return job.status == state ? secondsOrNull(job.endedAt) : json::value(nullptr);
    };
    object["completed_at"] = endedAs(job_state::Completed);
    object["failed_at"] = endedAs(job_state::Failed);
    object["expired_at"] = endedAs(job_state::Expired);
    object["cancelled_at"] = endedAs(job_state::Cancelled);
    object["finalizing_at"] = endedAs(job_state::Completed);
    object["cancelling_at"] = secondsOrNull(job.cancellingAt);
}

json::object toObject(const job_record &job)
{
    json::object object;
    object["id"] = job.id.text();
    object["object"] = "batch";
    object["endpoint"] = job.endpoint;
    object["errors"] = nullptr;
    object["input_file_id"] = job.inputFile.text();
    object["completion_window"] = job.completionWindow;
    object["status"] = toString(job.status);
    object["output_file_id"] = job.outputBytes() > 0 ? json::value(outputFileId(job.id).text()) : json::value(nullptr);
    object["error_file_id"] = job.errorBytes() > 0 ? json::value(errorFileId(job.id).text()) : json::value(nullptr);
    object["created_at"] = secondsOf(job.createdAt);
    object["in_progress_at"] = secondsOrNull(job.startedAt);
    object["expires_at"] = secondsOf(job.deadline);
    setEndTimes(object, job);
    object["request_counts"] = json::object{{"total", job.total()}, {"completed", job.completed}, {"failed", job.failed}};
    object["metadata"] = job.metadata.empty() ? json::value(nullptr) : json::parse(job.metadata);
    return object;
}

json::object toList(json::array data, bool more)
{
    json::object object;
    object["object"] = "list";
    object["first_id"] = data.empty() ? json::value(nullptr) : data.front().at("id");
    object["last_id"] = data.empty() ? json::value(nullptr) : data.back().at("id");
    object["has_more"] = more;
    object["data"] = std::move(data);
    return object;
}

std::size_t pageLimit(const http_exchange &exchange)
{
    const std::optional<std::string> text = exchange.query("limit");
    if (!text) {
        return defaultPage;
    }
    std::size_t limit = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), limit);
    if (error != std::errc() || end != text->data() + text->size() || limit == 0) {
        throw openai_error("Expected a positive number as the limit, found \"" + *text + "\".", {.param = "limit"});
    }
    return std::min(limit, maximumPage);
}

void requireNewestFirst(const http_exchange &exchange)
{
    if (exchange.query("order").value_or("desc") != "desc") {
        throw openai_error("Lists are sorted newest first; expected the order \"desc\".", {.param = "order"});
    }
}

std::string requiredText(const json::object &object, const char *name)
{
    const json::value *found = object.if_contains(name);
    if (found == nullptr || !found->is_string()) {
        throw openai_error(std::string("Expected a text as \"") + name + "\".", {.param = name});
    }
    return std::string(found->as_string());
}

job_request parseJobRequest(const std::string &body)
{
    json::error_code error;
    const json::value parsed = json::parse(body, error);
    const json::object *object = parsed.if_object();
    if (error || object == nullptr) {
        throw openai_error("Expected a JSON object as the body.", {.code = "invalid_json"});
    }
    job_request request{.inputFile = file_id(requiredText(*object, "input_file_id")),
                        .endpoint = requiredText(*object, "endpoint"),
                        .completionWindow = requiredText(*object, "completion_window")};
    const json::value *metadata = object->if_contains("metadata");
    if (metadata != nullptr && !metadata->is_null()) {
        if (!metadata->is_object()) {
            throw openai_error("Expected an object as \"metadata\".", {.param = "metadata"});
        }
        request.metadata = json::serialize(*metadata);
    }
    return request;
}

/// The fields of an upload's form, as far as they are read.
struct upload_form
{
    std::string field; ///< The current one.
    bool hasFile = false;
    std::string fileName;
    std::string purpose;
};

/// Takes in what is not the file's content.
void readField(upload_form &form, const multipart_event &event)
{
    if (event.head) {
        form.field = event.text;
        if (form.field == "file") {
            if (form.hasFile) {
                throw openai_error("Expected one file.", {.param = "file"});
            }
            form.hasFile = true;
            form.fileName = event.fileName.value_or("file");
        }
    } else if (form.field == "purpose") {
        form.purpose += event.text;
        if (form.purpose.size() > maximumFormField) {
            throw openai_error("Expected a shorter purpose.", {.param = "purpose"});
        }
    }
}

task<file_record> receiveFile(http_exchange &exchange, file_service::upload &upload)
{
    multipart_parser parser(exchange.field("Content-Type"));
    upload_form form;
    for (;;) {
        std::string piece = co_await exchange.bodyPiece();
        if (piece.empty()) {
            break;
        }
        std::vector<multipart_event> events = parser.add(piece);
        for (multipart_event &event : events) {
            if (!event.head && form.field == "file") {
                co_await upload.write(std::move(event.text));
            } else {
                readField(form, event);
            }
        }
    }
    if (!parser.complete() || !form.hasFile) {
        throw openai_error("Expected a whole form with a \"file\" and a \"purpose\".", {.param = "file"});
    }
    co_return co_await upload.commit(std::move(form.fileName), std::move(form.purpose));
}

/// The handlers; one object lives as long as the routes.
class batch_routes
{
public:
    batch_routes(file_service &files, job_service &jobs, caller_identification identify)
        : m_files(files)
        , m_jobs(jobs)
        , m_identify(std::move(identify))
    {
    }

    task<> createFile(http_exchange &exchange)
    {
        const caller_id caller = m_identify(exchange);
        try {
            (void)multipart_parser(exchange.field("Content-Type"));
        } catch (const multipart_error &error) {
            throw openai_error(error.what(), {});
        }
        file_service::upload upload = co_await m_files.beginUpload(caller);
        std::optional<file_record> record;
        std::exception_ptr failure;
        try {
            record = co_await receiveFile(exchange, upload);
        } catch (const multipart_error &error) {
            failure = std::make_exception_ptr(openai_error(error.what(), {}));
        } catch (...) {
            failure = std::current_exception();
        }
        if (failure) {
            co_await upload.abort();
            std::rethrow_exception(failure);
        }
        co_await exchange.respond(jsonAnswer(toObject(summaryOf(*record))));
    }

    task<> listFiles(http_exchange &exchange)
    {
        const caller_id caller = m_identify(exchange);
        requireNewestFirst(exchange);
        const std::size_t limit = pageLimit(exchange);
        const file_page page = co_await m_files.list(caller, file_id(exchange.query("after").value_or("")), limit);
        json::array data;
        for (const file_summary &file : page.files) {
            data.push_back(toObject(file));
        }
        co_await exchange.respond(jsonAnswer(toList(std::move(data), page.more)));
    }

    task<> showFile(http_exchange &exchange)
    {
        const caller_id caller = m_identify(exchange);
        const file_summary file = co_await m_files.show(caller, file_id(exchange.pathArguments().front()));
        co_await exchange.respond(jsonAnswer(toObject(file)));
    }

    task<> readFile(http_exchange &exchange)
    {
        const caller_id caller = m_identify(exchange);
        const file_id file(exchange.pathArguments().front());
        // What cannot be found is answered as an error; after the head it can only break the answer off.
        const file_summary summary = co_await m_files.show(caller, file);
        std::vector<http_field> fields{{.name = "Content-Type", .value = "application/octet-stream"}};
        co_await exchange.begin(200, std::move(fields));
        content_sink sink = [&exchange](std::string piece) -> task<> {
            co_await exchange.write(piece);
        };
        co_await m_files.read(caller, summary.id, sink);
        co_await exchange.finish();
    }

    task<> removeFile(http_exchange &exchange)
    {
        const caller_id caller = m_identify(exchange);
        const file_id file(exchange.pathArguments().front());
        co_await m_files.remove(caller, file);
        const json::object answer{{"id", file.text()}, {"object", "file"}, {"deleted", true}};
        co_await exchange.respond(jsonAnswer(answer));
    }

    task<> createJob(http_exchange &exchange)
    {
        const caller_id caller = m_identify(exchange);
        const std::string body = co_await exchange.body(maximumJobBody);
        job_request request = parseJobRequest(body);
        request.idempotencyKey = exchange.field("Idempotency-Key");
        const job_record job = co_await m_jobs.create(caller, std::move(request));
        co_await exchange.respond(jsonAnswer(toObject(job)));
    }

    task<> listJobs(http_exchange &exchange)
    {
        const caller_id caller = m_identify(exchange);
        const std::size_t limit = pageLimit(exchange);
        const job_page page = co_await m_jobs.list(caller, job_id(exchange.query("after").value_or("")), limit);
        json::array data;
        for (const job_record &job : page.jobs) {
            data.push_back(toObject(job));
        }
        co_await exchange.respond(jsonAnswer(toList(std::move(data), page.more)));
    }

    task<> showJob(http_exchange &exchange)
    {
        const caller_id caller = m_identify(exchange);
        const job_record job = co_await m_jobs.show(caller, job_id(exchange.pathArguments().front()));
        co_await exchange.respond(jsonAnswer(toObject(job)));
    }

    task<> cancelJob(http_exchange &exchange)
    {
        const caller_id caller = m_identify(exchange);
        const job_record job = co_await m_jobs.cancel(caller, job_id(exchange.pathArguments().front()));
        co_await exchange.respond(jsonAnswer(toObject(job)));
    }

private:
    file_service &m_files;
    job_service &m_jobs;
    caller_identification m_identify;
};

using batch_handler = task<> (batch_routes::*)(http_exchange &);

/// Calls a handler and answers its openai_error, or the refusal of the caller's key.
task<> answer(std::shared_ptr<batch_routes> routes, batch_handler handler, http_exchange &exchange)
{
    std::optional<http_response> refusal;
    try {
        co_await ((*routes).*handler)(exchange);
    } catch (const openai_error &error) {
        refusal = error.toResponse();
    } catch (const request_refused &error) {
        refusal = errorAnswer(error);
    }
    if (refusal) {
        co_await exchange.respond(*std::move(refusal));
    }
}

} // namespace

void addBatchRoutes(http_server &server, file_service &files, job_service &jobs, caller_identification identify)
{
    const auto routes = std::make_shared<batch_routes>(files, jobs, std::move(identify));
    const auto add = [&](const std::string &method, const std::string &pattern, batch_handler handler) {
        server.route(method, pattern, [routes, handler](http_exchange &exchange) {
            return answer(routes, handler, exchange);
        });
    };
    add("POST", "/v1/files", &batch_routes::createFile);
    add("GET", "/v1/files", &batch_routes::listFiles);
    add("GET", "/v1/files/{}", &batch_routes::showFile);
    add("DELETE", "/v1/files/{}", &batch_routes::removeFile);
    add("GET", "/v1/files/{}/content", &batch_routes::readFile);
    add("POST", "/v1/batches", &batch_routes::createJob);
    add("GET", "/v1/batches", &batch_routes::listJobs);
    add("GET", "/v1/batches/{}", &batch_routes::showJob);
    add("POST", "/v1/batches/{}/cancel", &batch_routes::cancelJob);
}

} // namespace banyan
