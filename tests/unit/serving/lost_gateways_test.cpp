#include "banyan/core/serving/job_directory.h"
#include "banyan/core/serving/registration_monitor.h"
#include "banyan/core/serving/report_hubs.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};
constexpr duration step = 500ms; ///< Of the model: each node reads, reports and reviews once.
constexpr duration propagation = 1s; ///< Until a node reads a change of the store.
constexpr unsigned historySeeds = 6;
constexpr duration finishTime = 18s; ///< In which accepted jobs have to be done.
constexpr duration runTime = 3s; ///< Of a job once it has an owner.

using gateway_rows = std::map<std::string, registered_gateway>;

/// Rows of gateways and one job in a store.
struct store_model
{
    gateway_rows rows;
    std::map<std::string, double> shares;
    row_version version = 1;
    job_entry job{.id = job_id("job"), .total = 10};
    std::map<time_point, std::shared_ptr<const gateway_rows>> history; ///< The rows after the changes of a time.
    bool isSilent = false;

    void changed(time_point now)
    {
        history[now] = std::make_shared<const gateway_rows>(rows);
    }

    [[nodiscard]] std::shared_ptr<const gateway_rows> rowsAt(time_point at) const
    {
        const auto after = history.upper_bound(at);
        return after == history.begin() ? after->second : std::prev(after)->second;
    }
};

struct gateway_model
{
    gateway_model(const std::string &name, bool answers)
        : id(name)
        , answersCalls(answers)
        , hubs({.self = id})
        , directory({.self = id})
        , monitor({.self = id})
    {
    }

    node_id id;
    bool answersCalls;
    bool isLost = false;
    bool isFrozen = false;
    bool wasFrozen = false;
    bool isCut = false; ///< From all other gateways, but not from the store.
    time_point readAt; ///< The node knows all changes up to then.
    std::shared_ptr<const gateway_rows> known;
    report_hubs hubs;
    job_directory directory;
    registration_monitor monitor;
};

class fleet_model
{
public:
    fleet_model(int strong, int weak, int oldBuilds = 0)
    {
        for (int number = 0; number < strong + weak; ++number) {
            add(number < strong ? 0.5 : 0.12, number >= oldBuilds);
        }
        m_store.history.clear();
        m_store.changed(start);
    }

    gateway_model &add(double share, bool answersCalls = true)
    {
        const std::string name = "n" + std::to_string(m_gateways.size());
        m_gateways.push_back(std::make_unique<gateway_model>(name, answersCalls));
        m_store.shares[name] = share;
        m_store.rows[name] = {.node = node_id(name), .version = ++m_store.version, .answersCalls = answersCalls};
        m_store.changed(m_now);
        return *m_gateways.back();
    }

    gateway_model &at(std::size_t index)
    {
        return *m_gateways.at(index);
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_gateways.size();
    }

    store_model &store()
    {
        return m_store;
    }

    void submitTo(std::size_t owner)
    {
        m_store.job.owner = node_id("n" + std::to_string(owner));
        m_store.job.version = ++m_store.version;
        m_jobChangedAt = m_now;
    }

    void lose(std::size_t first, std::size_t end)
    {
        for (std::size_t index = first; index < end; ++index) {
            at(index).isLost = true;
        }
    }

    void runFor(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += step) {
            for (const auto &gateway : m_gateways) {
                if (!gateway->isLost && !gateway->isFrozen) {
                    advance(*gateway);
                }
            }
        }
    }

    /// Whether the job's owner lives and has the job, and nothing is left of the gateways that are lost.
    [[nodiscard]] bool jobGoesOn() const
    {
        return isLiving(m_store.job.owner);
    }

    /// Registered gateways that are lost, and living ones that are not registered.
    [[nodiscard]] std::size_t wrongRows() const
    {
        std::size_t wrong = 0;
        for (const auto &gateway : m_gateways) {
            const bool isRegistered = m_store.rows.contains(gateway->id.text());
            wrong += isRegistered == isLiving(gateway->id) ? 0 : 1;
        }
        return wrong;
    }

    [[nodiscard]] int writes() const
    {
        return m_writes;
    }

    [[nodiscard]] int takeovers() const
    {
        return m_takeovers;
    }

