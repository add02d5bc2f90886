#pragma once

#include "banyan/io/asio_types.h"
#include "banyan/io/serving/table_store.h"

#include <functional>
#include <string>
#include <vector>

namespace banyan {

/// Options of a table_follower.
struct table_follower_options
{
    std::string table;
    std::vector<std::string> parts = {""};
    duration pause = std::chrono::milliseconds(100); ///< Between two calls, so that many changes cost one call.
    duration wait = std::chrono::milliseconds(1500); ///< For a change; a silent connection is found out soon after.
    duration retryDelay = std::chrono::milliseconds(250); ///< After a call that failed; varied by half of it.
};

/// What a table_follower tells of its table.
struct table_observer
{
    std::function<void(const std::vector<table_row> &rows)> onSnapshot; ///< Every row there is; all others are gone.
    std::function<void(const table_row &row)> onChange;
    std::function<void()> onChangesApplied; ///< After the changes that one call has brought.
    std::function<void()> onLost; ///< The store does not answer.
    std::function<void()> onRegained; ///< It answers again; comes before the rows.
};

/// Follows a table of the store: reads it whole, then its changes, and again whole when changes are missing.
class table_follower
{
public:
    table_follower(asio::io_context &context, table_store store, table_follower_options options, table_observer observer);

    /// Follows until the process ends.
    [[nodiscard]] task<> run();

    /// Takes in changes up to now, without waiting for the next regular call. @throws platform_unavailable
    [[nodiscard]] task<> refresh();

    /// Whether the table has been read and the last call was answered.
    [[nodiscard]] bool isCurrent() const
    {
        return m_available && !m_historyLost;
    }

    /// Whether the last call was answered.
    [[nodiscard]] bool available() const
    {
        return m_available;
    }

private:
    task<> readAll();
    task<> followChanges();
    void applyChanges(const table_changes &changes);
    task<> sleep(duration time);
    void recordCallSuccess();
    void recordCallFailure(const std::string &reason);

    asio::io_context &m_context;
    table_store m_store;
    table_follower_options m_options;
    table_observer m_observer;
    row_version m_version = 0;
    bool m_available = true;
    bool m_historyLost = true;
};

} // namespace banyan
