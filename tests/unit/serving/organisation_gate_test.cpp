#include "relay_fixture.h"

#include "banyan/core/serving/serving_configuration.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <variant>
#include <vector>

using namespace banyan;
using namespace banyan::tests;
using namespace std::chrono_literals;

namespace {

const caller_id name("o1");

/// Nodes that share the limit of one organisation and exchange reports; the first two send each other messages.
struct gate_fixture : relay_fixture
{
    gate_fixture(std::size_t count, double perSecond, double burst)
        : relay_fixture(request_kind::Idempotent)
    {
        identify = [this](client_request &request) {
            request.organisation = organisation;
        };
        const serving_configuration configuration{
            .version = 1,
            .routes = {},
            .services = {},
            .limits = {},
            .organisations = {{.name = name, .keys = {}, .priority = {}, .requestsPerSecond = perSecond, .burst = burst}}};
        while (nodes.size() < count) {
            addNode();
        }
        for (const auto &node : nodes) {
            node->limits.configure(configuration, currentTime());
            node->limits.setNodes(count, 600ms, true);
        }
    }

    /// Exchanges reports for some time, in which one node gets all shares.
    void exchangeReports(duration time)
    {
        run([&]() -> task<> {
            for (const time_point end = currentTime() + time; currentTime() < end;) {
                ++m_sequence;
                for (const auto &from : nodes) {
                    const limit_pool_report pools = from->limits.report(m_sequence, currentTime());
                    const node_load load{.sender = from->id, .sequence = m_sequence, .pools = pools};
                    for (const auto &to : nodes) {
                        to->limits.recordReport(load, true, currentTime());
                    }
                }
                co_await sleep(50ms);
            }
        });
    }

    void connect(serving_node &from, serving_node &to)
    {
        from.onSend = [this, &to](const gateway_message &message) {
            asio::post(context, [&to, message] {
                if (const auto *const ask = std::get_if<credit_ask>(&message)) {
                    to.limits.received(*ask);
                } else if (const auto *const grant = std::get_if<credit_grant>(&message)) {
                    to.limits.received(*grant);
                }
            });
        };
    }

    limit_verdict admit(serving_node &node)
    {
        limit_verdict verdict = limit_verdict::Waiting;
        run([&]() -> task<> {
            const request_id request("r1");
            const limit_decision decision = co_await node.limits.admit(name, request);
            verdict = decision.verdict;
        });
        return verdict;
    }

    caller_id organisation = name; ///< Of all requests.

private:
    std::uint64_t m_sequence = 0;
};

} // namespace

TEST_CASE("a relay rejects requests over their organisation's limit with 429 and the time to return, and runs none of them")
{
    gate_fixture fixture(1, 10, 1);
    scripted_upstream upstream(fixture.context, "u1", [](http_exchange &exchange) -> task<> {
        http_response answer = upstreamAnswer(200, "answer");
        co_await exchange.respond(std::move(answer));
    });
    fixture.setUpstreams({&upstream});
    fixture.exchangeReports(1s);
    CHECK(fixture.call("r1").status == 200);
    const http_response refused = fixture.call("r2");
    CHECK(refused.status == 429);
    CHECK_FALSE(refused.field("Retry-After").empty());
    CHECK(upstream.requests.size() == 1);
    fixture.organisation = caller_id("another");
    CHECK(fixture.call("r3").status == 200);
}

TEST_CASE("organisation_gate admits a request by the credit of another node, and rejects it soon if that does not answer")
{
    gate_fixture fixture(2, 50, 5);
    serving_node &first = *fixture.nodes[0];
    serving_node &second = *fixture.nodes[1];
    fixture.connect(first, second);
    fixture.connect(second, first);
    fixture.exchangeReports(1500ms);
    CHECK(fixture.admit(first) == limit_verdict::Admitted);
    CHECK(fixture.admit(second) == limit_verdict::Admitted);
    const auto drop = [](const gateway_message &) {};
    first.onSend = drop;
    second.onSend = drop;
    const time_point askedAt = currentTime();
    const std::vector<limit_verdict> verdicts = {fixture.admit(first), fixture.admit(second)};
    // One of the nodes keeps the credits, the other one gets no answer.
    CHECK(std::count(verdicts.begin(), verdicts.end(), limit_verdict::Refused) == 1);
    CHECK(currentTime() - askedAt < 1s);
}
