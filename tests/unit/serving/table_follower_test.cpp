#include "banyan/io/serving/table_follower.h"

#include "banyan/io/clock.h"
#include "memory_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <functional>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

const std::string table = "t";

/// A follower of a table in memory that records its notifications.
struct follower_fixture
{
    asio::io_context context;
    memory_store store{context};
    std::vector<std::string> notifications;
    std::vector<time_point> readings; ///< When the calls that succeeded began.
    int appliedCalls = 0; ///< Number of calls that returned changes.
    time_point changedSince; ///< By the last call.
    table_follower follower;

    follower_fixture()
        : follower(context,
                   store.port(),
                   {.table = table, .parts = {"p", "q"}, .pause = 1ms, .wait = 200ms, .confirmationDelay = 1ms, .retryDelay = 2ms},
                   {.onSnapshot =
                        [this](const std::vector<table_row> &rows) {
                            notifications.push_back("all " + std::to_string(rows.size()));
                        },
                    .onChangesRead =
                        [this](time_point since) {
                            changedSince = since;
                        },
                    .onChange =
                        [this](const table_row &row) {
                            notifications.push_back((row.deleted ? "gone " : "set ") + row.name.key);
                        },
                    .onChangesApplied =
                        [this] {
                            ++appliedCalls;
                        },
                    .onRead =
                        [this](time_point begunAt) {
                            readings.push_back(begunAt);
                        },
                    .onLost =
                        [this] {
                            notifications.emplace_back("lost");
                        },
                    .onRegained =
                        [this] {
                            notifications.emplace_back("regained");
                        }})
    {
        asio::co_spawn(context, follower.run(), asio::detached);
    }

    void set(const std::string &part, const std::string &key)
    {
        store.tables.commit({.writes = {{.name = {table, part, key}, .value = "v"}}});
    }

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition()) {
            context.run_one();
        }
    }

    [[nodiscard]] bool wasNotified(const std::string &what) const
    {
        return std::find(notifications.begin(), notifications.end(), what) != notifications.end();
    }
};

} // namespace

TEST_CASE("table_follower reads all parts of its table and then each change")
{
    follower_fixture fixture;
    fixture.set("p", "a");
    fixture.set("q", "b");
    fixture.runUntil([&] {
        return fixture.wasNotified("all 2");
    });
    fixture.set("q", "c");
    fixture.store.tables.commit({.removals = {{table, "p", "a"}}});
    fixture.runUntil([&] {
        return fixture.wasNotified("gone a");
    });
    CHECK(fixture.notifications == std::vector<std::string>{"all 2", "set c", "gone a"});
}

TEST_CASE("table_follower reads its table again when the store no longer keeps the changes")
{
    follower_fixture fixture;
    fixture.runUntil([&] {
        return fixture.wasNotified("all 0");
    });
    fixture.set("p", "a");
    fixture.store.tables.forgetHistory();
    fixture.runUntil([&] {
        return fixture.wasNotified("all 1");
    });
    CHECK_FALSE(fixture.wasNotified("lost"));
}

TEST_CASE("table_follower polls without a wait while the store is unavailable and reads all rows when it is back")
{
    follower_fixture fixture;
    fixture.runUntil([&] {
        return !fixture.store.waits.empty();
    });
    CHECK(fixture.store.waits.back() == 200ms);
    fixture.store.down = true;
    fixture.runUntil([&] {
        return fixture.wasNotified("lost");
    });
    const std::size_t asked = fixture.store.waits.size();
    fixture.runUntil([&] {
        return fixture.store.waits.size() > asked + 2;
    });
    CHECK(fixture.store.waits.back() == 0ms);
    fixture.store.down = false;
    fixture.set("p", "a");
    fixture.runUntil([&] {
        return fixture.wasNotified("all 1");
    });
    const auto regained = std::find(fixture.notifications.begin(), fixture.notifications.end(), "regained");
    const auto all = std::find(fixture.notifications.begin(), fixture.notifications.end(), "all 1");
    CHECK(regained < all);
}

