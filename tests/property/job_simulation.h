#pragma once

#include "banyan/core/job_coordinator.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace banyan::test {

/// Thrown if a property of the coordinator does not hold.
struct property_violation : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

inline void expect(bool holds, const std::string &message)
{
    if (!holds) {
        throw property_violation(message);
    }
}

/// How the runs of one item end: first a number of runs without a result, then always the same result.
struct item_script
{
    std::uint32_t notRun = 0;
    std::uint32_t lost = 0;
    bool error = false;
    bool repeatable = true;
    bool endsOnlyOnCancel = false; ///< Runs until it is cancelled.

    /// The result that a program gets that runs the items one after the other, without faults.
    [[nodiscard]] std::string expectedResult() const
    {
        return error ? "error" : "answer";
    }
};

/// Simulates one job, a store with faults, and several nodes that may each believe that they coordinate the job. Every
/// choice is taken from a list of numbers, so that a failing case can be shrunk. When the list is used up, no more faults
/// occur and the simulation runs until the job ends.
class job_simulation
{
public:
    struct options
    {
        std::vector<std::uint32_t> itemsPerPart;
        std::vector<item_script> scripts;
        std::vector<std::uint32_t> choices;
        job_coordinator_options coordinator;
        bool cancels = false;
        duration window = std::chrono::hours(24);
    };

    explicit job_simulation(const options &initial)
        : m_options(initial)
        , m_runs(initial.scripts.size())
    {
        m_row.id = job_id("batch_1");
        m_row.itemsPerPart = initial.itemsPerPart;
        m_row.status = job_state::InProgress;
        m_row.deadline = m_now + initial.window;
        m_version = 1;
        m_nodes.resize(3);
    }

    void run()
    {
        constexpr int maximumSteps = 20000;
        for (int step = 0; !isFinal(m_row.status); ++step) {
            expect(step < maximumSteps, "the job does not end: " + m_row.toJson());
            nextStep();
        }
        checkResults();
    }

    [[nodiscard]] const job_record &row() const
    {
        return m_row;
    }
    [[nodiscard]] std::uint32_t takeovers() const
    {
        return m_takeovers;
    }
    [[nodiscard]] std::uint32_t startsAfterCancel() const
    {
        return m_startsAfterCancel;
    }

private:
    struct node
    {
        std::unique_ptr<job_coordinator> coordinator;
        bool paused = false;
        std::vector<std::uint32_t> inFlight;
        std::vector<std::size_t> loads;
        std::optional<job_action> storeCall;
        std::map<std::uint32_t, std::string> results;
        std::map<std::uint32_t, item_failure> failures;
        std::set<std::uint32_t> cancelled;
        bool cancelObserved = false;
        bool leaseHeld = true;
    };

    /// A commit whose answer was lost and that takes effect later or never.
    struct late_commit
    {
        commit_progress change;
    };

    std::uint32_t choose(std::uint32_t count)
    {
        if (m_position >= m_options.choices.size()) {
            return 0;
        }
        return m_options.choices[m_position++] % count;
    }

    [[nodiscard]] bool choicesExhausted() const
    {
        return m_position >= m_options.choices.size();
    }

    void nextStep()
    {
        if (choicesExhausted()) {
            faultFreeStep();
            return;
        }
        constexpr std::uint32_t kinds = 24;
        const std::uint32_t kind = choose(kinds);
        node &target = m_nodes[choose(static_cast<std::uint32_t>(m_nodes.size()))];
        if (kind == 0) {
            target.paused = !target.paused;
        } else if (kind == 1) {
            target = node();
        } else if (kind == 2) {
            takeOver(target);
        } else if (kind == 3 && m_options.cancels) {
            commitCancel();
        } else if (kind == 4) {
            applyLateCommit();
        } else if (kind == 5 && target.coordinator) {
            perform(target, target.coordinator->cancelRequested(m_now));
        } else if (kind == 6 && target.coordinator && !target.paused) {
            perform(target, target.coordinator->release(m_now));
        } else if (kind == 9 && target.coordinator && !target.paused) {
            target.leaseHeld = !target.leaseHeld;
            perform(target, target.coordinator->setLeaseHeld(target.leaseHeld, m_now));
        } else if (kind == 8) {
            m_storeDown = !m_storeDown;
        } else if (kind == 7) {
            m_now += std::chrono::milliseconds(choose(3000));
        } else {
            nodeStep(target, true);
        }
    }

