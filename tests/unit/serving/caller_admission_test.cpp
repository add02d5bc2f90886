#include "banyan/io/serving/caller_admission.h"

#include "banyan/io/clock.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/platform_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

/// An admission whose readings of the configuration a test controls.
struct admission_fixture
{
    asio::io_context context;
    node_metrics metrics;
    std::shared_ptr<const route_table> table;
    std::vector<std::string> keysInStore = {"k1"};
    duration answerTime = 2ms; ///< Of a reading.
    bool isDown = false;
    bool isLost = false; ///< By the regular calls.
    bool othersRead = false;
    int readings = 0;
    caller_admission callers{{.context = context,
                              .metrics = metrics,
                              .routes =
                                  [this] {
                                      return table;
                                  },
                              .readConfiguration =
                                  [this] {
                                      return read();
                                  },
                              .isStoreLost =
                                  [this] {
                                      return isLost;
                                  },
                              .othersRead =
                                  [this] {
                                      return othersRead;
                                  }},
                             1s};

    admission_fixture()
    {
        apply();
        callers.configurationRead(currentTime());
    }

    /// Puts the store's configuration in force.
    void apply()
    {
        serving_configuration configuration{.routes = {{.name = "r", .host = "h", .pathPrefix = "/x/"}}, .requiresKeys = true};
        configuration.organisations = {{.name = caller_id("o")}};
        for (const std::string &key : keysInStore) {
            configuration.organisations.front().keys.push_back(callers.digester().digest(key));
        }
        table = std::make_shared<const route_table>(std::move(configuration));
    }

    task<bool> read()
    {
        ++readings;
        const time_point begunAt = currentTime();
        asio::steady_timer timer(context, answerTime);
        co_await timer.async_wait(asio::use_awaitable);
        if (isDown) {
            throw platform_unavailable("down");
        }
        apply();
        callers.configurationRead(begunAt);
        co_return true;
    }

    /// Decides on so many requests that arrive now at once; returns the last verdict, after all.
    key_verdict verdictOn(const std::string &key, int count = 1)
    {
        return admissionOf(key, count).verdict;
    }

    admission admissionOf(const std::string &key, int count = 1)
    {
        admission result;
        int left = count;
        for (int number = 0; number < count; ++number) {
            admission_request request{.host = "h", .path = "/x/1", .key = key, .arrivedAt = currentTime()};
            asio::co_spawn(context, callers.admit(std::move(request)), [&](const std::exception_ptr &, admission decided) {
                result = std::move(decided);
                --left;
            });
        }
        context.restart();
        while (left > 0) {
            context.run_one();
        }
        return result;
    }

    void waitFor(duration time)
    {
        asio::steady_timer timer(context, time);
        bool over = false;
        timer.async_wait([&](const boost::system::error_code &) {
            over = true;
        });
        context.restart();
        while (!over) {
            context.run_one();
        }
    }
};

} // namespace

TEST_CASE("caller_admission takes a known key without asking the store, and refuses an unknown one after a reading")
{
    admission_fixture fixture;
    CHECK(fixture.verdictOn("k1") == key_verdict::Taken);
    CHECK(fixture.readings == 0);
    CHECK(fixture.verdictOn("k2") == key_verdict::Unknown);
    CHECK(fixture.readings == 1);
}

TEST_CASE("caller_admission takes a key that was added just before its request arrived")
{
    admission_fixture fixture;
    fixture.keysInStore.emplace_back("k2");
    CHECK(fixture.verdictOn("k2") == key_verdict::Taken);
}

TEST_CASE("caller_admission reads once for many requests with unknown keys")
{
    admission_fixture fixture;
    CHECK(fixture.verdictOn("k2", 100) == key_verdict::Unknown);
    CHECK(fixture.readings <= 2);
}

TEST_CASE("caller_admission does not refuse an unknown key for good while the store does not answer")
{
    admission_fixture fixture;
    fixture.isDown = true;
    CHECK(fixture.verdictOn("k2") == key_verdict::Unproven);
    const int before = fixture.readings;
    CHECK(fixture.verdictOn("k2", 100) == key_verdict::Unproven);
    CHECK(fixture.readings <= before + 1);
}

TEST_CASE("caller_admission waits no longer for a silent store than its bound, and then not at all")
{
    admission_fixture fixture;
    fixture.answerTime = 1s;
    const time_point begin = currentTime();
    CHECK(fixture.verdictOn("k2") == key_verdict::Unproven);
    const duration first = currentTime() - begin;
    CHECK(first >= 200ms);
    CHECK(first < 800ms);
    CHECK(fixture.verdictOn("k2") == key_verdict::Unproven);
    CHECK(currentTime() - begin - first < 150ms);
}

TEST_CASE("caller_admission stops taking keys when the lease is over, and takes them again with the next reading")
{
    admission_fixture fixture;
    fixture.isDown = true;
    const key_digest key = fixture.callers.digester().digest("k1");
    CHECK(fixture.callers.maySend(key, caller_id("o"), currentTime()));
    CHECK_FALSE(fixture.callers.maySend(key, caller_id("earlier holder"), currentTime()));
    fixture.waitFor(1s);
    CHECK_FALSE(fixture.callers.maySend(key, caller_id("o"), currentTime()));
    CHECK(fixture.verdictOn("k1") == key_verdict::LeaseOver);
    fixture.isDown = false;
    fixture.callers.configurationRead(currentTime());
    CHECK(fixture.verdictOn("k1") == key_verdict::Taken);
    fixture.keysInStore.clear();
    fixture.apply();
    CHECK_FALSE(fixture.callers.maySend(key, caller_id("o"), currentTime()));
}

TEST_CASE("caller_admission refuses at once while the store is lost, and sends callers to other nodes if these read it")
{
    admission_fixture fixture;
    fixture.isLost = true;
    fixture.othersRead = true;
    const admission elsewhere = fixture.admissionOf("k2");
    CHECK(elsewhere.verdict == key_verdict::Unproven);
    CHECK(elsewhere.retryAfter == duration(0));
    fixture.othersRead = false;
    CHECK(fixture.admissionOf("k2").retryAfter > duration(0));
    CHECK(fixture.readings == 0);
}
