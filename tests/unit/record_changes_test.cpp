#include "banyan/core/record_changes.h"

#include <catch2/catch.hpp>

using namespace banyan;

namespace {

constexpr std::uint64_t fencing = 4;

versioned_record recordIn(record_state state, bool repeatable = false)
{
    return {.key = "record/k",
            .record = {.contentHash = "hash", .repeatable = repeatable, .state = state, .owner = "n1", .fencingNumber = fencing},
            .version = 9};
}

record_end endBy(const std::string &owner, std::uint64_t fencingNumber)
{
    return {.owner = owner, .fencingNumber = fencingNumber, .state = record_state::Completed, .answer = {.text = "{}"}};
}

constexpr record_state finalStates[] = {record_state::Completed, record_state::NotRun, record_state::Failed, record_state::OutcomeUnknown};

} // namespace

TEST_CASE("every change of a record requires the version that was read")
{
    const auto change = startRecord(recordIn(record_state::Accepted), fencing, "n2/1", {});
    REQUIRE(change);
    CHECK(change->item.conditions == std::vector<row_condition>{{.key = "record/k", .version = 9}});
    CHECK(acceptRecord("record/k", {}).item.conditions == std::vector<row_condition>{{.key = "record/k", .version = 0}});
}

TEST_CASE("a record is started only once and only under its own fencing number")
{
    CHECK(startRecord(recordIn(record_state::Accepted), fencing, "n2/1", {}));
    CHECK_FALSE(startRecord(recordIn(record_state::Accepted), fencing - 1, "n2/1", {}));
    CHECK_FALSE(startRecord(recordIn(record_state::Started), fencing, "n2/1", {}));
    for (const record_state state : finalStates) {
        CHECK_FALSE(startRecord(recordIn(state), fencing, "n2/1", {}));
    }
}

TEST_CASE("a record is finished only once, by its owner or by the node that started it, under its fencing number")
{
    CHECK(finishRecord(recordIn(record_state::Accepted), endBy("n1", fencing), {}));
    CHECK_FALSE(finishRecord(recordIn(record_state::Accepted), endBy("n2", fencing), {}));
    CHECK_FALSE(finishRecord(recordIn(record_state::Accepted), endBy("n1", fencing - 1), {}));
    CHECK(finishStartedRecord(recordIn(record_state::Started), endBy("n2", fencing), {}));
    CHECK_FALSE(finishStartedRecord(recordIn(record_state::Accepted), endBy("n2", fencing), {}));
    CHECK_FALSE(finishStartedRecord(recordIn(record_state::Started), endBy("n2", fencing - 1), {}));
    for (const record_state state : finalStates) {
        CHECK_FALSE(finishRecord(recordIn(state), endBy("n1", fencing), {}));
        CHECK_FALSE(finishStartedRecord(recordIn(state), endBy("n1", fencing), {}));
    }
}

TEST_CASE("a takeover raises the fencing number unless the start is recorded")
{
    const auto accepted = takeOverRecord(recordIn(record_state::Accepted), "n1", "n3", {});
    REQUIRE(accepted);
    CHECK(accepted->after.owner == "n3");
    CHECK(accepted->after.fencingNumber == fencing + 1);
    CHECK_FALSE(accepted->after.mayHaveRun);
    const auto started = takeOverRecord(recordIn(record_state::Started), "n1", "n3", {});
    REQUIRE(started);
    CHECK(started->after.state == record_state::Started);
    CHECK(started->after.fencingNumber == fencing);
    CHECK(takeOverRecord(recordIn(record_state::Accepted, true), "n1", "n3", {})->after.mayHaveRun);
    CHECK_FALSE(takeOverRecord(recordIn(record_state::Accepted), "n2", "n3", {}));
    CHECK_FALSE(takeOverRecord(recordIn(record_state::Completed), "n1", "n3", {}));
}

TEST_CASE("a started record is run again only if the node that started it reported that it was not run")
{
    CHECK(runRecordAgain(recordIn(record_state::Accepted), "n1", fencing, false, {}));
    CHECK_FALSE(runRecordAgain(recordIn(record_state::Started), "n1", fencing, false, {}));
    CHECK(runRecordAgain(recordIn(record_state::Started), "n1", fencing, true, {}));
    CHECK_FALSE(runRecordAgain(recordIn(record_state::Started), "n2", fencing, true, {}));
}

TEST_CASE("only a record that was not run is accepted again, with the same content and a higher fencing number")
{
    const auto again = acceptRecordAgain(recordIn(record_state::NotRun), {.contentHash = "hash", .owner = "n2"});
    REQUIRE(again);
    CHECK(again->after.fencingNumber == fencing + 1);
    CHECK_FALSE(acceptRecordAgain(recordIn(record_state::NotRun), {.contentHash = "other"}));
    CHECK_FALSE(acceptRecordAgain(recordIn(record_state::Completed), {.contentHash = "hash"}));
    CHECK_FALSE(acceptRecordAgain(recordIn(record_state::OutcomeUnknown), {.contentHash = "hash"}));
}

TEST_CASE("only records that have been final for the retention time are deleted")
{
    const time_point later = time_point() + std::chrono::hours(1);
    CHECK(deleteExpiredRecord(recordIn(record_state::Completed), later));
    CHECK_FALSE(deleteExpiredRecord(recordIn(record_state::Completed), time_point()));
    CHECK_FALSE(deleteExpiredRecord(recordIn(record_state::Started), later));
}

TEST_CASE("a record's row is parsed to the record that was written")
{
    record_row record = recordIn(record_state::Started, true).record;
    record.caller = caller_id("niebla");
    record.idempotencyKey = "k \"1\"";
    record.mayHaveRun = true;
    record.request = {.objectName = "record/k/request/1"};
    record.answer = {.text = "{\"a\":1}"};
    record.changedAt = time_point() + std::chrono::seconds(5);
    CHECK(parseRecordRow(encodeRecordRow(record)) == record);
}
