#pragma once

#include "banyan/core/audit_filter.h"
#include "banyan/core/audit_record.h"
#include "banyan/core/configuration.h"
#include "banyan/core/job_summary.h"
#include "banyan/core/patch_request.h"
#include "banyan/core/patch_result.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/job_cancel_result.h"
#include "banyan/io/node_status.h"
#include "banyan/io/operator_identity.h"
#include "banyan/io/request_explanation.h"
#include "banyan/io/upstream_report.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

class http_exchange;
class http_server;

/// What the operators' interface asks of the rest of the node. A function that is not set makes its calls answer 501;
/// one that throws store_error, platform_unavailable or platform_outcome_unknown makes them answer 503.
struct operator_api_hooks
{
    std::function<std::shared_ptr<const configuration>()> currentConfiguration; ///< Null: none yet.
    std::function<task<patch_result>(patch_request)> submitPatch;
    std::function<task<std::vector<audit_record>>(audit_filter)> readAudit;
    std::function<std::vector<upstream_report>()> upstreams;
    std::function<task<std::vector<job_summary>>(std::optional<caller_id>)> listJobs; ///< All callers' jobs if none is named.
    std::function<task<std::optional<job_summary>>(job_id)> findJob;
    std::function<task<job_cancel_result>(job_id, operator_id)> cancelJob;
    std::function<node_status()> status;
    std::function<task<>(operator_id)> drain; ///< Begins a planned stop of this node.
    std::function<task<std::optional<request_explanation>>(request_id)> explain;
};

/// Options of an operator_api.
struct operator_api_options
{
    std::optional<std::string> bootstrapKeyHash; ///< SHA-256 of a key that always may edit.
    operator_api_hooks hooks;
};

/// The operators' HTTP interface below /operator/v1. See docs/API.md for its calls.
///
/// @code
/// operator_api api({.bootstrapKeyHash = settings.bootstrapOperatorKeyHash, .hooks = {.currentConfiguration = …}});
/// api.addRoutes(server);
/// @endcode
class operator_api
{
public:
    explicit operator_api(operator_api_options options);

    /// Adds the routes. This object must outlive @p server's requests.
    void addRoutes(http_server &server);

private:
    using handler = task<> (operator_api::*)(http_exchange &, const operator_identity &);

    /// Adds a call that operators of at least @p role may make.
    void addRoute(http_server &server, const std::string &method, const std::string &pattern, operator_role role, handler handle);
    /// Checks the key and the role and answers what is refused; else calls @p handle.
    task<> admit(http_exchange &exchange, operator_role role, handler handle);
    /// Calls @p handle and turns the errors of layers below into answers.
    task<> guard(http_exchange &exchange, operator_identity who, handler handle);
    [[nodiscard]] std::optional<operator_identity> identify(const http_exchange &exchange) const;

    task<> showConfiguration(http_exchange &exchange, const operator_identity &who);
    task<> patchConfiguration(http_exchange &exchange, const operator_identity &who);
    task<> showAudit(http_exchange &exchange, const operator_identity &who);
    task<> showServices(http_exchange &exchange, const operator_identity &who);
    task<> showUpstreams(http_exchange &exchange, const operator_identity &who);
    task<> listJobs(http_exchange &exchange, const operator_identity &who);
    task<> showJob(http_exchange &exchange, const operator_identity &who);
    task<> cancelJob(http_exchange &exchange, const operator_identity &who);
    task<> showStatus(http_exchange &exchange, const operator_identity &who);
    task<> drain(http_exchange &exchange, const operator_identity &who);
    task<> explain(http_exchange &exchange, const operator_identity &who);

    operator_api_options m_options;
};

} // namespace banyan
