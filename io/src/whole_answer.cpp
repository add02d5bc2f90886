#include "banyan/io/whole_answer.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <stdexcept>
#include <utility>

namespace banyan {

namespace {

task<> setHead(std::shared_ptr<http_response> response, unsigned status, std::vector<http_field> fields)
{
    response->status = status;
    response->framing = framingOf(status, fields);
    response->fields = std::move(fields);
    response->body.clear();
    co_return;
}

task<> addPiece(std::shared_ptr<http_response> response, std::string piece)
{
    if (response->body.size() + piece.size() > whole_answer::maximumBody) {
        throw std::length_error("expected an answer of at most " + std::to_string(whole_answer::maximumBody)
                                + " bytes, found a longer one");
    }
    response->body += piece;
    co_return;
}

} // namespace

answer_sink whole_answer::sink() const
{
    answer_sink result;
    result.head = [response = m_response](unsigned status, std::vector<http_field> fields) {
        return setHead(response, status, std::move(fields));
    };
    result.piece = [response = m_response](std::string piece) {
        return addPiece(response, std::move(piece));
    };
    return result;
}

http_response whole_answer::take()
{
    return std::move(*m_response);
}

bool isProvenWhole(const http_response &response)
{
    if (provesEnd(response.framing)) {
        return true;
    }
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(response.body, error);
    return !error && (value.is_object() || value.is_array());
}

final_result resultOfKept(const final_result &result, const http_response &response, bool repeatable)
{
    if (result.what != disposition::Completed || isProvenWhole(response)) {
        return result;
    }
    return {.what = repeatable ? disposition::Failed : disposition::OutcomeUnknown, .reason = end_reason::AnswerLost};
}

} // namespace banyan
