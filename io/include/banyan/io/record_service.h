#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/io/accept_outcome.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/record_request.h"
#include "banyan/io/record_service_options.h"
#include "banyan/io/request_runner.h"
#include "banyan/io/store_port.h"
#include "banyan/io/stored_record.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

class platform_client;

/// Requests that complete exactly once: recorded in the platform's table service before they are acknowledged, run
/// through a request_runner, and kept with their result. After the loss of the node that accepted one, another node
/// takes it over.
///
/// @code
/// record_service records(context, platform, runner, {.node = self});
/// records.start();
/// const accept_outcome accepted = co_await records.accept(request, deadline);     // may throw, see there
/// const stored_record record = co_await records.wait(accepted.record, deadline);  // final, or what is known by then
/// @endcode
///
/// The dispatcher's node calls recordStart() before it sends a request that has a recordKey and is not repeatable.
/// All functions run on the Asio thread.
class record_service
{
public:
    record_service(asio::io_context &context,
                   platform_client &platform,
                   const request_runner &runner,
                   const record_service_options &options);

    /// As above, with another way to the store than a platform_client.
    record_service(asio::io_context &context, store_port port, const request_runner &runner, const record_service_options &options);
    ~record_service();

    /// Begins to keep the lease, to look for lapsed ones and to run what is accepted or taken over.
    void start();

    /// Stops accepting, waits until the requests in progress have ended and their results are committed, at the latest
    /// @p until, and gives the lease up. What is then left is taken over by other nodes.
    [[nodiscard]] task<> stop(time_point until);

    /// Records a request and, if it is new, runs it in the background; it goes on when the caller is gone.
    /// @throws store_unavailable nothing was recorded, for sure
    /// @throws record_outcome_unknown not settled by @p until
    [[nodiscard]] task<accept_outcome> accept(record_request request, time_point until);

    /// Waits until the record is final and committed, at the latest @p until; returns what is known then. Works on
    /// each node: a record that another node runs is read from the store now and then.
    [[nodiscard]] task<stored_record> wait(stored_record record, time_point until);

    /// Commits the start of a request not to be repeated. Send it only if this returns true: at most one start of a
    /// record under one fencing number does, and none after the record was taken over.
    /// @param fencingNumber run_request::fencingNumber
    /// @param attempt names the sending for audit, for example the dispatcher's node and attempt_id
    /// @throws store_unavailable the request must not be sent; it was not run
    [[nodiscard]] task<bool> recordStart(std::string recordKey, std::uint64_t fencingNumber, std::string attempt);

    /// Commits how a request ended whose start this node's dispatcher recorded, on behalf of its owner, which may be gone.
    /// The first committed result stands. Goes on in the background while the store is down; returns when it is
    /// committed or void, at the latest @p until.
    [[nodiscard]] task<> recordResult(std::string recordKey, std::uint64_t fencingNumber, run_answer answer, time_point until);

    /// Reads a record; none if the caller has none under this key.
    /// @throws platform_unavailable
    [[nodiscard]] task<std::optional<stored_record>> find(const caller_id &caller, const std::string &idempotencyKey);

    /// Holds a result for another node, see record_service_options::keepCopy; commits it if that node does not.
    void keepResultFor(const std::string &recordKey, const std::string &result);

    /// Drops a result held for another node.
    void forgetResultFor(const std::string &recordKey);

    /// Tells which nodes are live, this one included: they share the store's budget and the recovery of lapsed leases.
    void setLiveNodes(const std::vector<node_id> &nodes);

    /// Whether the store took the last commit; while false, accept() refuses at once.
    [[nodiscard]] bool storeAvailable() const;

    /// Records that this node owns and that are not final.
    [[nodiscard]] std::size_t inProgress() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
