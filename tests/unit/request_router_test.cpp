#include "banyan/io/request_router.h"

#include "banyan/io/clock.h"
#include "banyan/io/peer_error.h"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

using namespace banyan;

namespace {

node_info makeNode(const std::string &name)
{
    return {.id = node_id(name), .vm = vm_id(name), .domain = failure_domain("sierra-a"), .peerAddress = endpoint::parse("127.0.0.1:1")};
}

vm_entry makeUpstream(const std::string &name, const std::string &domain)
{
    return {.id = vm_id(name),
            .role = vm_role::Upstream,
            .domain = failure_domain(domain),
            .address = endpoint::parse("127.0.0.1:2"),
            .pool = pool_name("advisory")};
}

run_outcome ended(disposition what, end_reason reason)
{
    run_outcome outcome;
    outcome.result = {.what = what, .reason = reason};
    return outcome;
}

/// A router whose tries are answered by a function of the test.
class router_fixture
{
public:
    using answer_function = std::function<run_outcome(std::size_t number, const node_info &, const run_request &)>;

    explicit router_fixture(answer_function answerTry)
        : m_answer(std::move(answerTry))
    {
        const node_info self = makeNode("self");
        request_router_options options;
        options.self = self;
        options.runHere = [this, self](const cell_id &, run_request request, answer_sink sink, const std::shared_ptr<run_cancellation> &) {
            return answerOnce(self, std::move(request), std::move(sink));
        };
        options.runAt =
            [this](node_info node, const cell_id &, run_request request, answer_sink sink, const std::shared_ptr<run_cancellation> &) {
                return answerOnce(std::move(node), std::move(request), std::move(sink));
            };
        m_router.emplace(m_context, std::move(options));
        vm_list vms; // Too many for one cell: each failure domain has its own.
        for (int number = 0; number < 10; ++number) {
            vms.push_back(makeUpstream("a" + std::to_string(number), "sierra-a"));
            vms.push_back(makeUpstream("b" + std::to_string(number), "sierra-b"));
        }
        m_router->setView(vms, {self, makeNode("other")});
    }

    final_result run(bool repeatable)
    {
        run_request request;
        request.dispatch.id = request_id("r-1");
        request.dispatch.repeatable = repeatable;
        request.dispatch.deadline = currentTime() + std::chrono::hours(1);
        request.pool = pool_name("advisory");
        run_answer answer;
        const auto work = [&]() -> task<> {
            answer = co_await m_router->runWhole(request, nullptr);
        };
        asio::co_spawn(m_context, work, [](const std::exception_ptr &failure) {
            REQUIRE_FALSE(failure);
        });
        m_context.restart();
        m_context.run();
        return answer.result;
    }

    bool passHead = false; ///< Pass an answer's head on before a try ends.
    std::vector<node_id> tried;
    std::vector<request_id> ids;
    std::vector<bool> startRecorded;

private:
    task<run_outcome> answerOnce(node_info node, run_request request, answer_sink sink)
    {
        tried.push_back(node.id);
        ids.push_back(request.dispatch.id);
        startRecorded.push_back(request.startRecorded);
        if (passHead) {
            std::vector<http_field> noFields;
            co_await sink.head(200, noFields);
        }
        co_return m_answer(tried.size(), node, request);
    }

    asio::io_context m_context;
    answer_function m_answer;
    std::optional<request_router> m_router;
};

} // namespace

TEST_CASE("request_router tries another cell when one did not run the request, under another id")
{
    router_fixture fixture([](std::size_t number, const node_info &, const run_request &) {
        return number == 1 ? ended(disposition::NotRun, end_reason::Overloaded) : ended(disposition::Completed, end_reason::None);
    });
    CHECK(fixture.run(false).what == disposition::Completed);
    REQUIRE(fixture.ids.size() == 2);
    CHECK(fixture.ids[0] != fixture.ids[1]);
}

TEST_CASE("request_router says not run when no cell ran the request")
{
    router_fixture fixture([](std::size_t, const node_info &, const run_request &) {
        return ended(disposition::NotRun, end_reason::Overloaded);
    });
    CHECK(fixture.run(true) == final_result{.what = disposition::NotRun, .reason = end_reason::Overloaded});
    CHECK(fixture.tried.size() == 2);
}

TEST_CASE("request_router asks the same cell's next owner when the first is draining")
{
    router_fixture fixture([](std::size_t number, const node_info &, const run_request &) {
        return number == 1 ? ended(disposition::NotRun, end_reason::Draining) : ended(disposition::Completed, end_reason::None);
    });
    CHECK(fixture.run(false).what == disposition::Completed);
    REQUIRE(fixture.tried.size() == 2);
    CHECK(fixture.tried[0] != fixture.tried[1]);
}

TEST_CASE("request_router sends a request again that has not arrived, also one not to be repeated")
{
    router_fixture fixture([](std::size_t number, const node_info &, const run_request &) -> run_outcome {
        if (number == 1) {
            throw peer_error(false, "refused");
        }
        return ended(disposition::Completed, end_reason::None);
    });
    CHECK(fixture.run(false).what == disposition::Completed);
}

TEST_CASE("request_router never sends a request not to be repeated again once it may have arrived")
{
    router_fixture fixture([](std::size_t, const node_info &, const run_request &) -> run_outcome {
        throw peer_error(true, "connection lost");
    });
    CHECK(fixture.run(false).what == disposition::OutcomeUnknown);
    CHECK(fixture.tried.size() == 1);
}

TEST_CASE("request_router never calls a request not run that may have arrived somewhere")
{
    router_fixture fixture([](std::size_t number, const node_info &, const run_request &) -> run_outcome {
        if (number == 1) {
            throw peer_error(true, "connection lost");
        }
        return ended(disposition::NotRun, end_reason::Overloaded);
    });
    CHECK(fixture.run(true).what == disposition::Failed);
}

TEST_CASE("request_router does not repeat a request whose answer has begun")
{
    router_fixture fixture([](std::size_t, const node_info &, const run_request &) -> run_outcome {
        throw peer_error(true, "connection lost");
    });
    fixture.passHead = true;
    CHECK(fixture.run(true).what == disposition::Failed);
    CHECK(fixture.tried.size() == 1);
}

TEST_CASE("request_router hands on that the start of a request is recorded")
{
    router_fixture fixture([](std::size_t number, const node_info &, const run_request &) {
        run_outcome outcome = ended(disposition::NotRun, end_reason::Overloaded);
        outcome.startRecorded = number == 1;
        return outcome;
    });
    CHECK(fixture.run(false).what == disposition::NotRun);
    CHECK(fixture.startRecorded == std::vector<bool>{false, true});
}
