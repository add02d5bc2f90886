#include "banyan/core/serving/quarantine_records.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t content = 7;
const time_point start(1000s);
const std::vector<quarantined_fingerprint> stops = {{.fingerprint = content, .until = start + 60s}};
const std::vector<std::uint64_t> onlyContent = {content};

} // namespace

TEST_CASE("quarantine_records records a quarantine at once on the node that decided it")
{
    quarantine_records records({}, 1);
    CHECK(records.dueRecords(stops, {content}, start) == onlyContent);
    records.addRow(content, 5);
    CHECK(records.dueRecords(stops, {content}, start).empty());
}

TEST_CASE("quarantine_records records a quarantine in place of a node that has not recorded it")
{
    quarantine_records records({.fallbackDelay = 2s, .jitter = 2s}, 1);
    CHECK(records.dueRecords(stops, {}, start).empty());
    CHECK(records.dueRecords(stops, {}, start + 1999ms).empty());
    CHECK(records.dueRecords(stops, {}, start + 4s) == onlyContent);
    CHECK(records.dueRecords(stops, {}, start + 5s) == onlyContent); // The commit may have failed.
}

TEST_CASE("quarantine_records does not record a quarantine whose row appears in time")
{
    quarantine_records records({}, 1);
    CHECK(records.dueRecords(stops, {}, start).empty());
    CHECK(records.addRow(content, 5));
    CHECK_FALSE(records.addRow(content, 5));
    CHECK(records.dueRecords(stops, {}, start + 10s).empty());
}

TEST_CASE("quarantine_records records a content again that is quarantined again while its row exists")
{
    quarantine_records records({}, 1);
    records.addRow(content, 5);
    CHECK(records.dueRecords(stops, {content}, start).empty());
    const std::vector<quarantined_fingerprint> again = {{.fingerprint = content, .until = start + 200s}};
    CHECK(records.dueRecords(again, {content}, start + 61s) == onlyContent);
    CHECK(records.addRow(content, 9));
    CHECK(records.dueRecords(again, {content}, start + 62s).empty());
}

TEST_CASE("quarantine_records removes a row by its version some time after its quarantine has ended")
{
    quarantine_records records({.jitter = 2s}, 1);
    records.addRow(content, 5);
    CHECK(records.dueRecords(stops, {}, start).empty());
    CHECK(records.outdatedRows(stops, start).empty());
    const std::vector<outdated_quarantine> expected = {{.fingerprint = content, .version = 5}};
    (void)records.outdatedRows({}, start + 60s);
    CHECK(records.outdatedRows({}, start + 62s) == expected);
    records.removeRow(content);
    CHECK(records.outdatedRows({}, start + 63s).empty());
}

TEST_CASE("quarantine_records bounds the rows in the store")
{
    quarantine_records records({.maximumRecords = 2}, 1);
    std::vector<quarantined_fingerprint> many;
    std::set<std::uint64_t> here;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        many.push_back({.fingerprint = number, .until = start + 60s});
        here.insert(number);
    }
    CHECK(records.dueRecords(many, here, start).size() == 2);
}

TEST_CASE("quarantine_records leaves a row to the nodes that apply its quarantine")
{
    quarantine_records records({.unmatchedRowRetention = 600s}, 1);
    records.addRow(content, 5); // The content is exempt on this node.
    CHECK(records.outdatedRows({}, start).empty());
    CHECK(records.outdatedRows({}, start + 599s).empty());
    CHECK(records.outdatedRows({}, start + 600s).size() == 1);
}
