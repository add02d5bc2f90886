#include "operator_json.h"

#include "banyan/core/configuration_json.h"
#include "banyan/core/time_text.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

namespace banyan {

namespace json = boost::json;

namespace {

/// {"NAME": [...]} with each element turned to JSON.
template<typename Element, typename Function>
json::object listJson(std::string_view name, const std::vector<Element> &elements, Function toObject)
{
    json::array list;
    for (const Element &element : elements) {
        list.push_back(toObject(element));
    }
    json::object result;
    result[json::string_view(name.data(), name.size())] = std::move(list);
    return result;
}

json::object recordJson(const audit_record &record)
{
    json::object result = json::parse(toJson(record)).as_object();
    result["number"] = record.time.time_since_epoch().count();
    return result;
}

json::object missedPatchJson(const patch_record &record)
{
    return {{"version", record.version},
            {"operator", record.author.text()},
            {"time", toIsoText(record.time)},
            {"reason", record.reason},
            {"patch", json::parse(record.mergePatch)}};
}

json::object upstreamJson(const upstream_report &upstream)
{
    return {{"id", upstream.id.text()},
            {"pool", upstream.pool.text()},
            {"failure_domain", upstream.domain.text()},
            {"address", upstream.address.toString()},
            {"dispatcher", upstream.dispatcher.text()},
            {"leaving", upstream.leaving},
            {"ejected", upstream.ejected},
            {"limit", upstream.limit},
            {"first_byte_us", upstream.firstByte.count()},
            {"in_flight", upstream.inFlight}};
}

json::object stepJson(const explanation_step &step)
{
    return {{"time", toIsoText(step.time)},
            {"decision", step.decision},
            {"upstream", step.upstream ? json::value(step.upstream->text()) : json::value()},
            {"reason", step.reason}};
}

} // namespace

json::object configurationJson(const configuration &value)
{
    return {{"version", value.version}, {"configuration", json::parse(toJson(value))}};
}

json::object servicesJson(const configuration &value)
{
    json::array services;
    const json::value document = json::parse(toJson(value));
    for (const auto &[name, settings] : document.at("services").as_object()) {
        json::object service = {{"name", name}};
        for (const json::key_value_pair &field : settings.as_object()) {
            service[field.key()] = field.value();
        }
        services.push_back(std::move(service));
    }
    return {{"version", value.version}, {"services", std::move(services)}};
}

json::object auditJson(const std::vector<audit_record> &records)
{
    return listJson("records", records, recordJson);
}

json::object patchResultJson(const patch_result &result)
{
    if (result.outcome == patch_outcome::Accepted) {
        return {{"version", result.version}, {"submission_id", result.submissionId}};
    }
    json::object body = listJson("missed_patches", result.missedPatches, missedPatchJson);
    body["current_version"] = result.version;
    body["submission_id"] = result.submissionId;
    body["contested_fields"] = json::value_from(result.contestedFields);
    return body;
}

json::object upstreamsJson(const std::vector<upstream_report> &upstreams)
{
    return listJson("upstreams", upstreams, upstreamJson);
}

json::object jobJson(const job_summary &job)
{
    return {{"id", job.id.text()},
            {"caller", job.caller.text()},
            {"endpoint", job.endpoint},
            {"state", toString(job.status)},
            {"owner", job.owner},
            {"fencing_number", job.fencingNumber},
            {"items", job.total},
            {"completed", job.completed},
            {"failed", job.failed},
            {"created", toIsoText(job.createdAt)},
            {"deadline", toIsoText(job.deadline)}};
}

json::object jobsJson(const std::vector<job_summary> &jobs)
{
    return listJson("jobs", jobs, jobJson);
}

json::object statusJson(const node_status &status)
{
    return {{"vm", status.vm.text()},
            {"node", status.node.text()},
            {"failure_domain", status.domain.text()},
            {"version", status.version},
            {"ready", status.ready},
            {"draining", status.draining},
            {"platform_reachable", status.platformReachable},
            {"live_nodes", status.liveNodes},
            {"requests_in_progress", status.requestsInProgress}};
}

json::object explanationJson(const request_explanation &explanation)
{
    json::object result = listJson("steps", explanation.steps, stepJson);
    result["request_id"] = explanation.id.text();
    result["caller"] = explanation.caller.text();
    result["service"] = explanation.service.text();
    result["result"] = explanation.result;
    return result;
}

http_response jsonAnswer(unsigned status, const json::value &body)
{
    return {.status = status, .fields = {{"Content-Type", "application/json"}}, .body = json::serialize(body)};
}

http_response errorAnswer(unsigned status, std::string_view code, std::string_view message)
{
    constexpr unsigned firstServerError = 500;
    const char *const type = status >= firstServerError ? "server_error" : "invalid_request_error";
    const json::object error = {{"message", message}, {"type", type}, {"code", code}, {"param", nullptr}};
    return jsonAnswer(status, json::object{{"error", error}});
}

} // namespace banyan
