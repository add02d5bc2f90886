#include "banyan/core/item_result.h"

#include <boost/json.hpp>

namespace banyan {

namespace json = boost::json;

namespace {

json::value textOrNull(std::string_view text)
{
    if (text.empty()) {
        return nullptr;
    }
    return json::value(json::string_view(text.data(), text.size()));
}

json::value parseBody(const std::string &body)
{
    json::error_code error;
    json::value value = json::parse(body, error);
    if (error) {
        return json::value(json::string_view(body));
    }
    return value;
}

json::object lineHead(const job_id &job, std::uint32_t item, std::string_view customId)
{
    json::object line;
    line["id"] = itemId(job, item);
    line["custom_id"] = textOrNull(customId);
    return line;
}

} // namespace

std::string answerLine(const job_id &job, std::uint32_t item, std::string_view customId, const item_answer &answer)
{
    json::object response;
    response["status_code"] = answer.status;
    response["request_id"] = answer.requestId;
    response["body"] = parseBody(answer.body);
    json::object line = lineHead(job, item, customId);
    line["response"] = std::move(response);
    line["error"] = nullptr;
    return json::serialize(line) + '\n';
}

std::string errorLine(const job_id &job, std::uint32_t item, std::string_view customId, const item_error &error)
{
    json::object line = lineHead(job, item, customId);
    line["response"] = nullptr;
    line["error"] = json::object{{"code", error.code}, {"message", error.message}};
    return json::serialize(line) + '\n';
}

} // namespace banyan
