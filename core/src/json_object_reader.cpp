#include "json_object_reader.h"

#include "banyan/core/configuration_error.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

/// Maximum number of characters of an invalid value shown in an error message.
constexpr std::size_t maximumShownCharacters = 60;

} // namespace

void rejectField(const std::string &path, std::string_view expected, std::string_view found)
{
    std::string text = path.empty() ? std::string("configuration") : path;
    text.append(": expected ").append(expected).append(", found ").append(found);
    throw configuration_error(text);
}

std::string describe(const boost::json::value &value)
{
    std::string text = boost::json::serialize(value);
    if (text.size() > maximumShownCharacters) {
        text = text.substr(0, maximumShownCharacters) + "...";
    }
    return text;
}

json_object_reader::json_object_reader(const boost::json::value &value, std::string path)
    : m_object(value.if_object())
    , m_path(std::move(path))
{
    if (m_object == nullptr) {
        rejectField(m_path, "an object", describe(value));
    }
}

std::string json_object_reader::fieldPath(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

const boost::json::value *json_object_reader::find(std::string_view name)
{
    m_readFields.push_back(name);
    return m_object->if_contains(name);
}

std::string json_object_reader::text(std::string_view name)
{
    const boost::json::value *const found = find(name);
    if (found == nullptr) {
        rejectField(fieldPath(name), "a text", "nothing");
    }
    if (!found->is_string()) {
        rejectField(fieldPath(name), "a text", describe(*found));
    }
    return std::string(found->get_string());
}

std::string json_object_reader::text(std::string_view name, std::string_view defaultValue)
{
    return m_object->contains(name) ? text(name) : (m_readFields.push_back(name), std::string(defaultValue));
}

bool json_object_reader::boolean(std::string_view name, bool defaultValue)
{
    const boost::json::value *const found = find(name);
    if (found == nullptr) {
        return defaultValue;
    }
    if (!found->is_bool()) {
        rejectField(fieldPath(name), "true or false", describe(*found));
    }
    return found->get_bool();
}

std::uint64_t json_object_reader::integer(std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::uint64_t defaultValue)
{
    const boost::json::value *const found = find(name);
    if (found == nullptr) {
        return defaultValue;
    }
    boost::json::error_code error;
    const auto value = found->to_number<std::uint64_t>(error);
    if (error || found->is_double() || value < minimum || value > maximum) {
        rejectField(fieldPath(name), "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum), describe(*found));
    }
    return value;
}

std::optional<double> json_object_reader::positiveNumber(std::string_view name, double maximum)
{
    const boost::json::value *const found = find(name);
    if (found == nullptr) {
        return std::nullopt;
    }
    boost::json::error_code error;
    const double value = found->is_number() ? found->to_number<double>(error) : 0;
    if (error || !(value > 0) || value > maximum) {
        rejectField(fieldPath(name), "a positive number up to " + std::to_string(static_cast<std::uint64_t>(maximum)), describe(*found));
    }
    return value;
}

std::vector<const boost::json::value *> json_object_reader::array(std::string_view name, std::size_t maximum)
{
    std::vector<const boost::json::value *> result;
    const boost::json::value *const found = find(name);
    if (found == nullptr) {
        return result;
    }
    if (!found->is_array()) {
        rejectField(fieldPath(name), "an array", describe(*found));
    }
    if (found->get_array().size() > maximum) {
        rejectField(fieldPath(name), "at most " + std::to_string(maximum) + " elements", std::to_string(found->get_array().size()));
    }
    for (const boost::json::value &element : found->get_array()) {
        result.push_back(&element);
    }
    return result;
}

void json_object_reader::finish() const
{
    for (const auto &field : *m_object) {
        const std::string_view name = field.key();
        if (std::find(m_readFields.begin(), m_readFields.end(), name) == m_readFields.end()) {
            rejectField(fieldPath(name), "no such field", describe(field.value()));
        }
    }
}

} // namespace banyan
