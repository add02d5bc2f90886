#include "banyan/core/record_row.h"
#include "banyan/io/log.h"
#include "banyan/io/record_service.h"
#include "banyan/io/store_error.h"
#include "property/fake_platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

using namespace banyan;
using banyan::tests::fake_platform;

namespace {

constexpr int keys = 12;
constexpr int maximumKills = 4;
constexpr std::size_t leastNodes = 3;
constexpr std::size_t largeBody = 2000; ///< Bytes; stored as an object.
constexpr duration giveUpAfter = std::chrono::seconds(20);
constexpr duration quietTime = std::chrono::seconds(40); ///< An accept() may go on after its caller's wait.
constexpr int roundsToSettle = 40000;

/// What the sequential model knows of one key with one content: what its callers were told and what the upstream ran.
struct order
{
    int submissions = 0;
    int refusals = 0; ///< Told "not run".
    int conflicts = 0; ///< Told that the key stands for other content.
    bool accepted = false;
    int effects = 0;
};

/// One request on its way through a dispatcher's node.
struct dispatch_run
{
    explicit dispatch_run(asio::io_context &context)
        : changed(context)
    {
    }

    std::optional<run_answer> answer;
    bool abandoned = false; ///< The entry node hears no more of it.
    async_event changed;
};

/// Nodes with a real record_service each, on a fake store, fake dispatchers and a fake upstream that counts.
class fleet_model
{
public:
    explicit fleet_model(std::uint32_t seed)
        : m_random(seed)
    {
        for (std::size_t index = 0; index < leastNodes; ++index) {
            addNode();
        }
        announceNodes();
    }

    void step(std::uint32_t choice)
    {
        switch (choice % 40) {
        case 0:
            if (choice / 40 % 5 == 0) {
                kill(choice / 200);
            }
            break;
        case 1:
        case 2:
            togglePause(static_cast<int>(choice / 40 % m_services.size()));
            break;
        case 3:
            m_platform.down = !m_platform.down && choice / 40 % 4 == 0;
            break;
        case 4:
        case 5:
            abandon(choice / 40);
            break;
        case 6:
        case 7:
        case 8:
            submit(static_cast<int>(choice / 40 % keys), choice / 480 % 8 == 0 ? 1 : 0, pickNode(choice / 4096));
            break;
        case 9:
        case 10:
        case 11:
        case 12:
            m_platform.passTime(std::chrono::milliseconds(choice / 40 % 1500));
            break;
        case 13:
            announceNodes();
            break;
        default:
            m_platform.advance(choice / 1024, faultOf(choice / 40 % 24));
        }
    }

    /// No more faults: everything accepted must come to its end.
    void settle()
    {
        m_calm = true;
        m_platform.down = false;
        for (std::size_t node = 0; node < m_services.size(); ++node) {
            m_platform.pause(static_cast<int>(node), false);
        }
        announceNodes();
        time_point quietSince = m_platform.now();
        for (int round = 0; round < roundsToSettle && m_platform.now() - quietSince < quietTime; ++round) {
            abandonLost();
            while (m_platform.advance(m_random(), fake_platform::fault::None)) {
            }
            const auto next = m_platform.nextTimer();
            m_platform.passTime(next ? std::max(*next - m_platform.now(), duration(1)) : duration(1000));
            quietSince = settled() ? quietSince : m_platform.now();
        }
        RC_ASSERT(settled());
    }

    void check()
    {
        for (const auto &[name, known] : m_orders) {
            const auto &[key, content] = name;
            const std::optional<record_row> record = recordOf(key);
            const bool mine = record && record->contentHash == contentOf(content);
            RC_LOG() << "key " << key << " content " << content << " effects " << known.effects << " accepted " << known.accepted
                     << " refusals " << known.refusals << " of " << known.submissions << " state "
                     << (mine ? toString(record->state) : "none") << "\n";
            if (!isRepeatable(key)) {
                RC_ASSERT(known.effects <= 1);
            }
            if (known.conflicts > 0 || known.refusals == known.submissions) {
                RC_ASSERT(known.effects == 0);
            }
            if (known.accepted) {
                RC_ASSERT(mine);
            }
            if (mine) {
                checkEnd(key, content, known, *record);
            }
        }
        checkHistory();
    }

private:
    static std::string contentOf(int content)
    {
        return "content-" + std::to_string(content);
    }

