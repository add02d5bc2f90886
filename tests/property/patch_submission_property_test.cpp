#include "banyan/core/configuration_history.h"
#include "banyan/core/configuration_json.h"
#include "banyan/core/patch_submission.h"
#include "property/fake_table.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <deque>
#include <set>

using namespace banyan;
using banyan::tests::fake_table;

namespace {

constexpr time_point start{std::chrono::seconds(1000)};

/// How one call to the table ends.
enum class call_behaviour {
    Answered,
    NotSent, ///< The call fails without effect, and the caller knows.
    LostBefore, ///< The call is lost before it takes effect.
    LostAfter, ///< The call takes effect and its answer is lost.
    Delayed, ///< The call gets no answer and takes effect later.
};

call_behaviour randomBehaviour()
{
    return *rc::gen::weightedElement<call_behaviour>({{6, call_behaviour::Answered},
                                                      {1, call_behaviour::NotSent},
                                                      {1, call_behaviour::LostBefore},
                                                      {2, call_behaviour::LostAfter},
                                                      {1, call_behaviour::Delayed}});
}

std::string patchOf(const std::string &submission)
{
    return R"({"callers":{")" + submission + R"(":{}}})";
}

/// A node that runs the submission of one operator. The test chooses how each call to the table ends.
class submitting_node
{
public:
    submitting_node(fake_table &table, std::deque<transaction> &delayed, patch_request request)
        : m_table(table)
        , m_delayed(delayed)
        , m_history({})
        , m_submission(std::move(request), start + std::chrono::seconds(20), {.snapshotInterval = 3})
        , m_step(m_submission.start())
    {
        m_history.applySnapshot({.version = 0, .json = "{}"});
    }

    [[nodiscard]] const patch_result *result() const
    {
        const auto *const end = std::get_if<finish_submission>(&m_step.action);
        return end == nullptr ? nullptr : &end->result;
    }

    void advance(call_behaviour behaviour)
    {
        m_now += m_step.delay + std::chrono::milliseconds(10);
        m_step = std::visit(
            [&](const auto &action) {
                return perform(action, behaviour);
            },
            submission_step::action_type(m_step.action));
    }

private:
    submission_step perform(const read_head_row &, call_behaviour behaviour)
    {
        return behaviour == call_behaviour::Answered
                   ? m_submission.headRead(m_table.read(std::string(configurationHeadKey)), m_history, m_now)
                   : m_submission.unavailable(m_now);
    }

    submission_step perform(const read_patch_row &action, call_behaviour behaviour)
    {
        return behaviour == call_behaviour::Answered ? m_submission.patchRowRead(m_table.read(action.key), m_now)
                                                     : m_submission.unavailable(m_now);
    }

    submission_step perform(const catch_up &, call_behaviour)
    {
        for (const row &stored : m_table.scan(std::string(configurationPatchPrefix))) {
            const patch_record record = parsePatchRecord(stored.value);
            m_history.apply({.version = record.version, .mergePatch = record.mergePatch});
        }
        return m_submission.caughtUp(m_history, m_now);
    }

    submission_step perform(const store_snapshot &, call_behaviour behaviour)
    {
        return m_submission.snapshotStored(behaviour == call_behaviour::Answered);
    }

    submission_step perform(const commit_patch &action, call_behaviour behaviour)
    {
        if (behaviour == call_behaviour::NotSent) {
            return m_submission.unavailable(m_now);
        }
        if (behaviour == call_behaviour::Delayed) {
            m_delayed.push_back(action.change);
        }
        if (behaviour == call_behaviour::Delayed || behaviour == call_behaviour::LostBefore) {
            return m_submission.outcomeUnknown(m_now);
        }
        const commit_result result = m_table.commit(action.change);
        return behaviour == call_behaviour::LostAfter ? m_submission.outcomeUnknown(m_now) : m_submission.committed(result);
    }

    submission_step perform(const finish_submission &, call_behaviour)
    {
        return m_step;
    }

    fake_table &m_table;
    std::deque<transaction> &m_delayed;
    configuration_history m_history;
    patch_submission m_submission;
    submission_step m_step;
    time_point m_now = start;
};

/// Several operators that submit patches to one table concurrently.
class concurrent_submissions
{
public:
    /// @param content names the change; several submissions may have the same content
    void submit(const std::string &id, configuration_version base, const std::string &content)
    {
        m_nodes.try_emplace(id, m_table, m_delayed, patch_request{.submissionId = id, .baseVersion = base, .mergePatch = patchOf(content)});
        m_bases[id] = base;
        m_contents[id] = content;
    }

    /// Runs all submissions to completion, interleaved at random.
    void run()
    {
        while (!unfinished().empty()) {
            const std::string id = *rc::gen::elementOf(unfinished());
            m_nodes.at(id).advance(randomBehaviour());
            if (!m_delayed.empty() && *rc::gen::arbitrary<bool>()) {
                commitDelayed();
            }
        }
        while (!m_delayed.empty()) {
            commitDelayed();
        }
    }

    /// Repeats the submissions that ended as OutcomeUnknown, now without failures.
    void resubmitUnknown()
    {
        for (const auto &[id, base] : m_bases) {
            if (m_nodes.at(id).result()->outcome == patch_outcome::OutcomeUnknown) {
                m_nodes.erase(id);
                submit(id, base, m_contents.at(id));
                while (m_nodes.at(id).result() == nullptr) {
                    m_nodes.at(id).advance(call_behaviour::Answered);
                }
            }
        }
    }

    [[nodiscard]] const std::map<std::string, configuration_version> &bases() const
    {
        return m_bases;
    }

