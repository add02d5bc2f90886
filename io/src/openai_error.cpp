#include "banyan/io/openai_error.h"

#include "banyan/io/error_answers.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr unsigned outcomeUnknownStatus = 504; ///< The one status that leaves open whether something was accepted.

json::value textOrNull(const std::string &text)
{
    if (text.empty()) {
        return nullptr;
    }
    return json::value(json::string_view(text));
}

} // namespace

http_response openai_error::toResponse() const
{
    json::object error;
    error["message"] = what();
    error["type"] = m_description.type;
    error["param"] = textOrNull(m_description.param);
    error["code"] = textOrNull(m_description.code);
    http_response response{.status = m_description.status,
                           .fields = {{.name = "Content-Type", .value = "application/json"}},
                           .body = json::serialize(json::object{{"error", std::move(error)}})};
    const run_claim claim = m_description.status == outcomeUnknownStatus ? run_claim::Unknown : run_claim::NotRun;
    response.fields.push_back({.name = "X-Banyan-Run", .value = std::string(toString(claim))});
    if (m_description.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*m_description.retryAfter);
        response.fields.push_back({.name = "Retry-After", .value = std::to_string(std::max<std::int64_t>(1, seconds.count()))});
    }
    return response;
}

openai_error notFound(const std::string &kind, const std::string &id)
{
    return openai_error("No such " + kind + ": " + id, {.status = 404, .code = "not_found"});
}

openai_error storeUnavailable(duration retryAfter)
{
    return openai_error("The request was not run: the platform's store does not answer. Try again later.",
                        {.status = 503, .type = "server_error", .code = "store_unavailable", .retryAfter = retryAfter});
}

} // namespace banyan
