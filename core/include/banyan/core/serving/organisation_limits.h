#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/credit_keeper.h"
#include "banyan/core/serving/credit_message.h"
#include "banyan/core/serving/limit_pools.h"
#include "banyan/core/serving/limit_tolerance.h"
#include "banyan/core/serving/organisation.h"
#include "banyan/core/serving/organisation_credits.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyan {

/// Options of organisation_limits.
struct organisation_limits_options
{
    node_id self;
    time_point startedAt;
    limit_tolerance tolerance;
    std::uint64_t firstAsk =
        0; ///< Drawn anew by each process, so that a late grant for an earlier one at the address names none of its asks.
};

/// Whether a request of an organisation may be sent.
enum class limit_verdict {
    Admitted,
    Refused,
    Waiting, ///< Decided by the answer to an ask; see organisation_limits::record() and organisation_limits::giveUp().
};

/// An ask and the node to which it goes.
struct outgoing_ask
{
    node_id to;
    credit_ask ask;
};

/// The decision on one request.
struct limit_decision
{
    limit_verdict verdict = limit_verdict::Admitted;
    duration retryAfter{}; ///< Set with Refused: when a request can probably be admitted.
    std::optional<outgoing_ask> ask; ///< To be sent now; decides on the request if it is waiting.
};

/// The decision on a request that was waiting.
struct settled_request
{
    std::uint64_t ask = 0;
    limit_decision decision;
};

/// Keeps the requests that all nodes together send for an organisation within its limit.
///
/// A request is admitted by a credit. Each node has some in hand for the requests that it expects; they come from the keeper of the
/// organisation's pool, which holds the shares of all nodes (limit_pools) and hands out no more than the limit allows (credit_keeper).
/// A node that hears no other is the keeper of its own share. A credit is used within creditTimeOf() of its ask, or is lost.
class organisation_limits
{
public:
    explicit organisation_limits(const organisation_limits_options &options);

    /// Replaces the limits; organisations without one are always admitted.
    void configure(std::uint64_t version, std::span<const organisation> organisations, time_point now);

    /// Sets the number of registered nodes, for how long shares are leased, and whether this node may be a keeper.
    void setNodes(std::size_t count, duration leaseTime, bool mayKeep);

    /// Decides on a request. It counts as soon as it is admitted.
    [[nodiscard]] limit_decision admit(const caller_id &name, time_point now);

    /// Answers the ask of another node.
    [[nodiscard]] credit_grant answer(const credit_ask &ask, time_point now);

    /// Records the answer to an ask of this node. Returns the decision if a request was waiting for it.
    [[nodiscard]] std::optional<settled_request> record(const credit_grant &grant, time_point now);

    /// Decides on a waiting request whose ask was not answered in time.
    [[nodiscard]] limit_decision giveUp(std::uint64_t ask, time_point now);

    /// This node's part of its load report with number @p sequence.
    [[nodiscard]] limit_pool_report report(std::uint64_t sequence, time_point now);

    /// Records the load report of another node.
    void recordReport(const node_id &from, std::uint64_t sequence, bool mayKeep, const limit_pool_report &report, time_point now);

    /// Ends the leases of shares that have run out, as all functions that decide do it themselves.
    void advance(time_point now);

    /// The part of a pool that this node holds, as of the last call of advance().
    [[nodiscard]] double shareOf(std::uint8_t pool) const;

    /// One organisation with a limit, as this node knows it.
    struct usage
    {
        std::string name;
        std::uint8_t pool = 0;
        limit_totals totals;
    };

    /// All organisations with a limit, by name.
    [[nodiscard]] std::vector<usage> usages() const;

    /// Whether any organisation has a limit.
    [[nodiscard]] bool empty() const;

private:
    /// One organisation with a limit.
    struct limited
    {
        std::string name;
        std::uint8_t pool = 0;
        organisation_credits credits;
    };

    /// An ask that was not answered yet.
    struct open_ask
    {
        caller_key organisation = 0;
        time_point askedAt;
        bool isWaiting = false; ///< A request waits for the answer.
    };

    void applyShares(time_point now);
    [[nodiscard]] limit_decision ask(caller_key key, limited &entry, std::uint32_t needed, std::uint32_t spare, time_point now);
    [[nodiscard]] limit_decision settle(limited &entry, bool isAdmitted, time_point now);

    organisation_limits_options m_options;
    duration m_creditTime;
    std::uint64_t m_version = 0;
    std::unordered_map<caller_key, limited> m_limited;
    limit_pools m_pools;
    credit_keeper m_keeper;
    std::uint64_t m_lastAsk = m_options.firstAsk;
    std::unordered_map<std::uint64_t, open_ask> m_asks;
};

} // namespace banyan
