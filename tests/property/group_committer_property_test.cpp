#include "banyan/core/group_committer.h"
#include "banyan/core/ownership_index.h"

#include "property/fake_table.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <deque>
#include <map>
#include <set>

using namespace banyan;
using banyan::tests::fake_table;

namespace {

constexpr int holders = 2;
constexpr std::size_t sharedRows = 2;

/// Fault that the network injects into one call.
enum class fault {
    None,
    Refused, ///< The call has no effect, and the caller knows.
    AnswerLost, ///< The call takes effect at once, but the caller gets no answer.
    Delayed, ///< The call takes effect later, if its conditions still hold then.
    Dropped, ///< The call never takes effect, and the caller does not know.
};

struct submitted_item
{
    commit_item item;
    std::optional<commit_outcome> outcome;
};

/// Several committers that contend for one lease over a network that loses and delays calls. Each item writes a row of its
/// own, so that the history of the table tells how often the item took effect.
class contention
{
public:
    explicit contention(bool oneHolder)
        : m_oneHolder(oneHolder)
    {
        for (int holder = 0; holder < holders; ++holder) {
            restart(holder);
        }
    }

    /// The first holder acquires the lease.
    void begin()
    {
        takeOver(0);
        call(0, fault::None);
        collect(0);
    }

    /// Executes one random event.
    void step(std::uint32_t choice)
    {
        m_now += std::chrono::milliseconds(choice % 700);
        const int holder = m_oneHolder ? 0 : static_cast<int>(choice / 7 % holders);
        const std::uint32_t event = choice / 64 % 16;
        switch (m_oneHolder && event <= 2 ? 9 : event) {
        case 0:
            restart(holder);
            break;
        case 1:
        case 2:
            takeOver(holder);
            break;
        case 3:
            deliverDelayed(choice / 1024);
            break;
        case 4:
            if (choice / 1024 % 4 == 0 && !m_oneHolder) {
                m_committers[holder]->release();
            }
            m_table.reportsOneFailure = choice / 4096 % 2 == 0;
            break;
        case 9:
        case 10:
            toggleSharedRow(choice / 1024 % sharedRows);
            break;
        case 5:
        case 6:
        case 7:
        case 8:
            submit(holder, choice / 1024);
            break;
        default:
            call(holder, faultOf(choice / 1024 % 10));
        }
        collect(holder);
    }

    /// Runs without further faults until every pending item has its outcome.
    void finishPendingItems()
    {
        while (!m_delayed.empty()) {
            deliverDelayed(0);
        }
        for (int round = 0; round < 400; ++round) {
            m_now += std::chrono::seconds(1);
            for (int holder = 0; holder < holders; ++holder) {
                call(holder, fault::None);
                collect(holder);
            }
        }
    }

    void check() const
    {
        for (const auto &[key, entry] : m_items) {
            RC_LOG() << key.first << " ticket " << key.second.value << "\n";
            const std::size_t effects = entry.item.writes.empty() ? 0 : m_table.writesTo(entry.item.writes.front().key);
            if (!entry.outcome) {
                RC_ASSERT(key.first.starts_with("dead")); // The outcomes of a restarted holder are not reported.
                RC_ASSERT(effects <= 1U);
                continue;
            }
            switch (entry.outcome->status) {
            case commit_status::Committed:
                RC_ASSERT(effects == 1U);
                RC_ASSERT(entry.outcome->version == 0U || entry.outcome->version == m_table.read(entry.item.writes.front().key)->version);
                break;
            case commit_status::Unknown:
                RC_ASSERT(effects <= 1U);
                break;
            default:
                RC_ASSERT(effects == 0U);
            }
        }
        checkFencing();
    }

private:
    static fault faultOf(std::uint32_t choice)
    {
        switch (choice) {
        case 0:
            return fault::Refused;
        case 1:
        case 2:
            return fault::AnswerLost;
        case 3:
        case 4:
            return fault::Delayed;
        case 5:
            return fault::Dropped;
        default:
            return fault::None;
        }
    }