    static std::string idempotencyKeyOf(int key)
    {
        return "key-" + std::to_string(key);
    }

    static bool isRepeatable(int key)
    {
        return key % 3 == 0;
    }

    static caller_id caller()
    {
        return caller_id("niebla");
    }

    std::optional<record_row> recordOf(int key) const
    {
        const auto found = m_platform.table.read(recordKeyOf(caller(), idempotencyKeyOf(key)));
        return found ? std::optional(parseRecordRow(found->value)) : std::nullopt;
    }

    static fake_platform::fault faultOf(std::uint32_t choice)
    {
        switch (choice) {
        case 0:
            return fake_platform::fault::Refused;
        case 1:
            return fake_platform::fault::LostBefore;
        case 2:
            return fake_platform::fault::LostAfter;
        default:
            return fake_platform::fault::None;
        }
    }

    bool chance(int percent)
    {
        return !m_calm && static_cast<int>(m_random() % 100) < percent;
    }

    static node_id nameOf(int node)
    {
        return node_id("n" + std::to_string(node));
    }

    void addNode()
    {
        const int node = static_cast<int>(m_services.size());
        record_service_options options{
            .node = nameOf(node), .fleetCommitsPerSecond = 1000, .giveUpAfter = giveUpAfter, .inlineBytes = 1200};
        options.keepCopy = [this](std::string key, std::string result) -> task<> {
            return copyToAnother(this, std::move(key), std::move(result));
        };
        const request_runner runner = [this, node](run_request request, const std::shared_ptr<run_cancellation> &) -> task<run_answer> {
            return route(this, node, std::move(request));
        };
        m_services.push_back(std::make_unique<record_service>(m_context, m_platform.portOf(node), runner, options));
        m_services.back()->start();
    }

    std::vector<int> living() const
    {
        std::vector<int> nodes;
        for (int node = 0; node < static_cast<int>(m_services.size()); ++node) {
            if (!m_platform.dead(node)) {
                nodes.push_back(node);
            }
        }
        return nodes;
    }

    int pickNode(std::uint32_t choice) const
    {
        const std::vector<int> nodes = living();
        return nodes[choice % nodes.size()];
    }

    void kill(std::uint32_t choice)
    {
        if (m_kills >= maximumKills) {
            return;
        }
        ++m_kills;
        m_platform.kill(pickNode(choice));
        addNode();
    }

    void togglePause(int node)
    {
        m_platform.pause(node, !m_platform.paused(node));
    }

    void announceNodes()
    {
        std::vector<node_id> nodes;
        for (const int node : living()) {
            nodes.push_back(nameOf(node));
        }
        for (const int node : living()) {
            m_services[static_cast<std::size_t>(node)]->setLiveNodes(nodes);
        }
        m_platform.poll();
    }

    void abandon(std::uint32_t choice)
    {
        if (!m_runs.empty()) {
            const auto &run = m_runs[choice % m_runs.size()];
            run->abandoned = true;
            run->changed.notify();
            m_platform.poll();
        }
    }

    /// Entry nodes notice that a dispatcher's node is gone.
    void abandonLost()
    {
        for (const auto &[node, run] : m_runNodes) {
            if (m_platform.dead(node) && !run->answer) {
                run->abandoned = true;
                run->changed.notify();
            }
        }
        m_platform.poll();
    }

    void submit(int key, int content, int node)
    {
        order &known = m_orders[{key, content}];
        ++known.submissions;
        record_request request{.caller = caller(), .idempotencyKey = idempotencyKeyOf(key), .contentHash = contentOf(content)};
        request.request.dispatch = {.id = request_id("r"), .caller = caller(), .repeatable = isRepeatable(key)};
        request.request.dispatch.deadline = m_platform.now() + std::chrono::seconds(20);
        request.request.message.body = std::to_string(key) + " " + std::to_string(content);
        request.request.message.body.resize(key % 2 == 0 ? largeBody : 10, ' ');
        asio::co_spawn(m_context, submitTo(this, &known, std::move(request), node), asio::detached);
        m_platform.poll();
    }

