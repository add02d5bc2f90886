#include "banyan/io/json_text.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <vector>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::size_t indentWidth = 2;
constexpr std::size_t columnGap = 2;

using text_row = std::vector<std::string>;

/// A value on one line: texts without quotes, everything else as JSON.
std::string inlineText(const json::value &value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_string()) {
        return std::string(value.as_string());
    }
    return json::serialize(value);
}

bool isTable(const json::value &value)
{
    const json::array *array = value.if_array();
    return array != nullptr && !array->empty() && std::ranges::all_of(*array, [](const json::value &element) {
               return element.is_object();
           });
}

text_row columnNames(const json::array &objects)
{
    text_row names;
    for (const json::value &element : objects) {
        for (const json::key_value_pair &field : element.as_object()) {
            const std::string name(field.key());
            if (std::ranges::find(names, name) == names.end()) {
                names.push_back(name);
            }
        }
    }
    return names;
}

text_row rowOf(const json::object &object, const text_row &names)
{
    text_row row;
    row.reserve(names.size());
    for (const std::string &name : names) {
        const json::value *value = object.if_contains(name);
        row.push_back(value == nullptr ? "-" : inlineText(*value));
    }
    return row;
}

std::vector<std::size_t> columnWidths(const std::vector<text_row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const text_row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    return widths;
}

void appendTable(std::string &text, const json::array &objects, std::size_t indent)
{
    const text_row names = columnNames(objects);
    std::vector<text_row> rows = {names};
    for (const json::value &element : objects) {
        rows.push_back(rowOf(element.as_object(), names));
    }
    const std::vector<std::size_t> widths = columnWidths(rows);
    for (const text_row &row : rows) {
        std::string line(indent, ' ');
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] - row[column].size() + columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
}

void appendObject(std::string &text, const json::object &object, std::size_t indent);

void appendField(std::string &text, const json::key_value_pair &field, std::size_t indent)
{
    text += std::string(indent, ' ') + std::string(field.key()) + ":";
    if (isTable(field.value())) {
        text += "\n";
        appendTable(text, field.value().as_array(), indent + indentWidth);
    } else if (const json::object *nested = field.value().if_object(); nested != nullptr && !nested->empty()) {
        text += "\n";
        appendObject(text, *nested, indent + indentWidth);
    } else {
        text += " " + inlineText(field.value()) + "\n";
    }
}

void appendObject(std::string &text, const json::object &object, std::size_t indent)
{
    for (const json::key_value_pair &field : object) {
        appendField(text, field, indent);
    }
}

} // namespace

std::string toText(const json::value &document)
{
    std::string text;
    if (const json::object *object = document.if_object()) {
        appendObject(text, *object, 0);
    } else if (isTable(document)) {
        appendTable(text, document.as_array(), 0);
    } else {
        text = inlineText(document) + "\n";
    }
    return text;
}

} // namespace banyan
