#include "serving/content_quarantine.h"

#include "serving_fixture.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t part = 66;

/// A content_quarantine of a node that has stopped one part, and the store.
struct quarantine_fixture : serving_fixture
{
    std::string text = "part 1 2";
    std::vector<std::string> applied; ///< Texts of the rows that were read.
    std::vector<std::uint64_t> withdrawn; ///< Keys of the rows that are gone.
    std::shared_ptr<content_quarantine> quarantine = std::make_shared<content_quarantine>(
        content_quarantine_ports{.context = context,
                                 .store = store.port(),
                                 .self = node_id("n1"),
                                 .quarantined =
                                     [until = currentTime() + 60s](time_point) {
                                         return std::vector<quarantined_fingerprint>{{.fingerprint = part, .until = until}};
                                     },
                                 .locallyQuarantined =
                                     [] {
                                         return std::set<std::uint64_t>{part};
                                     },
                                 .rowText =
                                     [this](std::uint64_t) {
                                         return text;
                                     },
                                 .quarantine =
                                     [this](std::uint64_t, const std::string &rowText, time_point) {
                                         applied.push_back(rowText);
                                     },
                                 .withdraw =
                                     [this](std::uint64_t fingerprint) {
                                         withdrawn.push_back(fingerprint);
                                     }});

    /// Lets the node record what is due, and returns the part's row.
    std::string rowAfterHousekeeping()
    {
        run([&]() -> task<> {
            for (int round = 0; round < 8; ++round) {
                quarantine->housekeep(currentTime());
                co_await sleep(100ms);
            }
        });
        const table_page page = store.tables.read({.table = "stopped_contents", .part = "", .from = {}, .to = {}, .limit = 10});
        REQUIRE(page.rows.size() == 1);
        return page.rows.front().value;
    }
};

} // namespace

TEST_CASE("content_quarantine records which parts were stopped together, and again when fewer are")
{
    quarantine_fixture fixture;
    fixture.quarantine->start();
    CHECK(fixture.rowAfterHousekeeping() == "part 1 2 by n1");
    fixture.text = "part 1";
    CHECK(fixture.rowAfterHousekeeping() == "part 1 by n1");
    fixture.text = "part 1 2"; // Knows less than the row.
    CHECK(fixture.rowAfterHousekeeping() == "part 1 by n1");
}

TEST_CASE("content_quarantine withdraws what a row has stopped when another node removes the row")
{
    quarantine_fixture fixture;
    fixture.quarantine->start();
    (void)fixture.rowAfterHousekeeping();
    fixture.store.tables.commit({.removals = {{"stopped_contents", "", std::to_string(part)}}});
    fixture.run([&]() -> task<> {
        co_await fixture.sleep(500ms);
    });
    CHECK(fixture.withdrawn == std::vector<std::uint64_t>{part});
}
