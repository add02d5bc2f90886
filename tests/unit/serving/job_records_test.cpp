#include "serving/job_records.h"

#include "serving_fixture.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace banyan::tests;

namespace {

item_checkpoint checkpointOf(const std::string &item, std::size_t bytes)
{
    std::string output;
    for (std::size_t position = 0; position < bytes; ++position) {
        output += static_cast<char>('a' + position % 23);
    }
    return {.item = item, .lastEvent = 1, .output = output};
}

} // namespace

TEST_CASE("job_records says which checkpoints were stored: those that fit a row")
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
        stored = co_await records.saveProgress(entry, false, std::move(checkpoints));
        read = co_await records.progress(entry.id);
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
        stored = co_await records.saveProgress(entry, false, std::move(checkpoints));
    });
    CHECK_FALSE(stored.has_value());
}
