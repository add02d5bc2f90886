#pragma once

#include "banyan/core/serving/registration_monitor.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/serving/serving_codec.h"
#include "banyan/io/serving/table_follower.h"
#include "banyan/io/serving/table_store.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyan {

class report_hubs;

/// What a gateway_registry works with.
struct gateway_registry_ports
{
    asio::io_context &context;
    table_store store;
    node_id self;
    std::function<void()> loaded; ///< All rows have been read for the first time, or again.
    std::function<void()> changed; ///< gateways() has changed.
    std::function<void()> registered; ///< This gateway's row is stored.
};

/// The registrations of all gateways in the store: keeps this gateway's own row, and removes those of gateways that are gone.
class gateway_registry : public std::enable_shared_from_this<gateway_registry>
{
public:
    explicit gateway_registry(gateway_registry_ports ports);

    /// Registers this gateway under its address, replacing an earlier process there, and follows the table.
    void start(gateway_entry own);

    /// The registered gateways, by the keys of their rows.
    [[nodiscard]] const std::map<std::string, gateway_entry> &gateways() const
    {
        return m_gateways;
    }

    /// The number of gateways that may hold a share of a limit: those registered, and those that were removed by others a short
    /// while ago, since a gateway that reaches neither the store nor others still uses its share.
    [[nodiscard]] std::size_t sharing(time_point now);

    /// Passes on the hubs that were chosen from gateways(). @p hubs must outlive this object.
    void setHubs(const report_hubs &hubs, time_point now);

    /// Records that a gateway has sent a report.
    void recordReport(const node_id &node, time_point now);

    /// Records that this process was suspended.
    void resumed(time_point now);

    /// Calls and removes gateways, if that is due.
    void housekeep(time_point now);

    /// Stops keeping the own row, which a later call of leave() removes.
    void beginShutdown();

    /// Removes the own row. Failures are logged: other gateways then find that this one is gone.
    [[nodiscard]] task<> leave();

private:
    using pointer = std::shared_ptr<gateway_registry>;

    [[nodiscard]] table_observer observer();
    void apply(const table_row &row);
    void applied();
    void startRegistering();
    [[nodiscard]] table_key ownRow() const;
    [[nodiscard]] static table_key rowOf(const std::string &key);
    void keepRegistration();
    static task<> registerSelf(pointer self);
    [[nodiscard]] task<> sleep(duration time);
    static task<> carryOutReview(pointer self);
    [[nodiscard]] task<bool> refresh();
    [[nodiscard]] task<bool> remove(std::vector<std::string> keys);
    [[nodiscard]] std::vector<std::string> stillDue(const std::vector<std::string> &keys) const;
    [[nodiscard]] task<bool> call(std::vector<std::string> keys);

    /// The outcome of a change: the version of its rows, or why it was not made or may not have been.
    struct change_outcome
    {
        row_version version = 0;
        std::string failure; ///< Empty if the change was made.
    };
    [[nodiscard]] task<change_outcome> commit(table_transaction change);

    gateway_registry_ports m_ports;
    gateway_entry m_own;
    registration_monitor m_monitor;
    std::shared_ptr<table_follower> m_follower;
    std::map<std::string, gateway_entry> m_gateways;
    std::map<std::string, row_version> m_versions; ///< Newest known version by row, also of removed ones.
    const report_hubs *m_hubs = nullptr; ///< Those chosen last from m_gateways.
    std::map<std::string, time_point> m_removedAt; ///< By row: when a gateway that had not left itself was removed.
    time_point m_reviewedAt;
    bool m_isReviewing = false; ///< Whether a review is being carried out.
    bool m_isRegistering = false;
    bool m_sawOwnRow = false; ///< Whether a change of the own row has been read.
    bool m_shuttingDown = false;
};

} // namespace banyan