    [[nodiscard]] const patch_result &resultOf(const std::string &id) const
    {
        return *m_nodes.at(id).result();
    }

    [[nodiscard]] const fake_table &table() const
    {
        return m_table;
    }

    [[nodiscard]] configuration_version version() const
    {
        return parseHead(m_table.read(std::string(configurationHeadKey))).version;
    }

private:
    [[nodiscard]] std::vector<std::string> unfinished() const
    {
        std::vector<std::string> result;
        for (const auto &[id, node] : m_nodes) {
            if (node.result() == nullptr) {
                result.push_back(id);
            }
        }
        return result;
    }

    void commitDelayed()
    {
        m_table.commit(m_delayed.front());
        m_delayed.pop_front();
    }

    fake_table m_table;
    std::deque<transaction> m_delayed;
    std::map<std::string, submitting_node> m_nodes;
    std::map<std::string, configuration_version> m_bases;
    std::map<std::string, std::string> m_contents;
};

concurrent_submissions randomSubmissions()
{
    concurrent_submissions result;
    const int rounds = *rc::gen::inRange(1, 6);
    for (int round = 0; round < rounds; ++round) {
        const int submitters = *rc::gen::inRange(1, 5);
        for (int submitter = 0; submitter < submitters; ++submitter) {
            const std::string id = "s" + std::to_string(round) + "-" + std::to_string(submitter);
            result.submit(id, result.version(), *rc::gen::element(id, std::string("same")));
        }
        result.run();
    }
    result.resubmitUnknown();
    return result;
}

/// Returns the committed patches in the order of their versions.
std::vector<patch_record> committedPatches(const concurrent_submissions &finished)
{
    std::vector<patch_record> result;
    for (const row &stored : finished.table().scan(std::string(configurationPatchPrefix))) {
        result.push_back(parsePatchRecord(stored.value));
    }
    return result;
}

} // namespace

TEST_CASE("concurrent patches: a submission is accepted if and only if the table contains it, at the reported version")
{
    rc::prop("results agree with the table after lost, delayed and repeated commits", [] {
        const concurrent_submissions finished = randomSubmissions();
        std::map<std::string, configuration_version> committed;
        for (const patch_record &record : committedPatches(finished)) {
            RC_ASSERT(committed.emplace(record.submissionId, record.version).second);
        }
        for (const auto &[id, base] : finished.bases()) {
            const patch_result &result = finished.resultOf(id);
            RC_ASSERT(((result.outcome == patch_outcome::Accepted) == committed.contains(id)));
            RC_ASSERT((result.outcome != patch_outcome::Accepted || (result.version == committed.at(id) && result.version == base + 1)));
            RC_ASSERT(result.outcome != patch_outcome::OutcomeUnknown);
            RC_ASSERT((result.outcome != patch_outcome::Conflict || (result.version > base && result.version <= finished.version())));
        }
    });
}

TEST_CASE("concurrent patches: versions are consecutive, each with one patch and one audit row, and the snapshot version is valid")
{
    rc::prop("applying the patch rows in order gives the expected configuration", [] {
        const concurrent_submissions finished = randomSubmissions();
        configuration_history history({});
        history.applySnapshot({.version = 0, .json = "{}"});
        std::set<std::string> expected;
        std::size_t patches = 0;
        for (const patch_record &record : committedPatches(finished)) {
            RC_ASSERT(history.apply({.version = record.version, .mergePatch = record.mergePatch}));
            expected.insert(changedFields(record.mergePatch).front());
            ++patches;
        }
        RC_ASSERT((history.version() == finished.version()));
        RC_ASSERT(history.current()->callers.size() == expected.size());
        RC_ASSERT(finished.table().scan(std::string(auditPrefix)).size() == patches);
        const configuration_head head = parseHead(finished.table().read(std::string(configurationHeadKey)));
        RC_ASSERT((head.snapshotVersion <= head.version && head.snapshotVersion % 3 == 0));
    });
}

TEST_CASE("the version of a history never decreases, and its patches stay consecutive, for updates in any order")
{
    rc::prop("updates from histories at random versions", [] {
        const configuration_history_options small{.maximumPatches = 5, .maximumPatchBytes = 400};
        std::vector<configuration_history> histories;
        configuration_history growing(small);
        growing.applySnapshot({.version = 0, .json = "{}"});
        histories.push_back(growing);
        for (configuration_version version = 1; version <= 20; ++version) {
            growing.apply({.version = version, .mergePatch = patchOf("c" + std::to_string(version))});
            RC_ASSERT(growing.patchBytes() <= small.maximumPatchBytes);
            histories.push_back(growing);
        }
        configuration_history receiver(small);
        const auto picks = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, histories.size()));
        std::optional<configuration_version> highest;
        for (const std::size_t pick : picks) {
            receiver.applyUpdate(histories[pick].since(receiver.version()));
            highest = std::max(highest, histories[pick].version());
            RC_ASSERT((receiver.version() == highest));
            RC_ASSERT((toJson(*receiver.current()) == toJson(*histories[*highest].current())));
        }
        const configuration_patch other{.version = *rc::gen::inRange<configuration_version>(1, 21), .mergePatch = patchOf("other")};
        const bool follows = highest && other.version == *highest + 1;
        RC_ASSERT(receiver.apply(other) == follows);
        // An update created for an older state of the receiver must not decrease the version either.
        const auto before = receiver.version();
        receiver.applyUpdate(histories[*rc::gen::inRange<std::size_t>(0, histories.size())].since(std::nullopt));
        RC_ASSERT((receiver.version() >= before));
    });
}
