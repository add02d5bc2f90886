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
    duration ownerTimeout = std::chrono::seconds(2); ///< A node that has not been heard for so long has lost its jobs.
    duration fallbackDelay = std::chrono::seconds(2); ///< After so much longer any node takes a job, not just the first choice.
    duration nodeRetention = std::chrono::minutes(1); ///< For which nodes are remembered that are not registered and not heard.
};

/// The jobs of all nodes, as the store's changes tell of them, and which of them this node should take over.
///
/// A wrong guess that an owner is gone does no harm beyond runs that are repeated: the takeover is a conditional write, and
/// the old owner's next commit fails.
class job_directory
{
public:
    explicit job_directory(const job_directory_options &options);

    /// Takes in a job as it is stored; an older version than the one known is ignored.
    void update(const job_entry &entry);

    /// Takes in that a job's row is gone.
    void remove(const job_id &id);

    /// The job, if it is known.
    [[nodiscard]] const job_entry *find(const job_id &id) const;

    /// Notes that a node has been heard, and what it says of itself. One that has lost the store cannot record results: unless this
    /// node has lost it as well, the jobs of such a node are treated as those of one that has fallen silent.
    void recordReport(const node_id &node, time_point now, placing_state state = placing_state::Ready);

    /// Notes whether this node has the store.
    void setOwnState(placing_state state);

    /// Replaces the nodes that are registered. One that was and is not any more has ended, whenever it was last heard.
    void setRegistered(const std::set<node_id> &nodes);

    /// Says which nodes hear all others; the rest go by registrations alone.
    void setHubs(const report_hubs &hubs);

    /// Open jobs that this node should take over now, the oldest first.
    [[nodiscard]] std::vector<job_entry> dueForTakeover(time_point now);

    /// Open jobs that the store says this node owns.
    [[nodiscard]] std::vector<job_entry> owned() const;

    /// Tokens that the open jobs of a route still need.
    [[nodiscard]] std::uint64_t openTokens(const std::string &route) const;

    /// Jobs that were submitted before @p before.
    [[nodiscard]] std::vector<job_entry> submittedBefore(time_point before) const;

private:
    [[nodiscard]] bool isAlive(const node_id &owner, time_point now) const;
    [[nodiscard]] duration gracePeriod(const node_id &owner) const;
    [[nodiscard]] bool receivesAllReports() const;
    [[nodiscard]] bool isCandidate(const node_id &node, const job_entry &job, time_point now) const;
    [[nodiscard]] bool isFirstChoice(const job_entry &job, time_point now) const;
    void forgetGoneNodes(time_point now);
    void removeFromOpen(const job_entry &entry);

    job_directory_options m_options;
    std::unordered_map<job_id, job_entry> m_jobs;
    std::set<job_id> m_open; ///< Those of m_jobs that have work left.
    std::map<std::string, std::uint64_t> m_openTokens; ///< By route, over m_open.
    std::map<node_id, time_point> m_reportedAt; ///< When each could last record results.
    std::set<node_id> m_leaving; ///< Heard, and stopping.
    placing_state m_ownState = placing_state::Ready;
    std::set<node_id> m_registered;
    std::optional<std::set<node_id>> m_hubs; ///< None while all nodes hear all.
    std::set<node_id> m_deregistered; ///< Were registered, and are not any more.
    std::map<job_id, time_point> m_orphanedAt; ///< When this node first saw the job without a living owner.
};

} // namespace banyan
