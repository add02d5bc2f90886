#pragma once

#include "banyan/core/serving/key_check.h"
#include "banyan/core/serving/key_digester.h"
#include "banyan/core/serving/key_lease.h"
#include "banyan/core/serving/route_table.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/async_event.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace banyan {

class node_metrics;

/// What a caller_admission uses; all of it must outlive the admission.
struct caller_admission_ports
{
    asio::io_context &context;
    node_metrics &metrics;
    /// The configuration in force; null until one has been read.
    std::function<std::shared_ptr<const route_table>()> routes;
    /// Reads the configuration now, and reports the reading by configurationRead(). Returns whether that has succeeded.
    /// @throws platform_unavailable
    std::function<task<bool>()> readConfiguration;
    /// Whether it is known that the store does not answer this node.
    std::function<bool()> isStoreLost;
    /// Whether most other nodes read the store, so that a refused request is probably taken there.
    std::function<bool()> othersRead;
};

/// A request or call that asks to be taken.
struct admission_request
{
    std::string host;
    std::string path; ///< Empty for calls that concern jobs, which belong to no single route.
    std::optional<std::string> key;
    time_point arrivedAt;
};

/// The outcome for one request, with the configuration that it is bound to.
struct admission
{
    std::shared_ptr<const route_table> table;
    const route *matchedRoute = nullptr; ///< Null for calls that concern jobs, and if no route has the host and the path.
    key_verdict verdict = key_verdict::Taken;
    const organisation *holder = nullptr; ///< Of the table; null if nobody is known.
    std::optional<key_digest> key; ///< Of the holder.
    duration retryAfter{}; ///< If the verdict may be another one then.

    /// Whether the verdict may be another one after a further reading of the configuration.
    [[nodiscard]] bool isUncertain() const
    {
        return verdict == key_verdict::Unproven || verdict == key_verdict::LeaseOver;
    }
};

/// Decides which requests this node takes, by the keys of the configuration. A verdict that a fresh reading of the configuration
/// may change waits for one, for a bounded time.
class caller_admission
{
public:
    caller_admission(caller_admission_ports ports, duration revocationTime);
    ~caller_admission();

    [[nodiscard]] const key_digester &digester() const;

    /// Records that a reading of the configuration that began at @p begunAt is in force.
    void configurationRead(time_point begunAt);

    /// Decides on a request whose body is complete. The configuration in force must not be null.
    [[nodiscard]] task<admission> admit(admission_request request);

    /// Whether a request that was admitted under a key may be sent to an upstream now.
    [[nodiscard]] bool maySend(const key_digest &key, const caller_id &holder, time_point now) const;

    /// Updates the gauges.
    void housekeep(time_point now);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
