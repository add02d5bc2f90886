#include "result_copy.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace banyan {

namespace json = boost::json;

std::string encodeResultCopy(const result_copy &copy)
{
    return json::serialize(json::object{{"owner", copy.end.owner},
                                        {"fencing_number", copy.end.fencingNumber},
                                        {"state", toString(copy.end.state)},
                                        {"answer", copy.end.answer.text}});
}

result_copy parseResultCopy(const std::string &text)
{
    try {
        const json::value parsed = json::parse(text);
        const json::object &object = parsed.as_object();
        return {.end = {.owner = json::value_to<std::string>(object.at("owner")),
                        .fencingNumber = object.at("fencing_number").to_number<std::uint64_t>(),
                        .state = recordStateOf(json::value_to<std::string>(object.at("state"))),
                        .answer = {.text = json::value_to<std::string>(object.at("answer"))}}};
    } catch (const std::exception &error) {
        throw std::invalid_argument(std::string("copy of a result: ") + error.what());
    }
}

} // namespace banyan