    std::string nameOf(int holder) const
    {
        return "n" + std::to_string(holder) + "-" + std::to_string(m_incarnations.at(holder));
    }

    void restart(int holder)
    {
        std::map<std::pair<std::string, commit_ticket>, submitted_item> items;
        for (auto &[key, entry] : m_items) {
            const bool restarted = m_incarnations.contains(holder) && key.first == nameOf(holder);
            items.emplace(std::pair(restarted ? "dead " + key.first : key.first, key.second), entry);
        }
        m_items = std::move(items);
        ++m_incarnations[holder];
        m_committers[holder] = std::make_unique<group_committer>(group_committer_options{.leaseKey = "lease",
                                                                                         .holder = nameOf(holder),
                                                                                         .ownedPrefix = "owned/" + nameOf(holder) + "/",
                                                                                         .maximumWrites = 3,
                                                                                         .commitsPerSecond = 10});
    }

    void takeOver(int holder)
    {
        group_committer &committer = *m_committers[holder];
        if (committer.status() == lease_status::NotHeld || committer.status() == lease_status::Lost) {
            commit_item first = newItem(holder);
            m_items[{nameOf(holder), committer.acquire(m_table.read("lease"), first, m_now)}] = {.item = first};
        }
    }

    commit_item newItem(int holder)
    {
        const std::string key = "item/" + nameOf(holder) + "/" + std::to_string(++m_nextItem);
        return {.writes = {{.key = key, .value = "x"}}};
    }

    void submit(int holder, std::uint32_t choice)
    {
        group_committer &committer = *m_committers[holder];
        commit_item item = newItem(holder);
        item.rejectWhenUnavailable = choice % 2 == 0;
        if (choice % 3 < 2) {
            const std::string shared = "shared/" + std::to_string(choice / 64 % sharedRows);
            const auto seen = m_table.read(shared);
            item.conditions.push_back({.key = shared, .version = seen ? seen->version : 0});
            item.writes.push_back({.key = shared, .value = seen && choice % 5 == 0 ? std::nullopt : std::optional(std::string("s"))});
        }
        if (choice % 4 == 1) {
            item.addedOwnership = item.writes.front().key;
            m_owned[holder].push_back(item.addedOwnership);
        } else if (!m_owned[holder].empty()) {
            item.removedOwnership = m_owned[holder].front();
            m_owned[holder].pop_front();
        }
        m_items[{nameOf(holder), committer.submit(item)}] = {.item = item};
    }

    /// Writes or deletes, as another client, a row that items are conditional on.
    void toggleSharedRow(std::size_t number)
    {
        const std::string key = "shared/" + std::to_string(number);
        const bool present = m_table.read(key).has_value();
        m_table.commit({.writes = {{.key = key, .value = present ? std::nullopt : std::optional(std::string("o"))}}});
    }

    void call(int holder, fault injected)
    {
        group_committer &committer = *m_committers[holder];
        const auto next = committer.nextCall(m_now);
        if (!next) {
            return;
        }
        if (const auto *read = std::get_if<read_call>(&*next)) {
            if (injected == fault::None || injected == fault::Delayed) {
                committer.readAnswered(m_table.read(read->key));
            } else {
                committer.readFailed(m_now);
            }
            return;
        }
        executeCommit(committer, std::get<commit_call>(*next).change, injected);
    }

    void executeCommit(group_committer &committer, const transaction &change, fault injected)
    {
        switch (injected) {
        case fault::None:
            committer.commitAnswered(m_table.commit(change), m_now);
            return;
        case fault::Refused:
            committer.commitFailed(commit_failure::Unavailable, m_now);
            return;
        case fault::AnswerLost:
            m_table.commit(change);
            break;
        case fault::Delayed:
            m_delayed.push_back(change);
            break;
        case fault::Dropped:
            break;
        }
        committer.commitFailed(commit_failure::OutcomeUnknown, m_now);
    }

