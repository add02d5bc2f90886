#include "banyan/core/serving/job_directory.h"

#include "banyan/core/serving/report_hubs.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

job_entry entry(const std::string &id, const std::string &owner, row_version version = 1)
{
    return {.id = job_id(id), .total = 3, .owner = node_id(owner), .version = version};
}

job_directory directoryOf(const std::string &self)
{
    return job_directory({.self = node_id(self), .ownerTimeout = 2s, .fallbackDelay = 2s});
}

} // namespace

TEST_CASE("job_directory does not take over the jobs of live owners")
{
    job_directory directory = directoryOf("n1");
    directory.update(entry("j", "n2"));
    directory.recordReport(node_id("n2"), start);
    CHECK(directory.dueForTakeover(start + 1s).empty());
    CHECK(directory.dueForTakeover(start + 3s).size() == 1);
}

TEST_CASE("job_directory lets one node of two take a job over first, and the other after the fallback delay")
{
    job_directory first = directoryOf("n1");
    job_directory second = directoryOf("n2");
    for (job_directory *const directory : {&first, &second}) {
        directory->update(entry("j", "gone"));
        directory->recordReport(node_id("gone"), start);
    }
    const time_point silent = start + 3s;
    first.recordReport(node_id("n2"), silent);
    second.recordReport(node_id("n1"), silent);
    CHECK(first.dueForTakeover(silent).size() + second.dueForTakeover(silent).size() == 1);
    const time_point later = silent + 2s;
    first.recordReport(node_id("n2"), later);
    second.recordReport(node_id("n1"), later);
    CHECK(first.dueForTakeover(later).size() == 1);
    CHECK(second.dueForTakeover(later).size() == 1);
}

TEST_CASE("job_directory takes jobs over at once from a node whose place a restarted one has taken")
{
    job_directory directory = directoryOf("n1");
    directory.setRegistered({node_id("n1"), node_id("n2-first")});
    directory.update(entry("j", "n2-first"));
    directory.recordReport(node_id("n2-first"), start);
    CHECK(directory.dueForTakeover(start).empty());
    directory.setRegistered({node_id("n1"), node_id("n2-second")});
    CHECK(directory.dueForTakeover(start).size() == 1);
}

TEST_CASE("job_directory takes jobs over at once after a start of all nodes, from owners that are not registered")
{
    job_directory directory = directoryOf("n1");
    directory.setRegistered({node_id("n1"), node_id("n2")});
    directory.update(entry("j", "gone"));
    CHECK(directory.dueForTakeover(start).size() == 1);
}

TEST_CASE("job_directory waits for an owner that has never reported, but not for one that released the job")
{
    job_directory directory = directoryOf("n1");
    directory.setRegistered({node_id("n1"), node_id("n2")});
    directory.update(entry("unheard", "n2"));
    directory.update(entry("given-up", ""));
    REQUIRE(directory.dueForTakeover(start).size() == 1);
    CHECK(directory.dueForTakeover(start).front().id == job_id("given-up"));
    CHECK(directory.dueForTakeover(start + 2s).size() == 2);
}

TEST_CASE("job_directory ignores an older version of a job")
{
    job_directory directory = directoryOf("n1");
    job_entry ended = entry("j", "n1", 5);
    ended.ended = true;
    directory.update(ended);
    directory.update(entry("j", "n1", 4));
    CHECK(directory.owned().empty());
    REQUIRE(directory.find(job_id("j")) != nullptr);
    CHECK(directory.find(job_id("j"))->ended);
}

TEST_CASE("job_directory of a large fleet lets only hubs take over the jobs of an unresponsive owner")
{
    std::set<node_id> registered;
    std::map<node_id, double> processorShares;
    for (int number = 0; number < 200; ++number) {
        registered.insert(node_id("n" + std::to_string(number)));
        processorShares.emplace(node_id("n" + std::to_string(number)), number < 3 ? 0.5 : 0.12);
    }
    report_hubs hubs({.self = node_id("n0"), .hubCount = 3});
    hubs.setRegistered(processorShares);
    const auto takers = [&](const std::string &owner, time_point now) {
        std::set<std::string> result;
        for (const node_id &self : registered) {
            job_directory directory = directoryOf(self.text());
            directory.setRegistered(registered);
            directory.setHubs(hubs);
            for (const node_id &hub : hubs.hubs()) {
                directory.recordReport(hub, now);
            }
            directory.update(entry("j", owner));
            (void)directory.dueForTakeover(now - 2s);
            if (!directory.dueForTakeover(now).empty()) {
                result.insert(self.text());
            }
        }
        return result;
    };
    const std::set<std::string> ofSilent = takers("n100", start + 10s);
    REQUIRE(ofSilent.size() == 1); // Only the first choice among the hubs.
    CHECK(hubs.isHub(node_id(*ofSilent.begin())));
    // Every node observes that a job was released: one of them takes it over first, and hubs do if that node is lost.
    const std::set<std::string> ofGivenBack = takers("", start + 10s);
    CHECK(ofGivenBack.size() <= 1 + hubs.hubs().size());
    CHECK_FALSE(ofGivenBack.empty());
}

