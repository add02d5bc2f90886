#pragma once

#include "banyan/core/caller_directory.h"
#include "banyan/core/configuration.h"
#include "banyan/core/rate_limiter.h"
#include "banyan/io/accept_outcome.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/caller_request.h"
#include "banyan/io/record_request.h"
#include "banyan/io/request_builder.h"
#include "banyan/io/run_outcome.h"
#include "banyan/io/stored_record.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyan {

class explain_log;
class http_exchange;
class http_server;
class node_metrics;
class record_service;
class request_router;

/// What a caller_api works with; everything outlives it.
struct caller_api_options
{
    std::function<std::shared_ptr<const configuration>()> currentConfiguration; ///< Null: none yet.
    std::function<bool()> draining; ///< While true, new requests are refused as not run.
    request_router &router;
    record_service &records;
    node_metrics &metrics;
    explain_log &explanations;
    std::size_t maximumBody = std::size_t(4) << 20; ///< Bytes.
};

/// The callers' HTTP interface: models, chat completions, plain services and stored results. See docs/API.md.
class caller_api
{
public:
    explicit caller_api(const caller_api_options &options);

    /// Adds the routes. This object must outlive the server's requests.
    void addRoutes(http_server &server);

    /// The caller whose key a request carries.
    /// @throws request_refused with 401 if it has none or a wrong one, and with 503 before there is a configuration
    [[nodiscard]] caller_id identify(const http_exchange &exchange);

private:
    using handler = task<> (caller_api::*)(http_exchange &);

    void addRoute(http_server &server, const std::string &method, const std::string &pattern, handler handle);
    task<> guard(http_exchange &exchange, handler handle);
    task<> listModels(http_exchange &exchange);
    task<> showModel(http_exchange &exchange);
    task<> runRequest(http_exchange &exchange);
    task<> readResult(http_exchange &exchange);

    [[nodiscard]] std::shared_ptr<const configuration> requireConfiguration() const;
    void refreshDirectory();
    [[nodiscard]] task<caller_request> readRequest(http_exchange &exchange, caller_id caller);
    void admit(const configuration &current, const resolved_request &resolved, time_point now);
    task<> runDirect(http_exchange &exchange, resolved_request resolved);
    /// Records a request; answers the caller and returns none if it cannot be recorded.
    [[nodiscard]] task<std::optional<accept_outcome>> acceptOrRefuse(http_exchange &exchange, record_request wish, time_point until);
    task<> runRecorded(http_exchange &exchange, resolved_request resolved, const caller_request &request);
    task<> answerRecord(http_exchange &exchange, stored_record record, bool replayed);
    void account(const resolved_request &resolved,
                 const std::string &requestId,
                 time_point startedAt,
                 const final_result &result,
                 std::string trace);

    caller_api_options m_options;
    std::shared_ptr<const configuration> m_directorySource;
    std::optional<caller_directory> m_directory;
    rate_limiter m_limits;
};

} // namespace banyan
