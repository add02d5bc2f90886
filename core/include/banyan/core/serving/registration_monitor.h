#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/registered_gateway.h"
#include "banyan/core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

class report_hubs;

/// Options of a registration_monitor.
struct registration_monitor_options
{
    node_id self;
    duration silence =
        std::chrono::seconds(2); ///< Time without a report after which a node is called; report_hubs::reportTimeout() if longer.
    duration answerTime = std::chrono::seconds(3); ///< For a call to be read and answered through the store.
    duration spread = std::chrono::milliseconds(500); ///< Nodes act up to this much later, by their id, so that one acts for all.
    duration callLifetime = std::chrono::seconds(10); ///< After which a call of a node that cannot answer is repeated.
    duration pauseAfterAnswer = std::chrono::seconds(10); ///< In which a node that has answered is not called again by this one.
};

/// What a node should change in the registrations now, by the keys of their rows.
struct registration_review
{
    std::vector<std::string> removals; ///< Nodes that are gone.
    std::vector<std::string> calls; ///< Nodes that have to show that they live. To be made only if all removals succeed.

    [[nodiscard]] bool isEmpty() const
    {
        return removals.empty() && calls.empty();
    }
};

/// Finds registered nodes that are gone, so that decisions which all nodes take from the registrations stay sound.
///
/// Load pattern: nodes that are lost for good, and leave rows that nobody removes. Hubs are chosen from the rows, so that the loss
/// of all hubs would leave a large fleet without any.
///
/// Silence alone proves nothing: the path between two nodes may be cut. So a silent node is called: its row is marked, which it
/// answers by writing its row anew. The row of a node that does not answer is removed; a node that lives after all finds
/// its row missing and registers again. Nodes whose build does not know calls are removed only by a second node that misses their
/// reports too.
///
/// Nodes that are not hubs get the reports of hubs only. Such a node that hears nobody, and that no hub has answered, calls
/// everyone, so that any number of lost nodes is found in one round.
class registration_monitor
{
public:
    explicit registration_monitor(const registration_monitor_options &options);

    /// Replaces the registrations, by the keys of their rows. @p hubs are those chosen from the same rows.
    void setRegistered(const std::map<std::string, registered_gateway> &gateways, const report_hubs &hubs, time_point now);

    /// Records that a node has sent a report.
    void recordReport(const node_id &node, time_point now);

    /// Records that this node could not observe others for a while: it was suspended, or the store did not answer.
    void resumed(time_point now);

    /// What is due now.
    [[nodiscard]] registration_review review(time_point now) const;

private:
    struct observed_row
    {
        registered_gateway gateway;
        bool isHub = false;
        std::optional<time_point> calledAt; ///< When this node observed the call.
        std::optional<time_point> answeredAt; ///< When this node observed the last answer.
        std::optional<time_point> expectedSince; ///< Since when this node should get reports of the other.
    };

    [[nodiscard]] std::optional<time_point> heardAt(const observed_row &row) const;
    [[nodiscard]] bool isSilent(const observed_row &row, time_point now) const;
    [[nodiscard]] bool hasOpenCall(const observed_row &row, time_point now) const;
    [[nodiscard]] bool isGone(const observed_row &row, time_point now) const;
    [[nodiscard]] bool mayCall(const observed_row &row, time_point now) const;
    [[nodiscard]] bool missesAllHubs(time_point now) const;

    registration_monitor_options m_options;
    duration m_delay; ///< Of this node's actions, see registration_monitor_options::spread.
    duration m_silence;
    bool m_hearsHubsOnly = false;
    time_point m_heardAnyAt; ///< Time of the last report of any node, or since when reports are expected.
    std::map<std::string, observed_row> m_rows; ///< Of other nodes.
    std::map<node_id, time_point> m_heardAt; ///< Time of the last report.
};

} // namespace banyan