TEST_CASE("job_directory takes over the jobs of a node that goes on without access to the store, unless it has no access itself")
{
    for (const scheduling_state own : {scheduling_state::Ready, scheduling_state::UpstreamsUncertain}) {
        job_directory directory = directoryOf("n1");
        directory.setOwnState(own);
        directory.update(entry("j", "n2"));
        directory.recordReport(node_id("n2"), start);
        for (time_point now = start; now < start + 3s; now += 100ms) {
            directory.recordReport(node_id("n2"), now, scheduling_state::UpstreamsUncertain);
        }
        CHECK(directory.dueForTakeover(start + 3s).size() == (own == scheduling_state::Ready ? 1 : 0));
    }
}

TEST_CASE("job_directory does not leave a job to a node that is shutting down")
{
    // Each of the two nodes is the first choice for some of the jobs.
    job_directory directory = directoryOf("n1");
    directory.recordReport(node_id("n2"), start, scheduling_state::ShuttingDown);
    for (int number = 0; number < 20; ++number) {
        directory.update(entry("j" + std::to_string(number), ""));
    }
    CHECK(directory.dueForTakeover(start).size() == 20);
}

TEST_CASE("job_directory leaves the jobs of a node alone that has registered again under the same id")
{
    job_directory directory = directoryOf("n1");
    directory.setRegistered({node_id("n1"), node_id("n2")});
    directory.recordReport(node_id("n2"), start);
    directory.setRegistered({node_id("n1")}); // The registration lapsed while the node was suspended.
    directory.setRegistered({node_id("n1"), node_id("n2")});
    directory.recordReport(node_id("n2"), start + 10s);
    directory.update(entry("j", "n2"));
    CHECK(directory.dueForTakeover(start + 11s).empty());
}

TEST_CASE("job_directory takes over the job of a node that it has forgotten")
{
    job_directory directory = directoryOf("n1");
    directory.recordReport(node_id("n2"), start);
    CHECK(directory.dueForTakeover(start + 1h).empty());
    directory.update(entry("j", "n2"));
    CHECK(directory.dueForTakeover(start + 2h).size() == 1);
}

TEST_CASE("job_directory forgets that a node was shutting down after a long absence, and leaves it its share of jobs when it is back")
{
    constexpr std::size_t jobs = 20;
    job_directory directory = directoryOf("n1");
    for (std::size_t number = 0; number < jobs; ++number) {
        directory.update(entry("j" + std::to_string(number), ""));
    }
    directory.recordReport(node_id("n2"), start, scheduling_state::ShuttingDown);
    CHECK(directory.dueForTakeover(start).size() == jobs);
    (void)directory.dueForTakeover(start + 1h);
    directory.recordReport(node_id("n2"), start + 1h);
    for (std::size_t number = jobs; number < 2 * jobs; ++number) {
        directory.update(entry("j" + std::to_string(number), ""));
    }
    const std::size_t taken = directory.dueForTakeover(start + 1h).size();
    INFO("took over " << taken << " of " << 2 * jobs); // The fallback delay has passed for the first jobs, but not for the new ones.
    CHECK(taken > jobs);
    CHECK(taken < 2 * jobs);
}

TEST_CASE("job_directory counts the tokens of a route's open jobs")
{
    job_directory directory = directoryOf("n1");
    const auto job = [](const std::string &id, std::uint64_t tokens, row_version version, bool ended = false) {
        return job_entry{.id = job_id(id), .route = "r", .tokensLeft = tokens, .ended = ended, .version = version};
    };
    directory.update(job("a", 50, 1));
    directory.update(job("b", 30, 2));
    directory.update({.id = job_id("c"), .route = "other", .tokensLeft = 7, .version = 3});
    CHECK(directory.openTokens("r") == 80);
    directory.update(job("a", 20, 4));
    directory.update(job("a", 50, 1)); // A late delivery of an old row.
    CHECK(directory.openTokens("r") == 50);
    directory.update(job("b", 30, 5, true));
    CHECK(directory.openTokens("r") == 20);
    directory.remove(job_id("a"));
    directory.remove(job_id("b"));
    CHECK(directory.openTokens("r") == 0);
    CHECK(directory.openTokens("other") == 7);
}
