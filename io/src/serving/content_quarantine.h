#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/quarantined_fingerprint.h"
#include "banyan/core/serving/quarantine_records.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/serving/table_follower.h"
#include "banyan/io/serving/table_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace banyan {

/// What the stops of a node work with; all of it must outlive them.
struct content_quarantine_ports
{
    asio::io_context &context;
    table_store store;
    node_id self;
    std::function<std::vector<quarantined_fingerprint>(time_point now)> quarantined; ///< All contents that this node refuses.
    std::function<std::set<std::uint64_t>()> locallyQuarantined; ///< Those that it has decided on itself.
    std::function<void(std::uint64_t fingerprint, time_point now)> quarantine; ///< Refuses a content that another node has stopped.
};

/// Keeps the contents that are refused since they crash upstreams in the store, so that nodes that start later know them.
class content_quarantine : public std::enable_shared_from_this<content_quarantine>
{
public:
    explicit content_quarantine(content_quarantine_ports ports);

    /// Begins to follow the table.
    void start();

    /// Whether the table has been read.
    [[nodiscard]] bool isLoaded() const
    {
        return m_isLoaded;
    }

    /// Records stops and removes rows that are due.
    void housekeep(time_point now);

private:
    table_observer observer();
    void applyRow(const table_row &row, time_point now);
    static task<> commit(std::shared_ptr<content_quarantine> self, std::vector<table_transaction> changes);

    content_quarantine_ports m_ports;
    quarantine_records m_records;
    bool m_isLoaded = false;
    bool m_isCommitting = false;
    time_point m_retryAt;
};

} // namespace banyan