private:
    [[nodiscard]] bool isLiving(const node_id &node) const
    {
        return std::any_of(m_gateways.begin(), m_gateways.end(), [&](const auto &gateway) {
            return gateway->id == node && !gateway->isLost && !gateway->isFrozen;
        });
    }

    void advance(gateway_model &self)
    {
        if (std::exchange(self.wasFrozen, false)) {
            self.monitor.resumed(m_now);
            self.directory.resumed(m_now);
        }
        if (!m_store.isSilent) {
            read(self, m_now - propagation);
        }
        report(self);
        takeOver(self);
        review(self);
    }

    void read(gateway_model &self, time_point upTo)
    {
        self.readAt = std::max(self.readAt, upTo);
        if (m_store.job.version > 0 && m_now - m_jobChangedAt >= propagation) {
            self.directory.update(m_store.job);
        }
        const std::shared_ptr<const gateway_rows> rows = m_store.rowsAt(self.readAt);
        if (std::exchange(self.known, rows) == rows) {
            return;
        }
        std::map<node_id, double> shares;
        std::set<node_id> registered;
        for (const auto &[key, row] : *rows) {
            shares.emplace(row.node, m_store.shares.at(key));
            registered.insert(row.node);
        }
        self.hubs.setRegistered(shares);
        self.directory.setHubs(self.hubs);
        self.directory.setRegistered(registered);
        self.monitor.setRegistered(*rows, self.hubs, m_now);
        const auto own = rows->find(self.id.text());
        const bool isCalled = own != rows->end() && !own->second.calledBy.text().empty();
        if (self.answersCalls && (own == rows->end() || isCalled)) {
            write(self.id.text(), {.node = self.id, .answersCalls = true});
        }
    }

    void write(const std::string &key, registered_gateway row)
    {
        row.version = ++m_store.version;
        m_store.rows[key] = row;
        m_store.changed(m_now);
        ++m_writes;
    }

    void report(gateway_model &self)
    {
        for (const auto &other : m_gateways) {
            const bool arrives = !other->isLost && !other->isFrozen && !self.isCut && !other->isCut && other->id != self.id;
            if (arrives && self.known->contains(other->id.text()) && self.hubs.reportsTo(other->id)) {
                other->directory.recordReport(self.id, m_now);
                other->monitor.recordReport(self.id, m_now);
            }
        }
    }

    void takeOver(gateway_model &self)
    {
        for (const job_entry &due : self.directory.dueForTakeover(m_now)) {
            if (!m_store.isSilent && due.version == m_store.job.version) {
                m_store.job.owner = self.id;
                m_store.job.version = ++m_store.version;
                m_jobChangedAt = m_now;
                self.directory.update(m_store.job);
                ++m_takeovers;
            }
        }
    }

    void review(gateway_model &self)
    {
        if (!self.answersCalls || m_store.isSilent || self.monitor.review(m_now).isEmpty()) {
            return;
        }
        read(self, m_now);
        const registration_review due = self.monitor.review(m_now);
        for (const std::string &key : due.removals) {
            m_store.rows.erase(key);
            m_store.changed(m_now);
            ++m_writes;
        }
        for (const std::string &key : due.calls) {
            registered_gateway row = m_store.rows.at(key);
            row.calledBy = self.id;
            write(key, row);
        }
    }

    std::vector<std::unique_ptr<gateway_model>> m_gateways;
    store_model m_store;
    time_point m_now = start + propagation;
    time_point m_jobChangedAt = start;
    int m_writes = 0;
    int m_takeovers = 0;
};

} // namespace