    void deliverDelayed(std::uint32_t choice)
    {
        if (m_delayed.empty()) {
            return;
        }
        const auto chosen = m_delayed.begin() + static_cast<std::ptrdiff_t>(choice % m_delayed.size());
        m_table.commit(*chosen);
        m_delayed.erase(chosen);
    }

    void collect(int holder)
    {
        for (const commit_outcome &outcome : m_committers[holder]->takeOutcomes()) {
            submitted_item &entry = m_items.at({nameOf(holder), outcome.ticket});
            RC_ASSERT(!entry.outcome);
            entry.outcome = outcome;
        }
    }

    /// Checks that no transaction with an older fencing number follows one with a newer fencing number.
    void checkFencing() const
    {
        std::uint64_t highest = 0;
        std::map<std::uint64_t, std::string> holderOf;
        for (const transaction &change : m_table.history()) {
            if (change.id.empty()) {
                continue; // Not committed under the lease.
            }
            const lease_row lease = parseLeaseRow(change.writes.front().value.value_or(""));
            RC_ASSERT(lease.fencingNumber >= highest);
            highest = lease.fencingNumber;
            if (!lease.holder.empty()) {
                RC_ASSERT(holderOf.emplace(lease.fencingNumber, lease.holder).first->second == lease.holder);
            }
        }
    }

    bool m_oneHolder;
    fake_table m_table;
    time_point m_now{};
    std::map<int, std::unique_ptr<group_committer>> m_committers;
    std::map<int, int> m_incarnations;
    std::map<int, std::deque<std::string>> m_owned;
    std::map<std::pair<std::string, commit_ticket>, submitted_item> m_items;
    std::vector<transaction> m_delayed;
    int m_nextItem = 0;
};

} // namespace

TEST_CASE("group_committer reports outcomes that agree with the table under any network faults")
{
    const bool oneHolder = GENERATE(false, true);
    rc::prop("each item takes effect at most once, as its outcome says", [oneHolder] {
        const auto steps = *rc::gen::resize(600, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 1U << 24U)));
        contention scenario(oneHolder);
        scenario.begin();
        for (const std::uint32_t step : steps) {
            scenario.step(step);
        }
        scenario.finishPendingItems();
        scenario.check();
    });
}

TEST_CASE("group_committer combines queued items into one transaction and renews the lease only while a record is owned")
{
    group_committer committer({.leaseKey = "lease", .holder = "n1", .ownedPrefix = "owned/n1/"});
    fake_table table;
    time_point now{};
    const auto run = [&] {
        while (const auto call = committer.nextCall(now)) {
            committer.commitAnswered(table.commit(std::get<commit_call>(*call).change), now);
        }
    };
    committer.acquire(std::nullopt, {}, now);
    run();
    CHECK(committer.nextWakeUp(now) == std::nullopt);

    const std::size_t before = table.history().size();
    committer.submit({.writes = {{"a", "1"}}, .addedOwnership = "a"});
    committer.submit({.writes = {{"b", "1"}}, .addedOwnership = "b"});
    run();
    CHECK(table.history().size() == before + 1);
    CHECK(committer.ownedCount() == 2);
    CHECK(parseLeaseRow(table.read("lease")->value).idle == false);
    CHECK(committer.nextWakeUp(now).has_value());

    now += std::chrono::seconds(9);
    run();
    CHECK(table.history().size() == before + 2);

    committer.submit({.writes = {{"a", "2"}}, .removedOwnership = "a"});
    committer.submit({.writes = {{"b", "2"}}, .removedOwnership = "b"});
    run();
    CHECK(parseLeaseRow(table.read("lease")->value).idle);
    CHECK(table.scan("owned/", "", 10).empty());
    CHECK(committer.nextWakeUp(now) == std::nullopt);
}
