#include "banyan/core/serving/stop_records.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t content = 7;
const time_point start(1000s);
const std::vector<stopped_fingerprint> stops = {{.fingerprint = content, .until = start + 60s}};
const std::vector<std::uint64_t> onlyContent = {content};

} // namespace

TEST_CASE("stop_records records a stop at once where it was decided")
{
    stop_records records({}, 1);
    CHECK(records.due(stops, {content}, start) == onlyContent);
    records.stored(content, 5);
    CHECK(records.due(stops, {content}, start).empty());
}

TEST_CASE("stop_records records a stop in place of a node that has not done it")
{
    stop_records records({.standInDelay = 2s, .spread = 2s}, 1);
    CHECK(records.due(stops, {}, start).empty());
    CHECK(records.due(stops, {}, start + 1999ms).empty());
    CHECK(records.due(stops, {}, start + 4s) == onlyContent);
    CHECK(records.due(stops, {}, start + 5s) == onlyContent); // The commit may have failed.
}

TEST_CASE("stop_records does not record a stop whose row appears in time")
{
    stop_records records({}, 1);
    CHECK(records.due(stops, {}, start).empty());
    CHECK(records.stored(content, 5));
    CHECK_FALSE(records.stored(content, 5));
    CHECK(records.due(stops, {}, start + 10s).empty());
}

TEST_CASE("stop_records records a content again that is stopped again while its row is there")
{
    stop_records records({}, 1);
    records.stored(content, 5);
    CHECK(records.due(stops, {content}, start).empty());
    const std::vector<stopped_fingerprint> again = {{.fingerprint = content, .until = start + 200s}};
    CHECK(records.due(again, {content}, start + 61s) == onlyContent);
    CHECK(records.stored(content, 9));
    CHECK(records.due(again, {content}, start + 62s).empty());
}

TEST_CASE("stop_records removes a row some time after its stop has ended, by its version")
{
    stop_records records({.spread = 2s}, 1);
    records.stored(content, 5);
    CHECK(records.due(stops, {}, start).empty());
    CHECK(records.outdated(stops, start).empty());
    const std::vector<outdated_stop> expected = {{.fingerprint = content, .version = 5}};
    (void)records.outdated({}, start + 60s);
    CHECK(records.outdated({}, start + 62s) == expected);
    records.removed(content);
    CHECK(records.outdated({}, start + 63s).empty());
}

TEST_CASE("stop_records bounds the rows in the store")
{
    stop_records records({.mostRecords = 2}, 1);
    std::vector<stopped_fingerprint> many;
    std::set<std::uint64_t> here;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        many.push_back({.fingerprint = number, .until = start + 60s});
        here.insert(number);
    }
    CHECK(records.due(many, here, start).size() == 2);
}

TEST_CASE("stop_records leaves a row to the nodes that keep to its stop")
{
    stop_records records({.abandonedAfter = 600s}, 1);
    records.stored(content, 5); // The content is innocent here.
    CHECK(records.outdated({}, start).empty());
    CHECK(records.outdated({}, start + 599s).empty());
    CHECK(records.outdated({}, start + 600s).size() == 1);
}
