#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/time.h"
#include "banyan/io/http_client.h"
#include "banyan/io/http_message.h"

#include <cstddef>
#include <vector>

namespace banyan::bench {

/// What load_run() sends, and how much of it.
struct load_options
{
    endpoint target;
    http_request request;
    std::size_t requests = 2000;
    std::size_t concurrency = 16; ///< Requests in progress at any time.
};

/// What load_run() measured.
struct load_result
{
    std::vector<duration> latencies; ///< One each request that got status 200.
    std::size_t failures = 0; ///< Requests that got another status or none.
    duration elapsed{};

    /// Adds another run's figures to these.
    void add(const load_result &other);
    /// The latency that a share of @p quantile of the requests did not exceed.
    [[nodiscard]] duration latencyAt(double quantile) const;
    [[nodiscard]] double requestsPerSecond() const;
};

/// Sends the same request over and over, keeping a number of them in progress.
[[nodiscard]] task<load_result> loadRun(http_client &client, load_options options);

} // namespace banyan::bench
