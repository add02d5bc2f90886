#include "unit/raw_upstream.h"
#include "unit/serving/forwarding_fixture.h"

#include "banyan/io/http_error.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <limits>
#include <map>
#include <random>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

/// Random decisions of one run.
struct chance
{
    std::mt19937 generator;

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(generator);
    }

    bool oneIn(std::size_t count)
    {
        return below(count) == 0;
    }
};

/// Passes connections on, and ends some of them after any byte of either direction.
class cutting_proxy
{
public:
    cutting_proxy(asio::io_context &context, endpoint to, chance &random)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_to(std::move(to))
        , m_random(random)
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    [[nodiscard]] endpoint address() const
    {
        return {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }

    /// Ends what is silent, and lets nothing more go silent.
    void closeSilent()
    {
        m_maySilence = false;
        for (const socket_pointer &socket : m_silent) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    }

private:
    using socket_pointer = std::shared_ptr<asio::ip::tcp::socket>;

    task<> accept()
    {
        for (;;) {
            auto near = std::make_shared<asio::ip::tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
            auto far = std::make_shared<asio::ip::tcp::socket>(m_acceptor.get_executor());
            const asio::ip::tcp::endpoint to(asio::ip::make_address(m_to.address), m_to.port);
            co_await far->async_connect(to, asio::use_awaitable);
            near->set_option(asio::ip::tcp::no_delay(true));
            far->set_option(asio::ip::tcp::no_delay(true));
            asio::co_spawn(m_acceptor.get_executor(), pump(near, far, limit(6, 1500)), asio::detached);
            asio::co_spawn(m_acceptor.get_executor(), pump(far, near, limit(6, 800)), asio::detached);
        }
    }

    std::size_t limit(std::size_t share, std::size_t most)
    {
        return m_random.oneIn(share) ? m_random.below(most) : std::numeric_limits<std::size_t>::max();
    }

    /// Ends both sides after @p limit bytes; some go silent instead.
    task<> pump(socket_pointer from, socket_pointer to, std::size_t limit)
    {
        char piece[4096];
        boost::system::error_code error;
        while (limit > 0) {
            std::size_t count = co_await from->async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                break;
            }
            count = std::min(count, limit);
            limit -= count;
            co_await asio::async_write(*to, asio::buffer(piece, count), asio::redirect_error(asio::use_awaitable, error));
        }
        if (limit == 0 && m_maySilence && m_random.oneIn(30)) {
            m_silent.insert(m_silent.end(), {from, to});
            co_return;
        }
        from->close(error);
        to->close(error);
    }

    asio::ip::tcp::acceptor m_acceptor;
    endpoint m_to;
    chance &m_random;
    std::vector<socket_pointer> m_silent;
    bool m_maySilence = true;
};

