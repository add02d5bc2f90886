#pragma once

#include "banyan/core/time.h"
#include "banyan/io/http_exchange.h"
#include "banyan/io/http_server.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace banyan::standins {

/// Options of a replica_standin.
struct replica_standin_options
{
    std::string id; ///< Its id in the store; other ids that a request expects are refused with 421.
    std::string version; ///< Of its software; if set, its events name it.
    std::size_t slots = 8; ///< Requests at once; more are refused as not run.
    std::size_t longBytes = 0; ///< Added to a whole answer, or to each event of a stream, if the path has "/long".
    std::size_t events = 10; ///< Of a stream.
    duration eventTime = std::chrono::milliseconds(20); ///< From one event to the next.
};

/// A replica of the users' platform by its protocol. A request with a Model field is answered by a stream, others whole.
///
/// POST /standin/faults takes "mode": up, reset (runs and closes without an answer), hang (runs and never answers),
/// impossible (422), unframed (answers have neither a length nor chunks) or leaving (says so in all its answers, and nowhere else),
/// and "limit": the text that all its answers name as their rate limit, empty for none. GET /standin/runs answers how often each
/// request id has run to its end or begun, GET /standin/arrivals when each request arrived, in milliseconds of a steady clock.
class replica_standin
{
public:
    explicit replica_standin(replica_standin_options options);

    void addRoutes(http_server &server);

private:
    task<> handle(http_exchange &exchange);
    [[nodiscard]] std::vector<http_field> answerFields(std::vector<http_field> fields) const;
    [[nodiscard]] std::string paddingOf(const http_exchange &exchange) const;
    task<> answerWhole(http_exchange &exchange);
    task<> answerStream(http_exchange &exchange);
    task<> handleFaults(http_exchange &exchange);
    task<> handleRuns(http_exchange &exchange);
    task<> handleArrivals(http_exchange &exchange);

    replica_standin_options m_options;
    std::string m_mode = "up";
    std::string m_limit; ///< Rate limit that its answers name; empty for none.
    std::vector<std::chrono::steady_clock::time_point> m_arrivals; ///< Of all requests, also those that it refuses.
    std::map<std::string, int> m_runs; ///< By request id.
    std::size_t m_running = 0;
};

} // namespace banyan::standins
