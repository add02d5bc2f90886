#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace banyan {

/// A JSON document for people at a terminal: an object is one "name: value" line a field, and an array of objects is a
/// table with a head line.
///
/// @code
/// toText({{"version", 3}, {"services", {{{"name", "advisory"}, {"pool", "a"}}}}});
/// // version: 3
/// // services:
/// //   name      pool
/// //   advisory  a
/// @endcode
[[nodiscard]] std::string toText(const boost::json::value &document);

} // namespace banyan
