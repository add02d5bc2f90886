#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/quarantined_fingerprint.h"
#include "banyan/core/serving/quarantine_records.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/serving/table_follower.h"
#include "banyan/io/serving/table_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace banyan {

/// Dependencies of a content_quarantine; all of them must outlive it.
struct content_quarantine_ports
{
    asio::io_context &context;
    table_store store;
    node_id self;
    std::function<std::vector<quarantined_fingerprint>(time_point now)> quarantined; ///< All contents that are quarantined at this node.
    std::function<std::set<std::uint64_t>()> locallyQuarantined; ///< Fingerprints that this node has quarantined by its own observation.
    std::function<std::string(std::uint64_t fingerprint)>
        rowText; ///< What a row says beside the node that recorded it; for contents nothing.
    /// Quarantines what another node has quarantined; @p text is the row's.
    std::function<void(std::uint64_t fingerprint, const std::string &text, time_point now)> quarantine;
    std::function<void()> loaded; ///< Called when the table has been read for the first time.
    std::function<void(std::uint64_t fingerprint)> withdraw; ///< Called when the row that a quarantine came from is gone.
};

/// Stores which contents and prompt parts are quarantined because they crash upstreams, so that nodes that start later reject them too.
class content_quarantine : public std::enable_shared_from_this<content_quarantine>
{
public:
    explicit content_quarantine(content_quarantine_ports ports);

    /// Starts following the table.
    void start();

    /// Whether the table has been read.
    [[nodiscard]] bool isLoaded() const
    {
        return m_isLoaded;
    }

    /// Stores new quarantines and removes outdated rows.
    void housekeep(time_point now);

private:
    table_observer observer();
    void applyRow(const table_row &row, time_point now);
    [[nodiscard]] std::vector<std::uint64_t> improvedRows() const;
    void rememberText(std::uint64_t fingerprint, const std::string &rowValue);
    void removeRow(std::uint64_t fingerprint);
    static task<> commit(std::shared_ptr<content_quarantine> self, std::vector<table_transaction> changes);

    content_quarantine_ports m_ports;
    quarantine_records m_records;
    std::map<std::uint64_t, std::string> m_rowTexts; ///< What rows of prompt parts say beside the nodes that recorded them.
    bool m_isLoaded = false;
    bool m_isCommitting = false;
    time_point m_retryAt;
};

} // namespace banyan
