#pragma once

#include "banyan/core/quarantined_fingerprint.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace banyan {

/// Options of quarantine_records.
struct quarantine_records_options
{
    duration fallbackDelay = std::chrono::seconds(2); ///< Delay before a node records the quarantine of another node.
    duration jitter = std::chrono::seconds(2); ///< Maximum random delay, which makes it likely that only one node writes or removes a row.
    duration unmatchedRowRetention = std::chrono::minutes(10); ///< How long this node keeps a row whose quarantine it never applied.
    std::size_t maximumRecords = 1000; ///< Maximum number of rows in the store; further quarantines remain only in the memory of the nodes.
};

/// A row to be removed, provided that it still has this version.
struct outdated_quarantine
{
    std::uint64_t fingerprint = 0;
    row_version version = 0;

    auto operator<=>(const outdated_quarantine &) const = default;
};

/// Decides which quarantined contents a node records in the store and which rows it removes.
///
/// Nodes that start later, or that no other node has notified, read the quarantines from the store. The node that decided a
/// quarantine records it at once; another node does so if no row has appeared after a delay. Rows hold no times: each node
/// measures the duration of a quarantine from when it reads the row, so that no clocks are compared.
class quarantine_records
{
public:
    quarantine_records(const quarantine_records_options &options, std::uint64_t seed);

    /// Adds or updates a row that was read. Returns whether the row is new or has a later version.
    bool addRow(std::uint64_t fingerprint, row_version version);

    /// Removes a row that is no longer in the store.
    void removeRow(std::uint64_t fingerprint);

    /// The fingerprints of all rows observed so far.
    [[nodiscard]] std::set<std::uint64_t> recordedFingerprints() const;

    /// The contents among @p quarantined that this node has to record now. @p decidedHere are those that it quarantined itself.
    [[nodiscard]] std::vector<std::uint64_t>
    dueRecords(const std::vector<quarantined_fingerprint> &quarantined, const std::set<std::uint64_t> &decidedHere, time_point now);

    /// The rows that this node has to remove now because their contents are no longer in @p quarantined.
    [[nodiscard]] std::vector<outdated_quarantine> outdatedRows(const std::vector<quarantined_fingerprint> &quarantined, time_point now);

private:
    struct record
    {
        row_version version = 0;
        std::optional<time_point> until; ///< End of the recorded quarantine; none while this node has not applied it.
    };

    [[nodiscard]] duration randomDelay();

    quarantine_records_options m_options;
    std::mt19937_64 m_generator;
    std::map<std::uint64_t, record> m_records;
    std::map<std::uint64_t, time_point> m_dueAt; ///< When to record each quarantine that has no row.
    std::map<std::uint64_t, time_point> m_removeAt; ///< When to remove each row whose content is not quarantined.
};

} // namespace banyan
