#pragma once

#include "banyan/core/serving/key_digest.h"
#include "banyan/core/time.h"

#include <optional>
#include <string_view>

namespace banyan {

class key_directory;
class key_lease;
struct organisation;

/// What a request shows of its caller.
struct presented_key
{
    std::optional<key_digest> digest; ///< Of the key; none if the request has no key.
    time_point arrivedAt; ///< When the request arrived, or earlier.
};

/// Whether a request may be taken.
enum class key_verdict {
    Taken,
    Missing, ///< It has no key, and no configuration that was acknowledged before its arrival lets it do without one.
    Unknown, ///< No configuration that was acknowledged before its arrival has its key.
    Unproven, ///< A configuration that has its key may not have been read here.
    LeaseOver, ///< A configuration without its key may have been in force for a revocation time.
};

/// The verdict's name in logs and metrics, for example "key_unknown".
[[nodiscard]] std::string_view toString(key_verdict verdict);

/// The verdict on a request, and who sent it.
struct key_check
{
    key_verdict verdict = key_verdict::Taken;
    const organisation *holder = nullptr; ///< Null if the request has no key that is known, or may not be taken.
};

/// Decides on a request at @p now. One on a public route is always taken, as that of its key's holder if that is certain.
[[nodiscard]] key_check
checkKey(const key_directory &keys, const key_lease &lease, const presented_key &presented, bool isPublic, time_point now);

} // namespace banyan