// Guards against jobs that nobody takes over because all hubs are lost and keep their rows; the fleets have one node less and one more
// than the mesh.
TEST_CASE("a job goes on within the finish time after all hubs and its owner are lost, in meshes and fleets with hubs")
{
    const int nodes = GENERATE(100, 101, 150);
    const int strong = GENERATE(16, 60);
    fleet_model fleet(strong, nodes - strong);
    fleet.runFor(3s);
    fleet.submitTo(static_cast<std::size_t>(strong));
    fleet.runFor(1500ms);
    fleet.lose(0, static_cast<std::size_t>(strong) + 1);
    fleet.runFor(finishTime - runTime);
    INFO(nodes << " nodes, " << strong << " of the strongest lost; owner " << fleet.store().job.owner.text());
    CHECK(fleet.jobGoesOn());
    CHECK(fleet.wrongRows() == 0);
}

// Guards against the same with hubs that are lost later, a submission between, hubs that are frozen, new machines, a silent store.
TEST_CASE("a job goes on whatever happens to the hubs around it")
{
    fleet_model fleet(16, 91);
    fleet.runFor(3s);
    SECTION("a second wave takes the new hubs and the owner")
    {
        fleet.lose(0, 16);
        fleet.runFor(8s);
        fleet.submitTo(60);
        fleet.runFor(1500ms);
        fleet.lose(16, 61);
    }
    SECTION("all hubs were lost long before the submission")
    {
        fleet.lose(0, 16);
        fleet.runFor(30s);
        fleet.submitTo(40);
        fleet.runFor(1500ms);
        fleet.lose(40, 41);
    }
    SECTION("machines as strong come after the loss")
    {
        fleet.submitTo(40);
        fleet.runFor(1500ms);
        fleet.lose(0, 16);
        fleet.lose(40, 41);
        fleet.runFor(6s);
        for (int number = 0; number < 16; ++number) {
            (void)fleet.add(0.5);
        }
    }
    SECTION("the store is silent when the hubs are lost")
    {
        fleet.submitTo(40);
        fleet.runFor(1500ms);
        fleet.store().isSilent = true;
        fleet.lose(0, 16);
        fleet.lose(40, 41);
        fleet.runFor(5s);
        fleet.store().isSilent = false;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            fleet.at(index).monitor.resumed(start + 9500ms);
        }
    }
    SECTION("builds that answer no calls are among the hubs and the others")
    {
        fleet_model mixed(16, 91, 50);
        mixed.runFor(3s);
        mixed.submitTo(70);
        mixed.runFor(1500ms);
        mixed.lose(0, 16);
        mixed.lose(70, 71);
        mixed.runFor(finishTime - runTime);
        CHECK(mixed.jobGoesOn());
    }
    fleet.runFor(finishTime - runTime);
    CHECK((fleet.jobGoesOn() || fleet.store().job.version == 0));
    CHECK(fleet.wrongRows() == 0);
}

// Guards against hubs that wake up, know nothing of the time between and take everything over.
TEST_CASE("hubs that were frozen until others replaced them return without a takeover")
{
    fleet_model fleet(16, 91);
    fleet.runFor(3s);
    fleet.submitTo(40);
    for (std::size_t index = 0; index < 16; ++index) {
        fleet.at(index).isFrozen = true;
    }
    fleet.runFor(20s);
    CHECK(fleet.takeovers() == 0);
    for (std::size_t index = 0; index < 16; ++index) {
        fleet.at(index).isFrozen = false;
        fleet.at(index).wasFrozen = true;
    }
    fleet.runFor(10s);
    CHECK(fleet.wrongRows() == 0);
    CHECK(fleet.takeovers() == 0);
    CHECK(fleet.store().job.owner == node_id("n40"));
}

// Guards against living nodes that lose their registrations because one node is cut off from the others.
TEST_CASE("a node that reaches the store but no other node removes nobody, and writes little")
{
    const int nodes = GENERATE(13, 107);
    fleet_model fleet(nodes / 2, nodes - nodes / 2);
    fleet.runFor(3s);
    const int before = fleet.writes();
    fleet.at(static_cast<std::size_t>(nodes) - 1).isCut = true;
    fleet.runFor(8s);
    CHECK(fleet.wrongRows() == 0);
    INFO(nodes << " nodes: " << fleet.writes() - before << " writes in 8 s"); // A call and an answer for each hub or node, and for itself.
    CHECK(fleet.writes() - before <= 2 * (nodes > 100 ? 17 : nodes));
    fleet.at(static_cast<std::size_t>(nodes) - 1).isCut = false;
    fleet.runFor(8s);
    CHECK(fleet.wrongRows() == 0);
}

