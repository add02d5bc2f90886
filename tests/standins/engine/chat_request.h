#pragma once

#include <boost/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace banyan::standins {

/// What the engine stand-in reads of the body of a chat completion.
struct chat_request
{
    std::string model;
    std::string lastUserMessage;
    std::string allText; ///< Of all messages, in order.
    std::size_t promptTokens = 0;
    std::size_t maximumTokens = 0;
    std::size_t minimumTokens = 0; ///< "min_tokens": the answer's words are repeated to reach it.
    bool stream = false;
    bool includeUsage = false; ///< "stream_options": {"include_usage": true}

    /// Reads a request's body. Throws std::exception if it is not one.
    static chat_request parse(const std::string &body);

    /// The answer, one token each: "echo:" and the words of the last user message.
    [[nodiscard]] std::vector<std::string> answerTokens() const;
};

} // namespace banyan::standins
