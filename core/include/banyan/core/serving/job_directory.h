#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyan {

class report_hubs;

/// Options of a job_directory.
struct job_directory_options
{
    node_id self;
    duration ownerTimeout = std::chrono::seconds(2); ///< Time without an expected report after which the jobs of a node are taken over.
    duration fallbackDelay = std::chrono::seconds(2); ///< Further delay after which any node may take a job over.
    duration nodeRetention = std::chrono::minutes(1); ///< How long nodes are kept that are not registered and send no reports.
};

/// Holds the jobs of all nodes, updated from the changes of the store, and decides which of them this node should take over.
///
/// If an owner is wrongly taken for lost, the only harm is that runs are repeated: the takeover is a conditional write, and
/// the next commit of the old owner fails.
class job_directory
{
public:
    explicit job_directory(const job_directory_options &options);

    /// Adds or updates a job as it is stored; a version older than the current one is ignored.
    void update(const job_entry &entry);

    /// Removes a job whose row was deleted.
    void remove(const job_id &id);

    /// The job, or nullptr if no row of it has been observed.
    [[nodiscard]] const job_entry *find(const job_id &id) const;

    /// Records that a node has sent a report with @p state. A node that cannot reach the store cannot record results: unless this
    /// node cannot reach it either, the jobs of such a node are treated as those of an unresponsive one.
    void recordReport(const node_id &node, time_point now, scheduling_state state = scheduling_state::Ready);

    /// Sets the state of this node, which says whether it can reach the store.
    void setOwnState(scheduling_state state);

    /// Replaces the set of registered nodes. A node that is no longer registered has ended, whenever its last report came.
    void setRegistered(const std::set<node_id> &nodes);

    /// Sets the nodes that receive the reports of all others; the rest rely on registrations alone.
    void setHubs(const report_hubs &hubs);

    /// Records that this node could not observe others for a while, because it was suspended. All get the time of a new one to report.
    void resumed(time_point now);

    /// Open jobs that this node should take over now, the oldest first.
    [[nodiscard]] std::vector<job_entry> dueForTakeover(time_point now);

    /// Open jobs that this node owns according to the store.
    [[nodiscard]] std::vector<job_entry> owned() const;

    /// Tokens of the open jobs' items without a recorded result that count in a quota, see quotaName().
    [[nodiscard]] std::uint64_t openTokens(const std::string &quota) const;

    /// Jobs that were submitted before @p before.
    [[nodiscard]] std::vector<job_entry> submittedBefore(time_point before) const;

private:
    [[nodiscard]] bool isAlive(const node_id &owner, time_point now) const;
    [[nodiscard]] bool receivesAllReports() const;
    [[nodiscard]] bool receivesReportsOf(const node_id &node) const;
    void expectReports(time_point now);
    [[nodiscard]] bool isCandidate(const node_id &node, const job_entry &job, time_point now) const;
    [[nodiscard]] bool isFirstChoice(const job_entry &job, time_point now) const;
    void forgetGoneNodes(time_point now);
    void removeFromOpen(const job_entry &entry);

    job_directory_options m_options;
    std::unordered_map<job_id, job_entry> m_jobs;
    std::set<job_id> m_open; ///< The jobs in m_jobs that have work left.
    std::map<std::string, std::uint64_t> m_openTokens; ///< Sum of the remaining tokens of the jobs in m_open, by quota.
    std::map<node_id, time_point> m_reportedAt; ///< Time of the last report that says that the node can record results.
    std::set<node_id> m_leaving; ///< Nodes that have reported that they are shutting down.
    scheduling_state m_ownState = scheduling_state::Ready;
    std::set<node_id> m_registered;
    std::optional<std::set<node_id>> m_hubs; ///< None while every node receives the reports of all others.
    std::map<node_id, time_point> m_expectedSince; ///< Since when this node should receive the reports of a registered node.
    bool m_expectationsChanged = false; ///< Whether m_expectedSince has to follow new registrations or hubs.
    std::set<node_id> m_deregistered; ///< Nodes that were registered and no longer are.
    std::map<job_id, time_point> m_orphanedAt; ///< When this node first found the job without a live owner.
};

} // namespace banyan
