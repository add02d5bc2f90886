#pragma once

#include "banyan/core/configuration.h"

#include <string>
#include <string_view>

namespace banyan {

/// Parses and validates a complete configuration: field types, unknown fields, references and limits.
///
/// The JSON format, which patches use as well (see applyPatch()):
/// @code
/// {"callers":   {"niebla": {"key_hashes": ["<sha256 hex>"], "requests_per_second": 100}},
///  "operators": {"ana": {"key_hashes": ["..."], "role": "editor"}},
///  "services":  {"advisory": {"kind": "model", "version": 1, "pool": "advisory", "models": ["advisor"],
///                             "access": [{"caller": "niebla", "urgency": "online"}], "repeatable": true,
///                             "durable": false, "resumable": false, "checks_fencing": false,
///                             "default_deadline_ms": 60000, "requests_per_second": 500}}}
/// @endcode
/// @throws configuration_error
[[nodiscard]] configuration parseConfiguration(std::string_view json, configuration_version version);

/// Serializes a configuration to the format that parseConfiguration() reads. The version is not included.
[[nodiscard]] std::string toJson(const configuration &value);

/// Applies a JSON merge patch (RFC 7396) to @p base and validates the complete result, whose version is one higher.
/// @throws configuration_error
[[nodiscard]] configuration applyPatch(const configuration &base, std::string_view mergePatch);

} // namespace banyan
