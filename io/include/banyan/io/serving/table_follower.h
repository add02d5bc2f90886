#pragma once

#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/serving/table_store.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace banyan {

/// Options of a table_follower.
struct table_follower_options
{
    std::string table;
    std::vector<std::string> parts = {""};
    duration pause = std::chrono::milliseconds(100); ///< Between two calls, so that one call returns many changes.
    duration wait = std::chrono::milliseconds(1500); ///< Longest wait for a change; an unresponsive connection is detected soon after.
    duration confirmationDelay = std::chrono::milliseconds(40); ///< As retryDelay, after the first failure in a row.
    duration retryDelay = std::chrono::milliseconds(250); ///< Mean delay after a failed call, with a jitter of up to half of it.
};

/// Callbacks of a table_follower.
struct table_observer
{
    std::function<void(const std::vector<table_row> &rows)> onSnapshot; ///< All rows of the table; rows that are missing have been removed.
    /// Called before the changes of a call are passed to onChange: all of them were made at @p since or later.
    std::function<void(time_point since)> onChangesRead;
    std::function<void(const table_row &row)> onChange;
    std::function<void()> onChangesApplied; ///< Called after the changes returned by one call have been passed to onChange.
    /// All changes that were made before @p begunAt have been passed on; @p begunAt is when a successful call began.
    std::function<void(time_point begunAt)> onRead;
    std::function<void()> onLost; ///< The store has stopped answering: two calls in a row have failed.
    std::function<void()> onRegained; ///< The store answers again; called before onSnapshot.
};

/// Follows a table of the store: reads all rows, then the changes, and all rows again when changes may have been missed.
class table_follower
{
public:
    table_follower(asio::io_context &context, table_store store, table_follower_options options, table_observer observer);

    /// Follows the table until the process ends.
    [[nodiscard]] task<> run();

    /// Applies the changes up to now without waiting for the next regular call. Returns whether the rows are complete then.
    /// @throws platform_unavailable
    [[nodiscard]] task<bool> refresh();

    /// Whether the rows are complete and the last regular call succeeded.
    [[nodiscard]] bool isCurrent() const
    {
        return m_failures == 0 && !m_historyLost;
    }

    /// Whether the store answers, as far as this follower knows.
    [[nodiscard]] bool available() const
    {
        return m_available;
    }

private:
    task<> readAll();
    task<> followChanges();
    void applyChanges(const table_changes &changes, time_point since, time_point calledAt);
    task<> sleep(duration time);
    void recordCallSuccess();
    void recordCallFailure(const std::string &reason);

    asio::io_context &m_context;
    table_store m_store;
    table_follower_options m_options;
    table_observer m_observer;
    row_version m_version = 0;
    time_point m_versionSince; ///< The store had m_version at that time or later.
    std::uint32_t m_failures = 0; ///< Failed calls since the last one that succeeded.
    bool m_available = true;
    bool m_historyLost = true;
};

} // namespace banyan