    static task<> submitTo(fleet_model *self, order *known, record_request request, int node)
    {
        record_service &service = *self->m_services[static_cast<std::size_t>(node)];
        ++self->m_waitingClients[node];
        try {
            const accept_outcome outcome = co_await service.accept(std::move(request), self->m_platform.now() + std::chrono::seconds(30));
            known->accepted = known->accepted || outcome.status != accept_status::Conflict;
            known->conflicts += outcome.status == accept_status::Conflict ? 1 : 0;
        } catch (const store_unavailable &) {
            ++known->refusals;
        } catch (const record_outcome_unknown &) {
            // Nothing was promised.
        }
        --self->m_waitingClients[node];
    }

    /// What an entry node does with a request: hands it to a dispatcher's node, now and then to two, and waits for one.
    static task<run_answer> route(fleet_model *self, int entry, run_request request)
    {
        co_await self->m_platform.park(entry);
        const bool twice = self->chance(10);
        if (twice) {
            const auto unheard = std::make_shared<dispatch_run>(self->m_context);
            const int other = self->pickNode(static_cast<std::uint32_t>(self->m_random()));
            asio::co_spawn(self->m_context, dispatch(self, other, request, unheard), asio::detached);
        }
        const int node = self->pickNode(static_cast<std::uint32_t>(self->m_random()));
        const auto run = std::make_shared<dispatch_run>(self->m_context);
        self->m_runs.push_back(run);
        self->m_runNodes.emplace_back(node, run);
        asio::co_spawn(self->m_context, dispatch(self, node, std::move(request), run), asio::detached);
        while (!run->answer && !run->abandoned) {
            co_await run->changed.wait();
        }
        run_answer answer{.result = {.what = disposition::OutcomeUnknown, .reason = end_reason::AnswerLost}};
        if (!run->abandoned && !(twice && run->answer->result.what == disposition::NotRun)) {
            answer = *run->answer;
        }
        co_await self->m_platform.park(entry);
        co_return answer;
    }

    static task<> dispatch(fleet_model *self, int node, run_request request, std::shared_ptr<dispatch_run> run)
    {
        co_await self->m_platform.park(node);
        const std::string recordKey = request.recordKey;
        const std::uint64_t fencingNumber = request.fencingNumber;
        const bool repeatable = request.dispatch.repeatable;
        bool started = false;
        const run_answer answer = co_await send(self, node, std::move(request), started);
        if (started && !repeatable && answer.result.what != disposition::NotRun) {
            const time_point until = self->m_platform.now() + std::chrono::milliseconds(500);
            co_await self->m_services[static_cast<std::size_t>(node)]->recordResult(recordKey, fencingNumber, answer, until);
        }
        run->answer = answer;
        run->changed.notify();
    }

    /// What a dispatcher's node does: records the start, sends, and tells the truth about it.
    static task<run_answer> send(fleet_model *self, int node, run_request request, bool &started)
    {
        run_answer answer{.result = {.what = disposition::NotRun, .reason = end_reason::Overloaded}};
        if (self->chance(15)) {
            co_return answer;
        }
        if (!request.dispatch.repeatable) {
            try {
                record_service &service = *self->m_services[static_cast<std::size_t>(node)];
                started = co_await service.recordStart(request.recordKey, request.fencingNumber, nameOf(node).text() + "/a");
                if (!started) {
                    answer.result = {.what = disposition::OutcomeUnknown, .reason = end_reason::AnswerLost};
                    co_return answer;
                }
            } catch (const store_unavailable &) {
                co_return answer;
            }
        }
        co_await self->m_platform.park(node);
        if (self->chance(10)) {
            co_return answer; // The upstream refused it.
        }
        int key = 0;
        int content = 0;
        std::istringstream(request.message.body) >> key >> content;
        ++self->m_orders[{key, content}].effects;
        co_await self->m_platform.park(node);
        answer.result = {.what = disposition::OutcomeUnknown, .reason = end_reason::AnswerLost};
        if (!self->chance(10)) {
            answer.result = {.what = disposition::Completed};
            answer.response.body = "answer to " + request.message.body;
        }
        co_return answer;
    }

