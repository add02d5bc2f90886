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

/// A property of the coordinator that did not hold.
struct violation : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

inline void expect(bool holds, const std::string &what)
{
    if (!holds) {
        throw violation(what);
    }
}

/// How the runs of one item go: some ends without a result, then always the same result.
struct item_script
{
    std::uint32_t notRun = 0;
    std::uint32_t lost = 0;
    bool error = false;
    bool repeatable = true;
    bool endless = false; ///< Runs until it is cancelled.

    /// What a naive program gets that runs the items one after the other.
    [[nodiscard]] std::string naiveResult() const
    {
        return error ? "error" : "answer";
    }
};

/// One job, a store with faults and several nodes that may each believe that they coordinate the job. Every choice is
/// taken from a list of numbers, so that a failure can be shrunk; when the list is used up, faults end and the
/// simulation runs until the job is over.
class job_simulation
{
public:
    struct options
    {
        std::vector<std::uint32_t> itemsOfParts;
        std::vector<item_script> scripts;
        std::vector<std::uint32_t> choices;
        job_coordinator_options coordinator;
        bool cancels = false;
        duration window = std::chrono::hours(24);
    };

    explicit job_simulation(const options &what)
        : m_options(what)
        , m_runs(what.scripts.size())
    {
        m_row.id = job_id("batch_1");
        m_row.itemsOfParts = what.itemsOfParts;
        m_row.status = job_state::InProgress;
        m_row.deadline = m_now + what.window;
        m_version = 1;
        m_nodes.resize(3);
    }

