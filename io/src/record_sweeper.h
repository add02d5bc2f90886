#pragma once

#include "banyan/core/identifier.h"
#include "banyan/io/record_service_options.h"
#include "record_store.h"

#include <memory>
#include <string>
#include <vector>

namespace banyan {

/// Deletes records whose retention is over. The records are divided among the live nodes by their keys; two nodes that
/// disagree do no harm, since each deletion is conditional on the record as read.
class record_sweeper : public std::enable_shared_from_this<record_sweeper>
{
public:
    record_sweeper(asio::io_context &context, std::shared_ptr<record_store> records, record_service_options options);

    /// Checks one page of records after another until stop().
    void start();
    void stop();

    void setLiveNodes(std::vector<node_id> nodes);

private:
    static task<> sweepRepeatedly(std::shared_ptr<record_sweeper> self);
    task<> sweepPage();
    task<> expire(versioned_record found);
    void nextPartition();

    asio::io_context &m_context;
    std::shared_ptr<record_store> m_records;
    record_service_options m_options;
    std::vector<node_id> m_liveNodes;
    unsigned m_partition = 0; ///< First two hexadecimal digits of the records' hashes.
    std::string m_after;
    bool m_stopped = false;
};

} // namespace banyan