    static task<> copyToAnother(fleet_model *self, std::string key, std::string result)
    {
        const int node = self->pickNode(static_cast<std::uint32_t>(self->m_random()));
        co_await self->m_platform.park(node);
        self->m_services[static_cast<std::size_t>(node)]->keepResultFor(key, result);
    }

    bool settled() const
    {
        for (const auto &[node, waiting] : m_waitingClients) {
            if (waiting > 0 && !m_platform.dead(node)) {
                return false;
            }
        }
        for (const row &found : m_platform.table.scan(std::string(recordPrefix), "", 1000)) {
            if (!isFinal(parseRecordRow(found.value).state)) {
                return false;
            }
        }
        return std::none_of(m_orders.begin(), m_orders.end(), [this](const auto &entry) {
            return entry.second.accepted && !recordOf(entry.first.first);
        });
    }

    void checkEnd(int key, int content, const order &known, const record_row &record)
    {
        RC_ASSERT(isFinal(record.state));
        if (record.state == record_state::NotRun) {
            RC_ASSERT(known.effects == 0);
        }
        if (record.state != record_state::Completed) {
            return;
        }
        RC_ASSERT(known.effects >= 1);
        const std::optional<stored_record> read = readAnywhere(key);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->answer.has_value());
        const std::string expected = "answer to " + std::to_string(key) + " " + std::to_string(content);
        RC_ASSERT(read->answer->response.body.starts_with(expected));
    }

    std::optional<stored_record> readAnywhere(int key)
    {
        std::optional<stored_record> read;
        const auto find = [&]() -> task<> {
            read = co_await m_services[static_cast<std::size_t>(living().front())]->find(caller(), idempotencyKeyOf(key));
        };
        asio::co_spawn(m_context, find(), asio::detached);
        m_platform.poll();
        while (!read && m_platform.advance(m_random(), fake_platform::fault::None)) {
        }
        return read;
    }

    /// A record that has ended does not change any more, unless it was not run and is accepted again.
    void checkHistory() const
    {
        std::map<std::string, record_row> last;
        for (const transaction &change : m_platform.table.history()) {
            for (const row_write &write : change.writes) {
                if (!write.key.starts_with(recordPrefix)) {
                    continue;
                }
                const record_row now = parseRecordRow(write.value.value_or(""));
                const auto before = last.find(write.key);
                if (before != last.end()) {
                    const record_state state = before->second.state;
                    RC_ASSERT(!isFinal(state) || state == record_state::NotRun);
                    RC_ASSERT(now.fencingNumber >= before->second.fencingNumber);
                }
                last[write.key] = now;
            }
        }
    }

    asio::io_context m_context;
    std::minstd_rand m_random;
    fake_platform m_platform{m_context};
    std::map<std::pair<int, int>, order> m_orders;
    std::vector<std::shared_ptr<dispatch_run>> m_runs;
    std::vector<std::pair<int, std::shared_ptr<dispatch_run>>> m_runNodes;
    std::map<int, int> m_waitingClients;
    std::vector<std::unique_ptr<record_service>> m_services;
    int m_kills = 0;
    bool m_calm = false;
};

} // namespace

TEST_CASE("recorded requests complete once, whatever happens to nodes, calls and the store")
{
    configureLog(log_level::Error);
    rc::prop("what callers were told, what the upstream ran and what is stored agree", [] {
        const auto seed = *rc::gen::inRange(1U, 1U << 30U);
        const auto steps = *rc::gen::resize(1500, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 1U << 30U)));
        fleet_model model(seed);
        for (const std::uint32_t step : steps) {
            model.step(step);
        }
        model.settle();
        model.check();
    });
}