    /// Advances the first node without faults; it takes the job over if it does not coordinate it.
    void faultFreeStep()
    {
        applyLateCommit();
        m_storeDown = false;
        node &target = m_nodes[0];
        target.paused = false;
        if (!target.coordinator) {
            takeOver(target);
            return;
        }
        if (!target.leaseHeld) {
            target.leaseHeld = true;
            perform(target, target.coordinator->setLeaseHeld(true, m_now));
            return;
        }
        if (!nodeStep(target, false)) {
            const auto wake = target.coordinator->nextWakeUp();
            m_now = std::max(m_now, wake.value_or(m_now + std::chrono::seconds(1)));
            perform(target, target.coordinator->tick(m_now));
        }
    }

    bool nodeStep(node &target, bool faults)
    {
        if (!target.coordinator || target.paused) {
            return false;
        }
        m_now += std::chrono::milliseconds(1);
        const std::uint32_t kind = choose(4);
        const bool storeFirst = kind == 0 && target.storeCall;
        if (!storeFirst && kind <= 1 && !target.loads.empty()) {
            answerLoad(target, faults ? choose(4) : 0);
            return true;
        }
        if (!storeFirst && kind <= 2 && !endableItems(target).empty()) {
            const std::vector<std::uint32_t> items = endableItems(target);
            endItem(target, items[choose(static_cast<std::uint32_t>(items.size()))]);
            return true;
        }
        if (target.storeCall) {
            answerStore(target, faults ? choose(8) : 0);
            return true;
        }
        perform(target, target.coordinator->tick(m_now));
        return !target.coordinator || target.storeCall || !target.loads.empty() || !endableItems(target).empty();
    }

    void takeOver(node &target)
    {
        if (target.coordinator || isFinal(m_row.status)) {
            return;
        }
        ++m_takeovers;
        ++m_row.fencingNumber;
        m_row.owner = "lease-" + std::to_string(m_row.fencingNumber);
        ++m_version;
        target = node();
        target.coordinator = std::make_unique<job_coordinator>(m_row, m_version, m_options.coordinator, m_now);
        target.cancelObserved = m_row.status == job_state::Cancelling;
        perform(target, target.coordinator->start(m_now));
    }

    void commitCancel()
    {
        if (m_row.status == job_state::InProgress) {
            m_row.status = job_state::Cancelling;
            ++m_version;
        }
    }

    void applyLateCommit()
    {
        if (m_late) {
            apply(m_late->change);
            m_late.reset();
        }
    }

    bool apply(const commit_progress &change)
    {
        if (change.version != m_version) {
            return false;
        }
        checkTransition(change.record);
        m_row = job_record::fromJson(change.record.toJson());
        ++m_version;
        return true;
    }

    void checkTransition(const job_record &next) const
    {
        expect(!isFinal(m_row.status), "a finished job was changed");
        expect(m_row.status != job_state::Cancelling || next.status != job_state::InProgress, "a committed cancel was undone");
        expect(next.segments.size() >= m_row.segments.size()
                   && std::equal(m_row.segments.begin(), m_row.segments.end(), next.segments.begin()),
               "committed segments were changed");
        for (std::size_t i = m_row.segments.size(); i < next.segments.size(); ++i) {
            const job_segment &segment = next.segments[i];
            const std::uint64_t stored = objectSize(outputObjectName(next.id, segment)) + objectSize(errorsObjectName(next.id, segment));
            expect(stored == std::uint64_t(segment.outputBytes) + segment.errorBytes,
                   "a segment was committed before its objects were stored");
        }
    }

    [[nodiscard]] std::uint64_t objectSize(const std::string &name) const
    {
        const auto found = m_objects.find(name);
        return found == m_objects.end() ? 0 : found->second.size();
    }

    void putObject(const std::string &name, const std::string &bytes)
    {
        const auto found = m_objects.find(name);
        expect(found == m_objects.end() || found->second == bytes, "an object was replaced by different content: " + name);
        m_objects[name] = bytes;
    }

