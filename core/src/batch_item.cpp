#include "banyan/core/batch_item.h"

#include <boost/json.hpp>

namespace banyan {

namespace json = boost::json;

namespace {

json::string_view toView(std::string_view text)
{
    return {text.data(), text.size()};
}

json::object parseObject(std::string_view line)
{
    json::error_code error;
    json::value value = json::parse(toView(line), error);
    if (error || !value.is_object()) {
        throw item_rejected("invalid_json_line", "expected a JSON object on each line");
    }
    return std::move(value.as_object());
}

std::string requiredText(const json::object &object, const char *name)
{
    const json::value *found = object.if_contains(name);
    if (found == nullptr || !found->is_string()) {
        throw item_rejected("invalid_item", std::string("expected a text in \"") + name + "\"");
    }
    return std::string(found->as_string());
}

} // namespace

batch_item parseBatchItem(std::string_view line)
{
    const json::object object = parseObject(line);
    batch_item item{
        .customId = requiredText(object, "custom_id"), .method = requiredText(object, "method"), .url = requiredText(object, "url")};
    if (item.method != "POST") {
        throw item_rejected("invalid_method", "expected the method \"POST\", found \"" + item.method + "\"");
    }
    const json::value *body = object.if_contains("body");
    if (body == nullptr || !body->is_object()) {
        throw item_rejected("invalid_item", "expected a JSON object in \"body\"");
    }
    item.body = json::serialize(*body);
    return item;
}

std::string customIdOf(std::string_view line)
{
    json::error_code error;
    const json::value value = json::parse(toView(line), error);
    const json::object *object = value.if_object();
    if (error || object == nullptr) {
        return {};
    }
    const json::value *found = object->if_contains("custom_id");
    const json::string *text = found == nullptr ? nullptr : found->if_string();
    return text == nullptr ? std::string() : std::string(*text);
}

} // namespace banyan
