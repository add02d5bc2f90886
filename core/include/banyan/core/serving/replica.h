#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// Registration of an upstream, as the upstream wrote it.
struct replica
{
    upstream_id id; ///< A restarted upstream may keep its id.
    std::uint64_t startedAt = 0; ///< Distinguishes incarnations under one id: start time in milliseconds since 1970, 0 if not given.
    service_name service;
    endpoint address; ///< Another upstream may use the address after this one has ended.
    failure_domain domain;
    std::string
        softwareVersion; ///< Version of the upstream's program; empty if it does not say. Streams of two versions do not fit together.
    std::uint32_t slots = 1; ///< Number of requests that it runs concurrently.
    bool draining = false; ///< Accepts no new work.

    /// Whether a run that needs @p version, or any if that is empty, may be sent to it.
    [[nodiscard]] bool hasVersion(const std::string &version) const
    {
        return version.empty() || softwareVersion == version;
    }

    auto operator<=>(const replica &) const = default;
};

} // namespace banyan