    void answerStore(node &target, std::uint32_t fault)
    {
        const job_action call = *target.storeCall;
        target.storeCall.reset();
        job_coordinator &coordinator = *target.coordinator;
        if (fault == 1 || m_storeDown) {
            perform(target, coordinator.storeUnavailable(m_now));
        } else if (const auto *store = std::get_if<store_results>(&call)) {
            storeObjects(target, *store);
            perform(target, fault == 2 ? coordinator.storeUnavailable(m_now) : coordinator.resultsStored(m_now));
        } else if (const auto *commit = std::get_if<commit_progress>(&call)) {
            answerCommit(target, *commit, fault);
        } else {
            target.cancelObserved = target.cancelObserved || m_row.status == job_state::Cancelling;
            perform(target, coordinator.jobRead(m_row, m_version, m_now));
        }
    }

    void answerCommit(node &target, const commit_progress &commit, std::uint32_t fault)
    {
        if (fault == 2) {
            apply(commit);
            perform(target, target.coordinator->commitUnknown(m_now));
        } else if (fault == 3) {
            m_late = late_commit{commit};
            perform(target, target.coordinator->commitUnknown(m_now));
        } else if (apply(commit)) {
            perform(target, target.coordinator->committed(m_version, m_now));
        } else {
            perform(target, target.coordinator->commitRejected(m_now));
        }
    }

    void storeObjects(node &target, const store_results &store)
    {
        std::string answers;
        for (const std::uint32_t item : store.answers) {
            answers += target.results.at(item);
        }
        std::string errors;
        for (const std::uint32_t item : store.errors) {
            errors += target.results.at(item);
        }
        putObject(outputObjectName(m_row.id, store.segment), answers);
        putObject(errorsObjectName(m_row.id, store.segment), errors);
    }

    void answerLoad(node &target, std::uint32_t fault)
    {
        const std::size_t chunk = target.loads.back();
        target.loads.pop_back();
        perform(target, fault == 1 ? target.coordinator->chunkUnavailable(chunk, m_now) : target.coordinator->chunkLoaded(chunk, m_now));
    }

    [[nodiscard]] std::vector<std::uint32_t> endableItems(const node &target) const
    {
        std::vector<std::uint32_t> items;
        std::copy_if(target.inFlight.begin(), target.inFlight.end(), std::back_inserter(items), [&](std::uint32_t item) {
            return !m_options.scripts[item].endsOnlyOnCancel || target.cancelled.contains(item) || target.failures.contains(item);
        });
        return items;
    }

    void endItem(node &target, std::uint32_t item)
    {
        target.inFlight.erase(std::find(target.inFlight.begin(), target.inFlight.end(), item));
        const item_script &script = m_options.scripts[item];
        const auto failure = target.failures.find(item);
        if (failure != target.failures.end()) {
            const std::string reason = std::to_string(static_cast<int>(failure->second));
            target.failures.erase(failure);
            deliver(target, item, item_outcome::Rejected, "unknown" + reason);
            return;
        }
        const std::uint32_t run = m_runs[item].ends++;
        if (target.cancelled.contains(item) || run < script.notRun) {
            perform(target, target.coordinator->itemEnded(item, {.outcome = item_outcome::NotRun}, m_now));
            return;
        }
        ++m_runs[item].executions;
        expect(script.repeatable ? true : m_runs[item].executions <= 1, "a non-repeatable item ran twice: " + std::to_string(item));
        if (run < script.notRun + script.lost && script.repeatable) {
            perform(target, target.coordinator->itemEnded(item, {.outcome = item_outcome::Lost}, m_now));
            return;
        }
        deliver(target, item, script.error ? item_outcome::Rejected : item_outcome::Answered, script.expectedResult());
    }

    void deliver(node &target, std::uint32_t item, item_outcome outcome, const std::string &result)
    {
        // Each run writes a different line, so that results of two runs stored under one name are detected.
        const std::string line = std::to_string(item) + " " + result + " " + std::to_string(++m_lines) + "\n";
        target.results[item] = line;
        perform(target, target.coordinator->itemEnded(item, {.outcome = outcome, .bytes = line.size()}, m_now));
    }

    void perform(node &target, const job_actions &actions)
    {
        for (const job_action &action : actions) {
            performOne(target, action);
        }
        if (target.coordinator) {
            checkMemory(*target.coordinator);
        }
    }

