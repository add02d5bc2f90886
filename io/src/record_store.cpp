#include "record_store.h"

#include "banyan/io/log.h"
#include "record_codec.h"

#include <stdexcept>
#include <utility>

namespace banyan {

namespace {

std::optional<versioned_record> recordIn(const std::optional<row> &found)
{
    if (!found) {
        return std::nullopt;
    }
    return versioned_record{.key = found->key, .record = parseRecordRow(found->value), .version = found->version};
}

/// How a record ended whose row has no answer of an upstream.
run_answer answerOf(record_state state)
{
    run_answer answer;
    if (state == record_state::OutcomeUnknown) {
        answer.result = {.what = disposition::OutcomeUnknown, .reason = end_reason::AnswerLost};
    } else if (state == record_state::NotRun) {
        answer.result = {.what = disposition::NotRun, .reason = end_reason::RetriesExhausted};
    } else {
        answer.result = {.what = disposition::Failed, .reason = end_reason::AnswerLost};
    }
    return answer;
}

} // namespace

record_store::record_store(std::shared_ptr<node_store> store, std::size_t inlineBytes)
    : m_store(std::move(store))
    , m_inlineBytes(inlineBytes)
{
}

task<std::optional<versioned_record>> record_store::read(std::string key) const
{
    const std::shared_ptr<node_store> store = m_store;
    const std::optional<row> found = co_await store->read(std::move(key));
    co_return recordIn(found);
}

task<std::optional<versioned_record>> record_store::readPatiently(std::string key) const
{
    const std::shared_ptr<node_store> store = m_store;
    const std::optional<row> found = co_await store->readPatiently(std::move(key));
    co_return recordIn(found);
}

stored_payload record_store::payloadFor(const std::string &text, const std::string &objectName) const
{
    if (text.size() <= m_inlineBytes) {
        return {.text = text};
    }
    return {.objectName = objectName};
}

task<std::string> record_store::textOf(stored_payload payload) const
{
    if (payload.objectName.empty()) {
        co_return payload.text;
    }
    const std::shared_ptr<node_store> store = m_store;
    std::optional<std::string> bytes = co_await store->port().getObject(payload.objectName);
    co_return std::move(bytes).value_or(std::string());
}

task<stored_record> record_store::visible(versioned_record found) const
{
    if (!isFinal(found.record.state)) {
        co_return visibleRecord(found.key, found.record, std::nullopt);
    }
    const std::string text = co_await textOf(found.record.answer);
    if (text.empty()) {
        co_return visibleRecord(found.key, found.record, answerOf(found.record.state));
    }
    co_return visibleRecord(found.key, found.record, parseRunAnswer(text));
}

std::string record_store::requestObjectOf(const std::string &key, const std::string &unique)
{
    return key + "/request/" + unique;
}

std::string record_store::answerObjectOf(const std::string &key, const std::string &owner, std::uint64_t fencingNumber)
{
    return key + "/answer/" + owner + "-" + std::to_string(fencingNumber);
}

stored_record visibleRecord(const std::string &key, const record_row &record, std::optional<run_answer> answer)
{
    return {.key = key,
            .caller = record.caller,
            .idempotencyKey = record.idempotencyKey,
            .contentHash = record.contentHash,
            .state = record.state,
            .answer = std::move(answer)};
}

record_state stateAfter(const final_result &result)
{
    switch (result.what) {
    case disposition::Completed:
        return record_state::Completed;
    case disposition::NotRun:
        return record_state::NotRun;
    case disposition::OutcomeUnknown:
        return record_state::OutcomeUnknown;
    case disposition::Failed:
    case disposition::Cancelled:
        break;
    }
    return record_state::Failed;
}

} // namespace banyan
