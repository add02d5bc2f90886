#pragma once

#include "banyan/core/identifier.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// Identifies a stream over all requests that take it up: the hash of the id of the request that began it. 0 stands for no stream.
using stream_key = std::uint64_t;

/// What began a stream. It may go on only at upstreams of the same service and software version.
struct stream_origin
{
    service_name service;
    std::string version;

    auto operator<=>(const stream_origin &) const = default;
};

/// The key of the stream that a request begins.
[[nodiscard]] stream_key streamKeyOf(const request_id &request);

} // namespace banyan
