#include "json_object_reader.h"

#include "banyan/core/configuration_error.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

/// Characters of a refused value that an error message shows.
constexpr std::size_t maximumShown = 60;

} // namespace

void refuseField(const std::string &path, std::string_view expected, std::string_view found)
{
    std::string text = path.empty() ? std::string("configuration") : path;
    text.append(": expected ").append(expected).append(", found ").append(found);
    throw configuration_error(text);
}

std::string describe(const boost::json::value &value)
{
    std::string text = boost::json::serialize(value);
    if (text.size() > maximumShown) {
        text = text.substr(0, maximumShown) + "...";
    }
    return text;
}

json_object_reader::json_object_reader(const boost::json::value &value, std::string path)
    : m_object(value.if_object())
    , m_path(std::move(path))
{
    if (m_object == nullptr) {
        refuseField(m_path, "an object", describe(value));
    }
}

std::string json_object_reader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

const boost::json::value *json_object_reader::find(std::string_view name)
{
    m_known.push_back(name);
    return m_object->if_contains(name);
}

std::string json_object_reader::text(std::string_view name)
{
    const boost::json::value *const found = find(name);
    if (found == nullptr) {
        refuseField(pathOf(name), "a text", "nothing");
    }
    if (!found->is_string()) {
        refuseField(pathOf(name), "a text", describe(*found));
    }
    return std::string(found->get_string());
}

std::string json_object_reader::text(std::string_view name, std::string_view fallback)
{
    return m_object->contains(name) ? text(name) : (m_known.push_back(name), std::string(fallback));
}

bool json_object_reader::boolean(std::string_view name, bool fallback)
{
    const boost::json::value *const found = find(name);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_bool()) {
        refuseField(pathOf(name), "true or false", describe(*found));
    }
    return found->get_bool();
}

std::uint64_t json_object_reader::integer(std::string_view name, std::uint64_t least, std::uint64_t most, std::uint64_t fallback)
{
    const boost::json::value *const found = find(name);
    if (found == nullptr) {
        return fallback;
    }
    boost::json::error_code error;
    const auto value = found->to_number<std::uint64_t>(error);
    if (error || found->is_double() || value < least || value > most) {
        refuseField(pathOf(name), "an integer from " + std::to_string(least) + " to " + std::to_string(most), describe(*found));
    }
    return value;
}

std::optional<double> json_object_reader::positiveNumber(std::string_view name, double most)
{
    const boost::json::value *const found = find(name);
    if (found == nullptr) {
        return std::nullopt;
    }
    boost::json::error_code error;
    const double value = found->is_number() ? found->to_number<double>(error) : 0;
    if (error || !(value > 0) || value > most) {
        refuseField(pathOf(name), "a positive number up to " + std::to_string(static_cast<std::uint64_t>(most)), describe(*found));
    }
    return value;
}

std::vector<const boost::json::value *> json_object_reader::array(std::string_view name, std::size_t most)
{
    std::vector<const boost::json::value *> result;
    const boost::json::value *const found = find(name);
    if (found == nullptr) {
        return result;
    }
    if (!found->is_array()) {
        refuseField(pathOf(name), "an array", describe(*found));
    }
    if (found->get_array().size() > most) {
        refuseField(pathOf(name), "at most " + std::to_string(most) + " elements", std::to_string(found->get_array().size()));
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
        if (std::find(m_known.begin(), m_known.end(), name) == m_known.end()) {
            refuseField(pathOf(name), "no such field", describe(field.value()));
        }
    }
}

} // namespace banyan
