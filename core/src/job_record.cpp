#include "banyan/core/job_record.h"

#include "banyan/core/row_key.h"
#include "record_json.h"

#include <numeric>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::string_view jobIdPrefix = "batch_";
constexpr std::string_view resultFilePrefix = "file-";
constexpr std::string_view outputSuffix = "-output";
constexpr std::string_view errorsSuffix = "-errors";

void setTime(json::object &object, const char *name, const std::optional<time_point> &time)
{
    if (time) {
        object[name] = timeToRow(*time);
    }
}

json::array segmentsToJson(const std::vector<job_segment> &segments)
{
    json::array result;
    for (const job_segment &segment : segments) {
        result.push_back(json::array{segment.fencingNumber, segment.sequence, segment.outputBytes, segment.errorBytes});
    }
    return result;
}

std::vector<job_segment> segmentsFromJson(const json::array &values)
{
    std::vector<job_segment> segments;
    segments.reserve(values.size());
    for (const json::value &value : values) {
        const json::array &fields = value.as_array();
        segments.push_back({.fencingNumber = fields.at(0).to_number<std::uint64_t>(),
                            .sequence = fields.at(1).to_number<std::uint32_t>(),
                            .outputBytes = fields.at(2).to_number<std::uint32_t>(),
                            .errorBytes = fields.at(3).to_number<std::uint32_t>()});
    }
    return segments;
}

std::vector<std::uint32_t> countsFromJson(const json::array &values)
{
    std::vector<std::uint32_t> counts;
    counts.reserve(values.size());
    for (const json::value &value : values) {
        counts.push_back(value.to_number<std::uint32_t>());
    }
    return counts;
}

index_set indexesOf(const json::object &object, const char *name)
{
    auto parsed = index_set::parse(textOf(object, name));
    if (!parsed) {
        throw record_error(std::string("job row: expected ranges of items in \"") + name + "\"");
    }
    return *std::move(parsed);
}

job_state statusOf(const json::object &object)
{
    const auto status = parseJobState(textOf(object, "status"));
    if (!status) {
        throw record_error("job row: unknown status \"" + textOf(object, "status") + "\"");
    }
    return *status;
}

/// The job's id without jobIdPrefix.
std::string_view bareId(const job_id &job)
{
    std::string_view text = job.text();
    if (text.starts_with(jobIdPrefix)) {
        text.remove_prefix(jobIdPrefix.size());
    }
    return text;
}

std::string segmentName(const job_id &job, const job_segment &segment, std::string_view kind)
{
    return "results/" + keyPart(job.text()) + "/" + std::to_string(segment.fencingNumber) + "-" + std::to_string(segment.sequence)
           + std::string(kind);
}

std::optional<job_id> jobOfFile(std::string_view file, std::string_view suffix)
{
    if (!file.starts_with(resultFilePrefix) || !file.ends_with(suffix) || file.size() <= resultFilePrefix.size() + suffix.size()) {
        return std::nullopt;
    }
    file.remove_prefix(resultFilePrefix.size());
    file.remove_suffix(suffix.size());
    return job_id(std::string(jobIdPrefix) + std::string(file));
}

} // namespace

std::uint32_t job_record::total() const
{
    return std::accumulate(itemsPerPart.begin(), itemsPerPart.end(), std::uint32_t(0));
}

std::uint64_t job_record::outputBytes() const
{
    std::uint64_t sum = 0;
    for (const job_segment &segment : segments) {
        sum += segment.outputBytes;
    }
    return sum;
}

std::uint64_t job_record::errorBytes() const
{
    std::uint64_t sum = 0;
    for (const job_segment &segment : segments) {
        sum += segment.errorBytes;
    }
    return sum;
}

std::string job_record::toJson() const
{
    json::object object;
    object["id"] = id.text();
    object["caller"] = caller.text();
    object["input"] = inputFile.text();
    object["items_of_parts"] = json::value_from(itemsPerPart);
    object["endpoint"] = endpoint;
    object["window"] = completionWindow;
    object["metadata"] = metadata;
    object["create_key"] = createKey;
    object["created"] = timeToRow(createdAt);
    object["deadline"] = timeToRow(deadline);
    object["expires"] = timeToRow(expiresAt);
    object["status"] = toString(status);
    setTime(object, "started_at", startedAt);
    setTime(object, "cancelling_at", cancellingAt);
    setTime(object, "ended_at", endedAt);
    object["owner"] = owner;
    object["fencing"] = fencingNumber;
    object["done"] = done.toString();
    object["started"] = started.toString();
    object["completed"] = completed;
    object["failed"] = failed;
    object["segments"] = segmentsToJson(segments);
    return json::serialize(object);
}

job_record job_record::fromJson(std::string_view text)
{
    return readRecord(text, "job", [](const json::object &object) {
        return job_record{.id = job_id(textOf(object, "id")),
                          .caller = caller_id(textOf(object, "caller")),
                          .inputFile = file_id(textOf(object, "input")),
                          .itemsPerPart = countsFromJson(object.at("items_of_parts").as_array()),
                          .endpoint = textOf(object, "endpoint"),
                          .completionWindow = textOf(object, "window"),
                          .metadata = textOf(object, "metadata"),
                          .createKey = textOf(object, "create_key"),
                          .createdAt = timeFromRow(numberOf<std::int64_t>(object, "created")),
                          .deadline = timeFromRow(numberOf<std::int64_t>(object, "deadline")),
                          .expiresAt = timeFromRow(numberOf<std::int64_t>(object, "expires")),
                          .status = statusOf(object),
                          .startedAt = optionalTimeOf(object, "started_at"),
                          .cancellingAt = optionalTimeOf(object, "cancelling_at"),
                          .endedAt = optionalTimeOf(object, "ended_at"),
                          .owner = textOf(object, "owner"),
                          .fencingNumber = numberOf<std::uint64_t>(object, "fencing"),
                          .done = indexesOf(object, "done"),
                          .started = indexesOf(object, "started"),
                          .completed = numberOf<std::uint32_t>(object, "completed"),
                          .failed = numberOf<std::uint32_t>(object, "failed"),
                          .segments = segmentsFromJson(object.at("segments").as_array())};
    });
}

std::string jobKey(const job_id &job)
{
    return "job/" + keyPart(job.text());
}

std::string outputObjectName(const job_id &job, const job_segment &segment)
{
    return segmentName(job, segment, "-output");
}

std::string errorsObjectName(const job_id &job, const job_segment &segment)
{
    return segmentName(job, segment, "-errors");
}

std::string itemId(const job_id &job, std::uint32_t item)
{
    return "batch_req_" + std::string(bareId(job)) + "_" + std::to_string(item);
}

file_id outputFileId(const job_id &job)
{
    return file_id(std::string(resultFilePrefix) + std::string(bareId(job)) + std::string(outputSuffix));
}

file_id errorFileId(const job_id &job)
{
    return file_id(std::string(resultFilePrefix) + std::string(bareId(job)) + std::string(errorsSuffix));
}

std::optional<result_file> parseResultFile(const file_id &file)
{
    if (const auto job = jobOfFile(file.text(), outputSuffix)) {
        return result_file{.job = *job, .errors = false};
    }
    if (const auto job = jobOfFile(file.text(), errorsSuffix)) {
        return result_file{.job = *job, .errors = true};
    }
    return std::nullopt;
}

} // namespace banyan