// Guards against rows that stay for good: of a node that is lost between a sign of life and its answer, and of an old build whose first
// call came to nothing.
TEST_CASE("registration_monitor removes a node that was heard after its call, and calls an old build again")
{
    const bool answersCalls = GENERATE(true, false);
    report_hubs hubs({.self = node_id("a")});
    hubs.setRegistered({{node_id("a"), 1}, {node_id("b"), 1}, {node_id("c"), 1}});
    registration_monitor monitor({.self = node_id("a")});
    registered_gateway row{.node = node_id("b"), .version = 1, .answersCalls = answersCalls};
    monitor.setRegistered({{"b", row}}, hubs, start);
    row.calledBy = node_id("c");
    row.version = 2;
    monitor.setRegistered({{"b", row}}, hubs, start + 1s);
    monitor.recordReport(node_id("b"), start + 3500ms);
    CHECK(monitor.review(start + 5s).isEmpty());
    CHECK(monitor.review(start + 8s).removals == std::vector<std::string>{"b"});
    monitor.recordReport(node_id("b"), start + 20s);
    CHECK(monitor.review(start + 22s).removals.empty());
    const registration_review later = monitor.review(start + 24s);
    CHECK(later.removals.size() == (answersCalls ? 1 : 0));
    CHECK(later.calls.size() == (answersCalls ? 0 : 1));
}

TEST_CASE("gateways write nothing to the store while all are well")
{
    fleet_model fleet(16, 91);
    fleet.runFor(10s);
    CHECK(fleet.writes() == 0);
}

// Random histories: waves of losses, freezes, cuts, new nodes, a silent store.
TEST_CASE("after any history of losses, freezes, cuts and replacements the registrations are true and a job goes on")
{
    for (unsigned seed = 1; seed <= historySeeds; ++seed) {
        std::mt19937 generator(seed);
        const auto draw = [&](int least, int most) {
            return std::uniform_int_distribution<int>(least, most)(generator);
        };
        const int oldBuilds = draw(0, 2) == 0 ? draw(1, 30) : 0;
        fleet_model fleet(draw(1, 40), draw(70, 100), oldBuilds);
        fleet.runFor(3s);
        const auto pick = [&] {
            return static_cast<std::size_t>(draw(0, static_cast<int>(fleet.size()) - 1));
        };
        for (int event = 0; event < 6; ++event) {
            const std::size_t first = pick() / 2;
            gateway_model &one = fleet.at(pick());
            switch (draw(0, 3)) {
            case 0:
                fleet.lose(first, std::min(fleet.size() - 30, first + static_cast<std::size_t>(draw(1, 25))));
                break;
            case 1:
                one.isFrozen = !one.isLost && !one.isFrozen;
                one.wasFrozen = true;
                break;
            case 2:
                one.isCut = !one.isCut;
                break;
            default:
                (void)fleet.add(draw(0, 1) == 0 ? 0.5 : 0.12);
                break;
            }
            fleet.runFor(draw(1, 10) * 500ms);
        }
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            gateway_model &gateway = fleet.at(index);
            gateway.wasFrozen = std::exchange(gateway.isFrozen, false);
            gateway.isCut = false;
        }
        fleet.runFor(2s);
        const std::size_t owner = pick();
        fleet.submitTo(owner);
        fleet.runFor(1500ms);
        fleet.lose(owner, owner + 1);
        fleet.runFor(finishTime - runTime);
        INFO("seed " << seed << ": " << fleet.size() << " nodes, owner " << fleet.store().job.owner.text());
        CHECK(fleet.jobGoesOn());
        CHECK((oldBuilds > 0 || fleet.wrongRows() == 0)); // Old builds remove no rows, and their own only if two others miss them.
    }
}