    void run()
    {
        constexpr int maximumSteps = 20000;
        for (int step = 0; !isFinal(m_row.status); ++step) {
            expect(step < maximumSteps, "the job does not end: " + m_row.toJson());
            oneStep();
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
        std::map<std::uint32_t, give_up_reason> givenUp;
        std::set<std::uint32_t> cancelled;
        bool knowsCancel = false;
        bool leaseHeld = true;
    };

    /// A commit whose answer is lost and that takes effect later, or never.
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

    [[nodiscard]] bool faultsOver() const
    {
        return m_position >= m_options.choices.size();
    }

    void oneStep()
    {
        if (faultsOver()) {
            calmStep();
            return;
        }
        constexpr std::uint32_t kinds = 24;
        const std::uint32_t kind = choose(kinds);
        node &which = m_nodes[choose(static_cast<std::uint32_t>(m_nodes.size()))];
        if (kind == 0) {
            which.paused = !which.paused;
        } else if (kind == 1) {
            which = node();
        } else if (kind == 2) {
            takeOver(which);
        } else if (kind == 3 && m_options.cancels) {
            commitCancel();
        } else if (kind == 4) {
            applyLateCommit();
        } else if (kind == 5 && which.coordinator) {
            perform(which, which.coordinator->cancelSeen(m_now));
        } else if (kind == 6 && which.coordinator && !which.paused) {
            perform(which, which.coordinator->release(m_now));
        } else if (kind == 9 && which.coordinator && !which.paused) {
            which.leaseHeld = !which.leaseHeld;
            perform(which, which.coordinator->leaseHeld(which.leaseHeld, m_now));
        } else if (kind == 8) {
            m_storeDown = !m_storeDown;
        } else if (kind == 7) {
            m_now += std::chrono::milliseconds(choose(3000));
        } else {
            nodeStep(which, true);
        }
    }

    /// Without faults: one living node goes on, and takes the job over if nobody has it.
    void calmStep()
    {
        applyLateCommit();
        m_storeDown = false;
        node &which = m_nodes[0];
        which.paused = false;
        if (!which.coordinator) {
            takeOver(which);
            return;
        }
        if (!which.leaseHeld) {
            which.leaseHeld = true;
            perform(which, which.coordinator->leaseHeld(true, m_now));
            return;
        }
        if (!nodeStep(which, false)) {
            const auto wake = which.coordinator->nextWakeUp();
            m_now = std::max(m_now, wake.value_or(m_now + std::chrono::seconds(1)));
            perform(which, which.coordinator->tick(m_now));
        }
    }

    bool nodeStep(node &which, bool faults)
    {
        if (!which.coordinator || which.paused) {
            return false;
        }
        m_now += std::chrono::milliseconds(1);
        const std::uint32_t kind = choose(4);
        const bool storeFirst = kind == 0 && which.storeCall;
        if (!storeFirst && kind <= 1 && !which.loads.empty()) {
            answerLoad(which, faults ? choose(4) : 0);
            return true;
        }
        if (!storeFirst && kind <= 2 && !endable(which).empty()) {
            const std::vector<std::uint32_t> items = endable(which);
            endItem(which, items[choose(static_cast<std::uint32_t>(items.size()))]);
            return true;
        }
        if (which.storeCall) {
            answerStore(which, faults ? choose(8) : 0);
            return true;
        }
        perform(which, which.coordinator->tick(m_now));
        return !which.coordinator || which.storeCall || !which.loads.empty() || !endable(which).empty();
    }

    void takeOver(node &which)
    {
        if (which.coordinator || isFinal(m_row.status)) {
            return;
        }
        ++m_takeovers;
        ++m_row.fencingNumber;
        m_row.owner = "lease-" + std::to_string(m_row.fencingNumber);
        ++m_version;
        which = node();
        which.coordinator = std::make_unique<job_coordinator>(m_row, m_version, m_options.coordinator, m_now);
        which.knowsCancel = m_row.status == job_state::Cancelling;
        perform(which, which.coordinator->start(m_now));
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
            const std::uint64_t stored = objectSize(outputName(next.id, segment)) + objectSize(errorsName(next.id, segment));
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
        expect(found == m_objects.end() || found->second == bytes, "an object was replaced by another content: " + name);
        m_objects[name] = bytes;
    }

    void answerStore(node &which, std::uint32_t fault)
    {
        const job_action call = *which.storeCall;
        which.storeCall.reset();
        job_coordinator &coordinator = *which.coordinator;
        if (fault == 1 || m_storeDown) {
            perform(which, coordinator.storeUnavailable(m_now));
        } else if (const auto *store = std::get_if<store_results>(&call)) {
            storeObjects(which, *store);
            perform(which, fault == 2 ? coordinator.storeUnavailable(m_now) : coordinator.resultsStored(m_now));
        } else if (const auto *commit = std::get_if<commit_progress>(&call)) {
            answerCommit(which, *commit, fault);
        } else {
            which.knowsCancel = which.knowsCancel || m_row.status == job_state::Cancelling;
            perform(which, coordinator.jobRead(m_row, m_version, m_now));
        }
    }

    void answerCommit(node &which, const commit_progress &commit, std::uint32_t fault)
    {
        if (fault == 2) {
            apply(commit);
            perform(which, which.coordinator->commitUnknown(m_now));
        } else if (fault == 3) {
            m_late = late_commit{commit};
            perform(which, which.coordinator->commitUnknown(m_now));
        } else if (apply(commit)) {
            perform(which, which.coordinator->committed(m_version, m_now));
        } else {
            perform(which, which.coordinator->commitRefused(m_now));
        }
    }

    void storeObjects(node &which, const store_results &store)
    {
        std::string answers;
        for (const std::uint32_t item : store.answers) {
            answers += which.results.at(item);
        }
        std::string errors;
        for (const std::uint32_t item : store.errors) {
            errors += which.results.at(item);
        }
        putObject(outputName(m_row.id, store.segment), answers);
        putObject(errorsName(m_row.id, store.segment), errors);
    }

    void answerLoad(node &which, std::uint32_t fault)
    {
        const std::size_t chunk = which.loads.back();
        which.loads.pop_back();
        perform(which, fault == 1 ? which.coordinator->chunkUnavailable(chunk, m_now) : which.coordinator->chunkLoaded(chunk, m_now));
    }

    [[nodiscard]] std::vector<std::uint32_t> endable(const node &which) const
    {
        std::vector<std::uint32_t> items;
        std::copy_if(which.inFlight.begin(), which.inFlight.end(), std::back_inserter(items), [&](std::uint32_t item) {
            return !m_options.scripts[item].endless || which.cancelled.contains(item) || which.givenUp.contains(item);
        });
        return items;
    }

    void endItem(node &which, std::uint32_t item)
    {
        which.inFlight.erase(std::find(which.inFlight.begin(), which.inFlight.end(), item));
        const item_script &script = m_options.scripts[item];
        const auto given = which.givenUp.find(item);
        if (given != which.givenUp.end()) {
            const std::string reason = std::to_string(static_cast<int>(given->second));
            which.givenUp.erase(given);
            deliver(which, item, item_outcome::Rejected, "unknown" + reason);
            return;
        }
        const std::uint32_t run = m_runs[item].ends++;
        if (which.cancelled.contains(item) || run < script.notRun) {
            perform(which, which.coordinator->itemEnded(item, {.outcome = item_outcome::NotRun}, m_now));
            return;
        }
        ++m_runs[item].effects;
        expect(script.repeatable ? true : m_runs[item].effects <= 1, "an item not to be repeated ran twice: " + std::to_string(item));
        if (run < script.notRun + script.lost && script.repeatable) {
            perform(which, which.coordinator->itemEnded(item, {.outcome = item_outcome::Lost}, m_now));
            return;
        }
        deliver(which, item, script.error ? item_outcome::Rejected : item_outcome::Answered, script.naiveResult());
    }

    void deliver(node &which, std::uint32_t item, item_outcome outcome, const std::string &result)
    {
        // Each run's line differs, so that a result that is stored twice from two runs is seen.
        const std::string line = std::to_string(item) + " " + result + " " + std::to_string(++m_lines) + "\n";
        which.results[item] = line;
        perform(which, which.coordinator->itemEnded(item, {.outcome = outcome, .bytes = line.size()}, m_now));
    }

    void perform(node &which, const job_actions &actions)
    {
        for (const job_action &action : actions) {
            performOne(which, action);
        }
        if (which.coordinator) {
            checkMemory(*which.coordinator);
        }
    }

    void performOne(node &which, const job_action &action)
    {
        if (const auto *load = std::get_if<load_chunk>(&action)) {
            which.loads.push_back(load->chunk);
        } else if (const auto *run = std::get_if<run_item>(&action)) {
            runItem(which, *run);
        } else if (const auto *cancel = std::get_if<cancel_item>(&action)) {
            which.cancelled.insert(cancel->item);
        } else if (const auto *giveUp = std::get_if<give_up_item>(&action)) {
            which.givenUp[giveUp->item] = giveUp->reason;
            which.inFlight.push_back(giveUp->item);
        } else if (const auto *end = std::get_if<end_coordination>(&action)) {
            expect(end->how != coordination_end::Finished || isFinal(m_row.status), "coordination finished, the job did not");
            which = node();
        } else if (std::holds_alternative<store_results>(action) || std::holds_alternative<commit_progress>(action)
                   || std::holds_alternative<read_job>(action)) {
            expect(!which.storeCall, "two store calls at once");
            which.storeCall = action;
        }
    }

    void runItem(node &which, const run_item &run)
    {
        if (which.knowsCancel) {
            ++m_startsAfterCancel;
        }
        which.cancelled.erase(run.item);
        if (!m_options.scripts[run.item].repeatable && !run.startCommitted) {
            perform(which, which.coordinator->startNeeded(run.item, m_now));
            return;
        }
        which.inFlight.push_back(run.item);
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
            readLines(m_objects.at(outputName(m_row.id, segment)), results);
            readLines(m_objects.at(errorsName(m_row.id, segment)), results);
        }
        std::uint32_t found = 0;
        for (std::uint32_t item = 0; item < results.size(); ++item) {
            found += results[item].empty() ? 0 : 1;
            checkResult(item, results[item]);
        }
        expect(found == m_row.completed + m_row.failed, "expected the counts to be those of the results");
    }

