#include "serving/job_records.h"

#include "banyan/io/clock.h"
#include "banyan/io/serving/serving_codec.h"
#include "serving_fixture.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration storeTime = 1000s;

item_checkpoint checkpointOf(const std::string &item, std::size_t bytes)
{
    std::string output;
    for (std::size_t position = 0; position < bytes; ++position) {
        output += static_cast<char>('a' + position % 23);
    }
    return {.item = item, .lastEvent = 1, .output = output};
}

/// The entry as stored, without conversion to the clock of this process.
job_entry storedEntry(const memory_store &store, const job_id &id)
{
    for (const std::string &part : job_records::parts()) {
        if (const std::optional<table_row> row = store.tables.find({.table = job_records::table(), .part = part, .key = id.text()})) {
            return decodeJobEntry(id, row->version, row->value).value();
        }
    }
    throw std::runtime_error("expected a row of job " + id.text() + ", found none");
}

} // namespace

TEST_CASE("job_records stores when a job was submitted by the store's clock, so that other processes see the same age")
{
    serving_fixture fixture;
    fixture.store.tables.clock = [] {
        return storeTime;
    };
    job_records records(fixture.store.port());
    const time_point submittedAt = currentTime();
    std::optional<job_entry> found;
    fixture.run([&]() -> task<> {
        job_entry entry{.id = job_id("j"), .submittedAt = submittedAt, .total = 2};
        std::vector<job_item> none;
        (void)co_await records.create(std::move(entry), std::move(none));
        found = co_await records.find(job_id("j"));
    });

    const duration stored = storedEntry(fixture.store, job_id("j")).submittedAt.time_since_epoch();
    INFO("stored at " << stored.count() << " us of the store's time, expected about " << storeTime.count());
    CHECK(stored > storeTime - 1h);
    CHECK(stored < storeTime + 1h);
    REQUIRE(found.has_value());
    CHECK(found->submittedAt >= submittedAt);
}

TEST_CASE("job_records says which checkpoints were stored: those that fit into a row")
{
    serving_fixture fixture;
    job_records records(fixture.store.port());
    std::optional<std::vector<item_checkpoint>> stored;
    std::vector<item_checkpoint> read;
    fixture.run([&]() -> task<> {
        job_entry entry{.id = job_id("j"), .total = 2};
        std::vector<job_item> none;
        entry.version = (co_await records.create(entry, std::move(none))).value();
        std::vector<item_checkpoint> checkpoints{checkpointOf("long", 100000), checkpointOf("short", 100)};
        stored = co_await records.saveCheckpoints(entry, false, std::move(checkpoints));
        read = co_await records.checkpoints(entry.id);
    });
    REQUIRE(stored.has_value());
    CHECK(*stored == std::vector<item_checkpoint>{checkpointOf("short", 100)});
    CHECK(read == *stored);
}

TEST_CASE("job_records stores no checkpoint of a job whose row has changed")
{
    serving_fixture fixture;
    job_records records(fixture.store.port());
    std::optional<std::vector<item_checkpoint>> stored;
    fixture.run([&]() -> task<> {
        job_entry entry{.id = job_id("j"), .total = 1};
        std::vector<job_item> none;
        entry.version = (co_await records.create(entry, std::move(none))).value();
        job_entry changed = entry;
        (void)co_await records.update(std::move(changed));
        std::vector<item_checkpoint> checkpoints{checkpointOf("a", 10)};
        stored = co_await records.saveCheckpoints(entry, false, std::move(checkpoints));
    });
    CHECK_FALSE(stored.has_value());
}
