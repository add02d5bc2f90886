#pragma once

#include "table.h"

#include "banyan/core/time.h"
#include "banyan/io/http_server.h"

#include <boost/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace banyan::standins {

/// Options of a platform_standin.
struct platform_options
{
    std::size_t weightBytes = 4096; ///< Size of each weight file.
    std::size_t weightsPerSecond = 2; ///< Weight files given out in a second.
};

/// The platform of docs/PLATFORM.md in memory, with faults that a test switches on.
class platform_standin
{
public:
    explicit platform_standin(const platform_options &options)
        : m_options(options)
    {
    }

    void addRoutes(http_server &server);

private:
    /// The list of VMs as it was set at a time.
    struct published_list
    {
        time_point since;
        boost::json::value list;
    };

    struct fault_switches
    {
        bool down = false;
        duration delay{};
        std::uint64_t loseAnswers = 0; ///< How many more changes take effect without an answer.
        duration vmListLag{};
    };

    struct counters
    {
        std::uint64_t commits = 0;
        std::uint64_t failedCommits = 0;
        std::uint64_t reads = 0;
        std::uint64_t scans = 0;
        std::uint64_t objectWrites = 0;
        std::uint64_t objectReads = 0;
    };

    /// Adds a route that the faults "down" and "delay_ms" apply to.
    void addFaultyRoute(http_server &server, const std::string &method, const std::string &pattern, http_handler handler);

    task<> handleCommit(http_exchange &exchange);
    task<> handleRow(http_exchange &exchange);
    task<> handleScan(http_exchange &exchange);
    task<> handlePutObject(http_exchange &exchange);
    task<> handleGetObject(http_exchange &exchange);
    task<> handleDeleteObject(http_exchange &exchange);
    task<> handleListVms(http_exchange &exchange);
    task<> handleWeights(http_exchange &exchange);
    task<> handleFaults(http_exchange &exchange);
    task<> handleSetVms(http_exchange &exchange);
    task<> handleCounts(http_exchange &exchange);

    /// Sends @p response, or closes the connection instead while answers are to be lost.
    task<> respondToChange(http_exchange &exchange, http_response response);
    [[nodiscard]] boost::json::object counts() const;
    [[nodiscard]] boost::json::value vmListSeenAt(time_point now) const;
    [[nodiscard]] bool takeWeightPermit(time_point now);

    platform_options m_options;
    table m_table;
    std::map<std::string, std::string> m_objects;
    std::deque<published_list> m_lists;
    std::deque<time_point> m_weightReads; ///< Within the last second.
    fault_switches m_faults;
    counters m_counters;
};

} // namespace banyan::standins