    void performOne(node &target, const job_action &action)
    {
        if (const auto *load = std::get_if<load_chunk>(&action)) {
            target.loads.push_back(load->chunk);
        } else if (const auto *run = std::get_if<run_item>(&action)) {
            runItem(target, *run);
        } else if (const auto *cancel = std::get_if<cancel_item>(&action)) {
            target.cancelled.insert(cancel->item);
        } else if (const auto *failItem = std::get_if<fail_item>(&action)) {
            target.failures[failItem->item] = failItem->reason;
            target.inFlight.push_back(failItem->item);
        } else if (const auto *end = std::get_if<end_coordination>(&action)) {
            expect(end->outcome != coordination_outcome::Finished || isFinal(m_row.status), "coordination finished, the job did not");
            target = node();
        } else if (std::holds_alternative<store_results>(action) || std::holds_alternative<commit_progress>(action)
                   || std::holds_alternative<read_job>(action)) {
            expect(!target.storeCall, "two store calls at once");
            target.storeCall = action;
        }
    }

    void runItem(node &target, const run_item &run)
    {
        if (target.cancelObserved) {
            ++m_startsAfterCancel;
        }
        target.cancelled.erase(run.item);
        if (!m_options.scripts[run.item].repeatable && !run.startCommitted) {
            perform(target, target.coordinator->startNeeded(run.item, m_now));
            return;
        }
        target.inFlight.push_back(run.item);
    }

    void checkMemory(const job_coordinator &coordinator) const
    {
        const job_coordinator_options &limits = m_options.coordinator;
        expect(coordinator.heldItems() <= limits.itemsInFlight * 2 + limits.itemsWaiting, "too many items held");
        expect(coordinator.bufferedResults() <= limits.bufferedResults + limits.itemsInFlight + limits.itemsWaiting,
               "too many results buffered: " + std::to_string(coordinator.bufferedResults()));
        expect(coordinator.loadedChunks() <= 2, "too many chunks loaded");
    }

    void checkResults()
    {
        std::vector<std::string> results(m_options.scripts.size());
        for (const job_segment &segment : m_row.segments) {
            readLines(m_objects.at(outputObjectName(m_row.id, segment)), results);
            readLines(m_objects.at(errorsObjectName(m_row.id, segment)), results);
        }
        std::uint32_t found = 0;
        for (std::uint32_t item = 0; item < results.size(); ++item) {
            found += results[item].empty() ? 0 : 1;
            checkResult(item, results[item]);
        }
        expect(found == m_row.completed + m_row.failed, "the counts differ from the number of results");
    }

    void checkResult(std::uint32_t item, const std::string &result) const
    {
        const item_script &script = m_options.scripts[item];
        const bool mayBeUnknown = !script.repeatable && m_takeovers > 1;
        const bool mayBeAbsent = m_row.status == job_state::Cancelled;
        const bool mayExpire = m_row.status == job_state::Expired;
        const bool asExpected = result == script.expectedResult() || (result.empty() && mayBeAbsent)
                                || (result == "unknown" + std::to_string(static_cast<int>(item_failure::OutcomeUnknown)) && mayBeUnknown)
                                || (result == "unknown" + std::to_string(static_cast<int>(item_failure::Expired)) && mayExpire);
        expect(asExpected,
               "item " + std::to_string(item) + ": expected " + script.expectedResult() + ", found \"" + result + "\" in "
                   + m_row.toJson());
    }

    static void readLines(const std::string &object, std::vector<std::string> &results)
    {
        std::size_t position = 0;
        while (position < object.size()) {
            const std::size_t end = object.find('\n', position);
            const std::string line = object.substr(position, end - position);
            position = end + 1;
            const std::size_t first = line.find(' ');
            const std::size_t second = line.find(' ', first + 1);
            std::string &result = results.at(std::stoul(line.substr(0, first)));
            expect(result.empty(), "an item has two results: " + line);
            result = line.substr(first + 1, second - first - 1);
        }
    }

    struct run_counts
    {
        std::uint32_t ends = 0;
        std::uint32_t executions = 0; ///< Runs that reached an upstream.
    };

    options m_options;
    time_point m_now{std::chrono::hours(1)};
    job_record m_row;
    row_version m_version = 0;
    std::map<std::string, std::string> m_objects;
    std::vector<node> m_nodes;
    std::optional<late_commit> m_late;
    std::vector<run_counts> m_runs;
    std::size_t m_position = 0;
    bool m_storeDown = false;
    std::uint32_t m_takeovers = 0;
    std::uint32_t m_startsAfterCancel = 0;
    std::uint64_t m_lines = 0;
};

} // namespace banyan::test
