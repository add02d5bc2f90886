#include "banyan/io/error_answers.h"

#include "banyan/io/request_refused.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <cmath>

namespace banyan {

namespace {

constexpr unsigned firstServerErrorStatus = 500;

/// Retry-After counts whole seconds; less than one becomes one, so that nobody comes back at once.
std::string retryAfterText(duration value)
{
    return std::to_string(std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(value).count()));
}

unsigned statusOf(const final_result &result)
{
    switch (result.what) {
    case disposition::NotRun:
        if (result.reason == end_reason::RateLimited) {
            return 429;
        }
        return result.reason == end_reason::CrashesUpstreams ? 422 : 503;
    case disposition::OutcomeUnknown:
        return 504;
    case disposition::Cancelled:
        return 409;
    default:
        return 502;
    }
}

run_claim claimOf(disposition what)
{
    switch (what) {
    case disposition::NotRun:
        return run_claim::NotRun;
    case disposition::Completed:
        return run_claim::Ran;
    default:
        return run_claim::Unknown;
    }
}

std::string_view messageOf(const final_result &result)
{
    switch (result.what) {
    case disposition::NotRun:
        return "The request was not run.";
    case disposition::OutcomeUnknown:
        return "The request was sent and its answer was lost: it may have run. It will not be sent again.";
    case disposition::Cancelled:
        return "The request was cancelled.";
    default:
        return "The request failed: it may have run and has no answer.";
    }
}

} // namespace

std::string_view toString(run_claim claim)
{
    switch (claim) {
    case run_claim::NotRun:
        return "not-run";
    case run_claim::Unknown:
        return "unknown";
    case run_claim::Ran:
        return "ran";
    }
    return "unknown";
}

http_response
errorAnswer(unsigned status, std::string_view code, std::string_view message, run_claim claim, std::optional<duration> retryAfter)
{
    const std::string_view type = status < firstServerErrorStatus ? "invalid_request_error" : "server_error";
    const boost::json::value body = {{"error", {{"message", message}, {"type", type}, {"param", nullptr}, {"code", code}}}};
    http_response response{.status = status, .body = boost::json::serialize(body)};
    response.fields.push_back({.name = "Content-Type", .value = "application/json"});
    response.fields.push_back({.name = "X-Banyan-Run", .value = std::string(toString(claim))});
    if (retryAfter) {
        response.fields.push_back({.name = "Retry-After", .value = retryAfterText(*retryAfter)});
    }
    return response;
}

http_response errorAnswer(const request_refused &refusal)
{
    return errorAnswer(refusal.status(), refusal.code(), refusal.what(), run_claim::NotRun, refusal.retryAfter());
}

http_response errorAnswer(const final_result &result)
{
    http_response response =
        errorAnswer(statusOf(result), toString(result.reason), messageOf(result), claimOf(result.what), result.retryAfter);
    if (result.what != disposition::NotRun) {
        response.fields.push_back({.name = "X-Should-Retry", .value = "false"});
    }
    return response;
}

} // namespace banyan