    void checkResult(std::uint32_t item, const std::string &result) const
    {
        const item_script &script = m_options.scripts[item];
        const bool mayBeUnknown = !script.repeatable && m_takeovers > 1;
        const bool mayBeAbsent = m_row.status == job_state::Cancelled;
        const bool mayExpire = m_row.status == job_state::Expired;
        const bool right = result == script.naiveResult() || (result.empty() && mayBeAbsent)
                           || (result == "unknown" + std::to_string(static_cast<int>(give_up_reason::OutcomeUnknown)) && mayBeUnknown)
                           || (result == "unknown" + std::to_string(static_cast<int>(give_up_reason::Expired)) && mayExpire);
        expect(right,
               "item " + std::to_string(item) + ": expected " + script.naiveResult() + ", found \"" + result + "\" in " + m_row.toJson());
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

    struct run_count
    {
        std::uint32_t ends = 0;
        std::uint32_t effects = 0; ///< Runs that an upstream saw.
    };

    options m_options;
    time_point m_now{std::chrono::hours(1)};
    job_record m_row;
    row_version m_version = 0;
    std::map<std::string, std::string> m_objects;
    std::vector<node> m_nodes;
    std::optional<late_commit> m_late;
    std::vector<run_count> m_runs;
    std::size_t m_position = 0;
    bool m_storeDown = false;
    std::uint32_t m_takeovers = 0;
    std::uint32_t m_startsAfterCancel = 0;
    std::uint64_t m_lines = 0;
};

} // namespace banyan::test
