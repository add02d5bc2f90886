#include "result_copies.h"

#include "banyan/io/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <stdexcept>
#include <utility>

namespace banyan {

namespace {

/// Time for the owner to commit its result before a holder of a copy does.
constexpr duration ownersPrecedence = std::chrono::seconds(3);

} // namespace

result_copies::result_copies(asio::io_context &context, std::shared_ptr<record_store> records, std::size_t maximumBytes)
    : m_context(context)
    , m_records(std::move(records))
    , m_maximumBytes(maximumBytes)
{
}

void result_copies::keep(const std::string &recordKey, const std::string &encoded)
{
    if (m_held.contains(recordKey)) {
        return;
    }
    if (m_bytes + encoded.size() > m_maximumBytes) {
        logEvent(log_level::Warning, "result_copy_refused", {{"record", recordKey}, {"bytes", std::to_string(encoded.size())}});
        return;
    }
    try {
        m_held[recordKey] = {.copy = parseResultCopy(encoded), .bytes = encoded.size()};
    } catch (const std::invalid_argument &error) {
        logEvent(log_level::Warning, "result_copy_malformed", {{"record", recordKey}, {"error", error.what()}});
        return;
    }
    m_bytes += encoded.size();
    asio::co_spawn(m_context, commitWhenBack(shared_from_this(), recordKey), asio::detached);
}

void result_copies::forget(const std::string &recordKey)
{
    const auto found = m_held.find(recordKey);
    if (found != m_held.end()) {
        m_bytes -= found->second.bytes;
        m_held.erase(found);
    }
}

task<> result_copies::commitWhenBack(std::shared_ptr<result_copies> self, std::string recordKey)
{
    bool done = false;
    while (!done && self->m_held.contains(recordKey)) {
        co_await self->m_records->readPatiently(recordKey);
        co_await sleepUntil(self->m_records->store().port(), self->m_records->store().now() + ownersPrecedence);
        done = co_await self->tryCommit(recordKey);
    }
    self->forget(recordKey);
}

task<bool> result_copies::tryCommit(std::string recordKey)
{
    const std::optional<versioned_record> seen = co_await m_records->readPatiently(recordKey);
    const auto held = m_held.find(recordKey);
    if (held == m_held.end() || !seen) {
        co_return true;
    }
    record_end end = held->second.copy.end;
    const std::string text = end.answer.text;
    end.answer = m_records->payloadFor(text, record_store::answerObjectOf(recordKey, end.owner, end.fencingNumber));
    const auto change = finishRecord(*seen, end, m_records->store().now());
    if (!change) {
        co_return true;
    }
    if (!end.answer.objectName.empty()) {
        co_await m_records->store().putPatiently(end.answer.objectName, text);
    }
    const commit_outcome outcome = co_await m_records->store().commit(change->item);
    if (outcome.status == commit_status::Committed) {
        logEvent(log_level::Info, "result_committed_from_copy", {{"record", recordKey}});
    }
    co_return outcome.status == commit_status::Committed;
}

} // namespace banyan