std::string answer(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An upstream behind one address, which instances take over from each other, and which may write an answer again on its connection.
struct repeating_upstream
{
    repeating_upstream(asio::io_context &context, chance &source, std::map<std::string, std::size_t> &counts, std::string name)
        : random(source)
        , runs(counts)
        , instance(std::move(name))
        , raw(context,
              [this](const std::string &request, std::size_t number) {
                  return play(request, raw.connections[number]);
              })
        , seenByGateway(context, raw.address(), source)
        , seenByHelper(context, raw.address(), source)
    {
    }

    raw_answer play(const std::string &request, std::size_t connection)
    {
        const std::string id = valueIn(request, "Request-Id");
        const std::string idField = "Request-Id: " + id + "\r\n";
        std::vector<std::string> &earlier = written[connection];
        std::string bytes;
        for (int copy = 0; copy < 2 && !earlier.empty() && random.oneIn(4); ++copy) {
            bytes += earlier[random.below(earlier.size())];
            ++copies;
        }
        if (valueIn(request, "Expect-Instance") != instance) {
            earlier.push_back(answer("421 No", idField, ""));
        } else if (random.oneIn(3)) {
            earlier.push_back(answer("503 No", "Not-Executed: 1\r\n" + idField, "full"));
        } else {
            ++runs[id];
            if (random.oneIn(15)) {
                return {.bytes = bytes, .end = connection_end::Closed};
            }
            earlier.push_back(random.oneIn(8) ? answer("500 No", idField, "failed")
                                              : answer("200 OK", "Response-Stamp: stamp\r\n" + idField, "answer to " + id));
        }
        const bool isRepeated = random.oneIn(8);
        copies += isRepeated ? 1 : 0;
        return {.bytes = bytes + earlier.back() + (isRepeated ? earlier.back() : "")};
    }

    chance &random;
    std::map<std::string, std::size_t> &runs; ///< Of each request.
    std::string instance;
    std::map<std::size_t, std::vector<std::string>> written; ///< Answers on each connection.
    std::size_t copies = 0;
    raw_upstream raw;
    cutting_proxy seenByGateway;
    cutting_proxy seenByHelper;
};

/// What the cases have covered, so that the property does not hold for want of events.
struct coverage
{
    std::map<unsigned, std::size_t> answers; ///< By status.
    std::size_t copies = 0;
    std::size_t throughHelper = 0; ///< Connections.
};

class hop_simulation
{
public:
    explicit hop_simulation(unsigned seed)
        : m_random{std::mt19937(seed)}
        , m_helper(m_fixture.context, m_fixture.helper->address(), m_random)
        , m_closed(closedPort())
    {
        m_fixture.nodes.front()->board.record({.sender = node_id("other"), .sequence = 1}, currentTime());
        m_fixture.paths.setNodes(
            {{.node = node_id("helper"), .address = m_helper.address()}, {.node = node_id("other"), .address = m_helper.address()}});
        for (std::size_t upstream = 0; upstream < 1 + m_random.below(2); ++upstream) {
            m_upstreams.push_back(std::make_unique<repeating_upstream>(m_fixture.context, m_random, m_runs, nextInstance()));
        }
        m_tables = {m_fixture.table, relay_fixture(request_kind::Idempotent).table};
    }

    ~hop_simulation()
    {
        settle();
    }
    hop_simulation(const hop_simulation &) = delete;
    hop_simulation &operator=(const hop_simulation &) = delete;

    void run(coverage &covered)
    {
        for (int step = 0; step < 10; ++step) {
            if (step == 0 || m_random.oneIn(3)) {
                changeUpstreams();
            }
            const bool mayRepeat = m_random.oneIn(3);
            m_fixture.table = m_tables.at(mayRepeat ? 1 : 0);
            std::vector<std::string> ids;
            for (std::size_t request = 0; request <= m_random.below(3); ++request) {
                ids.push_back("id-" + std::to_string(m_mayRepeat.size() + 1));
                m_mayRepeat[ids.back()] = mayRepeat;
            }
            for (int repeat = 0; repeat < 3 && !ids.empty(); ++repeat) {
                callAll(ids);
                for (const std::string &id : ids) {
                    check(id, mayRepeat);
                    ++covered.answers[m_answers[id].status];
                }
                std::erase_if(ids, [&](const std::string &id) { // Callers send what was not run again.
                    return m_answers[id].status != 503;
                });
            }
        }
        settle();
        for (const auto &[id, mayRepeat] : m_mayRepeat) {
            check(id, mayRepeat); // Nothing has run since the caller was told.
        }
        for (const auto &upstream : m_upstreams) {
            covered.copies += upstream->copies;
        }
        covered.throughHelper += static_cast<std::size_t>(m_fixture.helperClient.connectionsOpened());
    }

private:
    void settle()
    {
        m_helper.closeSilent();
        for (const auto &upstream : m_upstreams) {
            upstream->seenByGateway.closeSilent();
            upstream->seenByHelper.closeSilent();
        }
        m_fixture.settle();
    }

    std::string nextInstance()
    {
        return "instance-" + std::to_string(++m_instances);
    }

    /// Lets instances take over addresses and ways be lost or found. The helper hears of it later at times.
    void changeUpstreams()
    {
        std::vector<replica> registered;
        for (const auto &upstream : m_upstreams) {
            if (m_random.oneIn(2)) {
                upstream->instance = m_random.oneIn(2) ? nextInstance() : upstream->instance;
            }
            registered.push_back(upstream->raw.registeredAs({upstream->instance}).front());
            registered.back().address = upstream->seenByHelper.address();
        }
        std::size_t index = 0;
        const auto earlier = m_fixture.knownToHelper;
        m_fixture.registerUpstreams(registered, [&](const replica &) {
            const endpoint address = m_upstreams[index++]->seenByGateway.address();
            return m_random.oneIn(2) ? m_closed : address;
        });
        if (m_random.oneIn(4) && !earlier.empty()) {
            m_fixture.knownToHelper = earlier;
        }
        if (m_random.oneIn(3)) { // The upstream is taken over while the lists still name the one before.
            m_upstreams.front()->instance = nextInstance();
        }
    }

    void callAll(const std::vector<std::string> &ids)
    {
        std::size_t left = ids.size();
        for (const std::string &id : ids) {
            asio::co_spawn(m_fixture.context, call(id), [&left](const std::exception_ptr &) {
                --left;
            });
        }
        m_fixture.context.restart();
        while (left > 0) {
            m_fixture.context.run_one();
        }
    }

    task<> call(std::string id)
    {
        m_answers[id] = {};
        http_request request{.method = "POST",
                             .target = "/x/1",
                             .fields = {{"Host", "h"}, {"Request-Id", id}, {"Deadline-Ms", "60"}},
                             .body = "question of " + id};
        m_answers[id] = co_await m_fixture.caller.exchange(m_fixture.front.address(), std::move(request), generousTime);
    }

    void check(const std::string &id, bool mayRepeat)
    {
        const http_response &answer = m_answers[id];
        const std::size_t runs = m_runs[id];
        RC_ASSERT((mayRepeat || runs <= 1));
        if (answer.status == 503 || answer.status == 429 || answer.status == 421) {
            RC_ASSERT(runs == 0U);
        } else if (answer.status == 200) {
            RC_ASSERT(answer.body == "answer to " + id);
            RC_ASSERT(runs > 0U);
        } else {
            RC_ASSERT((answer.status == 500 || answer.status == 502 || answer.status == 504));
        }
    }

    chance m_random;
    forwarding_fixture m_fixture{request_kind::AtMostOnce};
    cutting_proxy m_helper; ///< Between the gateway and the one that forwards.
    endpoint m_closed;
    std::map<std::string, std::size_t> m_runs;
    std::vector<std::unique_ptr<repeating_upstream>> m_upstreams;
    std::vector<std::shared_ptr<const route_table>> m_tables;
    std::map<std::string, bool> m_mayRepeat; ///< All requests.
    std::map<std::string, http_response> m_answers; ///< The last one of each.
    std::size_t m_instances = 0;
};

} // namespace

// Guards against running a request twice, and against an answer that is not its own, where connections end at any byte.
TEST_CASE("callers of a gateway that sends through another one are told what has run, whatever upstreams repeat")
{
    coverage covered;
    rc::prop("cut connections, lost ways, repeated answers and addresses that are taken over", [&](unsigned seed) {
        hop_simulation(seed).run(covered);
    });
    CHECK(covered.answers[200] > covered.answers[503]);
    CHECK(covered.answers[502] > 0);
    CHECK(covered.copies > 0);
    CHECK(covered.throughHelper > 0);
}
