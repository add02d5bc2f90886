#pragma once

#include "banyan/core/lease_observer.h"
#include "banyan/core/lease_row.h"
#include "banyan/io/record_service_options.h"
#include "record_executor.h"
#include "record_store.h"

#include <cstddef>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace banyan {

/// Finds leases of nodes that are gone and takes their records over: claims the lease, so that one node does it and the
/// former holder can commit nothing any more, then moves each record with a conditional write and runs it.
class lease_recovery : public std::enable_shared_from_this<lease_recovery>
{
public:
    lease_recovery(asio::io_context &context,
                   std::shared_ptr<record_store> records,
                   std::shared_ptr<record_executor> executor,
                   record_service_options options);

    /// Looks for lapsed leases until stop().
    void start();
    void stop();

    /// Tells which nodes are live. A node that has left is looked at by those first in line to take its records over.
    void setLiveNodes(std::vector<node_id> nodes);

private:
    static task<> scanRepeatedly(std::shared_ptr<lease_recovery> self);
    static task<> watchLost(std::shared_ptr<lease_recovery> self, node_id lost);
    static task<> takeOver(std::shared_ptr<lease_recovery> self, row lapsed);
    task<> scan(std::string prefix, bool whole);
    void examine(const row &lease, time_point readAt);
    [[nodiscard]] bool mayBeClaimed(const row &lease, const lease_row &value) const;
    [[nodiscard]] duration scanPeriod();
    void removeIdle(const row &lease);
    task<bool> takeOverClaimed(std::string leaseKey, row_version claimed);
    task<std::vector<std::string>> takeOverListed(std::string lostHolder);
    static task<> takeOverOrCount(std::shared_ptr<lease_recovery> self,
                                  std::string recordKey,
                                  std::string lostHolder,
                                  std::shared_ptr<std::size_t> failures);
    task<bool> takeOverOne(std::string recordKey, std::string lostHolder);

    asio::io_context &m_context;
    std::shared_ptr<record_store> m_records;
    std::shared_ptr<record_executor> m_executor;
    record_service_options m_options;
    lease_observer m_observer;
    std::vector<node_id> m_liveNodes;
    std::set<std::string> m_claiming; ///< Leases that are being taken over here.
    std::minstd_rand m_random;
    bool m_stopped = false;
};

} // namespace banyan