// Guards against keeping removed upstreams because a connection to the store went silent.
TEST_CASE("table_follower takes a single failed call for no loss of the store, and goes on with the changes")
{
    follower_fixture fixture;
    fixture.set("p", "a");
    fixture.runUntil([&] {
        return !fixture.store.waits.empty();
    });
    fixture.store.failCalls = 1;
    fixture.runUntil([&] {
        return fixture.store.failCalls == 0;
    });
    fixture.store.tables.commit({.removals = {{table, "p", "a"}}});
    fixture.runUntil([&] {
        return fixture.wasNotified("gone a");
    });
    CHECK(fixture.notifications == std::vector<std::string>{"all 1", "gone a"});
    const auto immediate = std::find(fixture.store.waits.begin(), fixture.store.waits.end(), duration(0));
    CHECK(immediate != fixture.store.waits.end());
    fixture.runUntil([&] {
        return fixture.store.waits.back() == 200ms;
    });
}

TEST_CASE("table_follower calls onChangesApplied once after the changes of a call")
{
    follower_fixture fixture;
    fixture.runUntil([&] {
        return fixture.wasNotified("all 0");
    });
    fixture.store.tables.commit({.writes = {{.name = {table, "p", "a"}, .value = "v"}, {.name = {table, "p", "b"}, .value = "v"}}});
    fixture.runUntil([&] {
        return fixture.wasNotified("set b");
    });
    CHECK(fixture.notifications == std::vector<std::string>{"all 0", "set a", "set b"});
    CHECK(fixture.appliedCalls == 1);
}

TEST_CASE("table_follower says since when changes may have been made: from the beginning of the call before")
{
    follower_fixture fixture;
    fixture.runUntil([&] {
        return !fixture.store.waits.empty();
    });
    const time_point firstChange = currentTime();
    fixture.set("p", "a");
    fixture.runUntil([&] {
        return fixture.wasNotified("set a");
    });
    CHECK(fixture.changedSince < firstChange);
    const std::size_t calls = fixture.store.waits.size();
    fixture.runUntil([&] {
        return fixture.store.waits.size() > calls;
    });
    fixture.set("p", "b");
    fixture.runUntil([&] {
        return fixture.wasNotified("set b");
    });
    CHECK(fixture.changedSince < firstChange); // The change may be older than the first one's answer.
    const std::size_t next = fixture.store.waits.size();
    fixture.runUntil([&] {
        return fixture.store.waits.size() > next;
    });
    fixture.set("p", "c");
    fixture.runUntil([&] {
        return fixture.wasNotified("set c");
    });
    CHECK(fixture.changedSince > firstChange);
}

TEST_CASE("table_follower reports when each successful call began, after its rows, and none that failed")
{
    follower_fixture fixture;
    const time_point begin = currentTime();
    fixture.runUntil([&] {
        return fixture.readings.size() == 1;
    });
    CHECK(fixture.wasNotified("all 0"));
    const time_point whileWaiting = currentTime();
    fixture.runUntil([&] {
        return fixture.readings.size() == 2; // The call has waited for changes, and proves only what was there when it began.
    });
    CHECK(fixture.readings[0] >= begin);
    CHECK(fixture.readings[1] < whileWaiting + 100ms);
    CHECK(currentTime() >= whileWaiting + 150ms);
    fixture.store.down = true;
    fixture.runUntil([&] {
        return fixture.wasNotified("lost");
    });
    const std::size_t before = fixture.readings.size();
    const time_point lostAt = currentTime();
    fixture.store.down = false;
    fixture.runUntil([&] {
        return fixture.readings.size() > before;
    });
    CHECK(fixture.readings.back() >= lostAt);
}

TEST_CASE("table_follower does not report a call whose answer the store may have cut off")
{
    follower_fixture fixture;
    fixture.runUntil([&] {
        return fixture.readings.size() == 1;
    });
    for (int number = 0; number < 500; ++number) {
        fixture.set("p", "k" + std::to_string(number));
    }
    fixture.runUntil([&] {
        return fixture.wasNotified("set k499");
    });
    CHECK(fixture.readings.size() == 1);
    fixture.runUntil([&] {
        return fixture.readings.size() == 2;
    });
}
