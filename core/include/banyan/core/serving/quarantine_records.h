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

/// Options of a stop_records.
struct quarantine_records_options
{
    duration fallbackDelay = std::chrono::seconds(2); ///< After which other nodes record a stop in place of the one that decided it.
    duration jitter = std::chrono::seconds(2); ///< Over which nodes that do the same spread it, so that mostly one does.
    duration unmatchedRowRetention = std::chrono::minutes(10); ///< For which a row is left to others whose stop this node does not keep to.
    std::size_t maximumRecords = 1000; ///< Rows in the store; more stops stay with the nodes that know them.
};

/// A row to be removed, unless it has been written again.
struct outdated_quarantine
{
    std::uint64_t fingerprint = 0;
    row_version version = 0;

    auto operator<=>(const outdated_quarantine &) const = default;
};

/// Which stopped contents a node has to record in the store, for nodes that start later or hear of nothing else, and which
/// rows it has to remove.
///
/// The node that decided a stop records it at once, another one if no row has appeared after a while. Rows hold no times:
/// each node counts a stop's time from when it sees the row, so that no clocks are compared.
class quarantine_records
{
public:
    quarantine_records(const quarantine_records_options &options, std::uint64_t seed);

    /// Takes in a row. Returns whether it is new or written again.
    bool addRow(std::uint64_t fingerprint, row_version version);

    /// Takes in that a row is gone.
    void removeRow(std::uint64_t fingerprint);

    /// Every row that is known.
    [[nodiscard]] std::set<std::uint64_t> recordedFingerprints() const;

    /// The stops among @p stopped that this node has to record now. @p decidedHere are those that it has decided itself.
    [[nodiscard]] std::vector<std::uint64_t>
    dueRecords(const std::vector<quarantined_fingerprint> &quarantined, const std::set<std::uint64_t> &decidedHere, time_point now);

    /// The rows that this node has to remove now, since their contents are not in @p stopped any more.
    [[nodiscard]] std::vector<outdated_quarantine> outdatedRows(const std::vector<quarantined_fingerprint> &quarantined, time_point now);

private:
    struct record
    {
        row_version version = 0;
        std::optional<time_point> until; ///< Of the stop that the row stands for; none while this node does not keep to it.
    };

    [[nodiscard]] duration randomDelay();

    quarantine_records_options m_options;
    std::mt19937_64 m_generator;
    std::map<std::uint64_t, record> m_records;
    std::map<std::uint64_t, time_point> m_dueAt; ///< Of stops without a row.
    std::map<std::uint64_t, time_point> m_removeAt; ///< Of rows without a stop.
};

} // namespace banyan
