#pragma once

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Reads a JSON object strictly: each field must have the expected type and range, and unknown fields are errors.
///
/// Error messages contain the path of the field, the expected value and the value found.
/// @code
/// json_object_reader reader(value, "services.advisory");
/// const bool durable = reader.boolean("durable", false);
/// reader.finish(); // rejects fields that were not read
/// @endcode
/// All functions throw configuration_error.
class json_object_reader
{
public:
    /// @param value must be an object and outlive the reader
    json_object_reader(const boost::json::value &value, std::string path);

    /// Returns a field of any type; null if it is absent.
    [[nodiscard]] const boost::json::value *find(std::string_view name);
    /// Returns a string field, which is required.
    [[nodiscard]] std::string text(std::string_view name);
    [[nodiscard]] std::string text(std::string_view name, std::string_view defaultValue);
    [[nodiscard]] bool boolean(std::string_view name, bool defaultValue);
    [[nodiscard]] std::uint64_t integer(std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::uint64_t defaultValue);
    /// Returns a positive number up to @p maximum; none if the field is absent.
    [[nodiscard]] std::optional<double> positiveNumber(std::string_view name, double maximum);
    /// Returns the elements of an array of at most @p maximum elements; none if the field is absent.
    [[nodiscard]] std::vector<const boost::json::value *> array(std::string_view name, std::size_t maximum);

    /// Returns the path of a field for error messages.
    [[nodiscard]] std::string fieldPath(std::string_view name) const;

    /// Rejects the object if it has a field that was not read.
    void finish() const;

private:
    const boost::json::object *m_object;
    std::string m_path;
    std::vector<std::string_view> m_readFields;
};

/// Throws a configuration_error whose message is "PATH: expected EXPECTED, found FOUND".
[[noreturn]] void rejectField(const std::string &path, std::string_view expected, std::string_view found);

/// Returns the value as JSON, truncated for an error message.
[[nodiscard]] std::string describe(const boost::json::value &value);

} // namespace banyan
