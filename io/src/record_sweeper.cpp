#include "record_sweeper.h"

#include "banyan/core/lease_takeover.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace banyan {

namespace {

constexpr unsigned partitions = 256;
constexpr std::size_t pageSize = 100;

std::string prefixOf(unsigned partition)
{
    constexpr const char *digits = "0123456789abcdef";
    return std::string(recordPrefix) + digits[partition / 16] + digits[partition % 16];
}

} // namespace

record_sweeper::record_sweeper(asio::io_context &context, std::shared_ptr<record_store> records, record_service_options options)
    : m_context(context)
    , m_records(std::move(records))
    , m_options(std::move(options))
    , m_liveNodes({m_options.node})
{
}

void record_sweeper::start()
{
    asio::co_spawn(m_context, sweepRepeatedly(shared_from_this()), asio::detached);
}

void record_sweeper::stop()
{
    m_stopped = true;
}

void record_sweeper::setLiveNodes(std::vector<node_id> nodes)
{
    m_liveNodes = std::move(nodes);
}

void record_sweeper::nextPartition()
{
    m_partition = (m_partition + 1) % partitions;
    m_after.clear();
}

task<> record_sweeper::sweepRepeatedly(std::shared_ptr<record_sweeper> self)
{
    while (!self->m_stopped) {
        co_await sleepUntil(self->m_records->store().port(), self->m_records->store().now() + self->m_options.sweepInterval);
        co_await self->m_records->store().waitUntilAvailable();
        try {
            co_await self->sweepPage();
        } catch (const std::exception &error) {
            logEvent(log_level::Debug, "sweep_failed", {{"error", error.what()}});
        }
    }
}

task<> record_sweeper::sweepPage()
{
    for (unsigned skipped = 0; skipped < partitions && m_after.empty(); ++skipped) {
        if (takeoverRank(prefixOf(m_partition), m_options.node, m_liveNodes) == 0) {
            break;
        }
        nextPartition();
    }
    const row_page page = co_await m_records->store().port().scan(prefixOf(m_partition), m_after, pageSize);
    for (const row &found : page.rows) {
        m_after = found.key;
        versioned_record record{.key = found.key, .record = parseRecordRow(found.value), .version = found.version};
        co_await expire(std::move(record));
    }
    if (!page.more || page.rows.empty()) {
        nextPartition();
    }
}

task<> record_sweeper::expire(versioned_record found)
{
    std::optional<commit_item> deletion = deleteExpiredRecord(found, m_records->store().now() - m_options.retention);
    if (!deletion) {
        co_return;
    }
    deletion->rejectWhenUnavailable = true;
    const commit_outcome outcome = co_await m_records->store().commit(std::move(*deletion));
    if (outcome.status != commit_status::Committed) {
        co_return;
    }
    for (const stored_payload &payload : {found.record.request, found.record.answer}) {
        if (!payload.objectName.empty()) {
            co_await m_records->store().port().deleteObject(payload.objectName);
        }
    }
}

} // namespace banyan
