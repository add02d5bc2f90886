#include "chat_request.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace banyan::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t defaultMaximumTokens = 4096;

std::vector<std::string> wordsOf(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

/// A message's content is a text or an array of parts, of which those of type "text" count.
std::string contentText(const json::value &content)
{
    if (content.is_string()) {
        return json::value_to<std::string>(content);
    }
    std::string text;
    for (const json::value &part : content.as_array()) {
        if (part.at("type") == "text") {
            text += json::value_to<std::string>(part.at("text"));
        }
    }
    return text;
}

std::size_t numberOr(const json::object &object, json::string_view name, std::size_t other)
{
    const json::value *value = object.if_contains(name);
    return value == nullptr || value->is_null() ? other : value->to_number<std::size_t>();
}

bool isTrue(const json::object &object, json::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->as_bool();
}

} // namespace

chat_request chat_request::parse(const std::string &body)
{
    const json::value document = json::parse(body);
    const json::object &object = document.as_object();
    chat_request request;
    request.model = json::value_to<std::string>(object.at("model"));
    for (const json::value &message : object.at("messages").as_array()) {
        const std::string text = contentText(message.at("content"));
        request.allText += text + "\n";
        if (message.at("role") == "user") {
            request.lastUserMessage = text;
        }
    }
    request.promptTokens = wordsOf(request.allText).size();
    request.maximumTokens = numberOr(object, "max_completion_tokens", numberOr(object, "max_tokens", defaultMaximumTokens));
    request.minimumTokens = numberOr(object, "min_tokens", 0);
    request.stream = isTrue(object, "stream");
    if (const json::value *options = object.if_contains("stream_options"); options != nullptr && options->is_object()) {
        request.includeUsage = isTrue(options->as_object(), "include_usage");
    }
    return request;
}

std::vector<std::string> chat_request::answerTokens() const
{
    const std::vector<std::string> words = wordsOf("echo:" + lastUserMessage);
    const std::size_t count = std::min(maximumTokens, std::max(words.size(), minimumTokens));
    std::vector<std::string> tokens;
    for (std::size_t index = 0; index < count; ++index) {
        tokens.push_back((index == 0 ? "" : " ") + words[index % words.size()]);
    }
    return tokens;
}

} // namespace banyan::standins
