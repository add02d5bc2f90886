#include "load_run.h"

#include "banyan/io/http_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <chrono>
#include <memory>

namespace banyan::bench {

namespace {

constexpr duration requestTimeout = std::chrono::seconds(30);
constexpr unsigned statusOk = 200;

using steady_clock = std::chrono::steady_clock;

duration since(steady_clock::time_point start)
{
    return std::chrono::duration_cast<duration>(steady_clock::now() - start);
}

/// What the workers of a run share.
struct run_state
{
    http_client &client;
    load_options options;
    load_result result;
    std::size_t begun = 0;
    std::size_t workers = 0;
    std::shared_ptr<asio::steady_timer> finished;
};

task<> sendOne(std::shared_ptr<run_state> state)
{
    const auto start = steady_clock::now();
    bool succeeded = false;
    try {
        const http_response response = co_await state->client.exchange(state->options.target, state->options.request, requestTimeout);
        succeeded = response.status == statusOk;
    } catch (const http_error &) {
        succeeded = false;
    }
    if (succeeded) {
        state->result.latencies.push_back(since(start));
    } else {
        ++state->result.failures;
    }
}

task<> work(std::shared_ptr<run_state> state)
{
    while (state->begun < state->options.requests) {
        ++state->begun;
        co_await sendOne(state);
    }
    if (--state->workers == 0) {
        state->finished->cancel();
    }
}

} // namespace

void load_result::add(const load_result &other)
{
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
    failures += other.failures;
    elapsed += other.elapsed;
}

duration load_result::latencyAt(double quantile) const
{
    if (latencies.empty()) {
        return {};
    }
    std::vector<duration> sorted = latencies;
    std::ranges::sort(sorted);
    return sorted[static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1))];
}

double load_result::requestsPerSecond() const
{
    return static_cast<double>(latencies.size()) / std::chrono::duration<double>(elapsed).count();
}

task<load_result> loadRun(http_client &client, load_options options)
{
    const auto executor = co_await asio::this_coro::executor;
    auto state = std::make_shared<run_state>(run_state{.client = client, .options = std::move(options)});
    state->finished = std::make_shared<asio::steady_timer>(executor, asio::steady_timer::time_point::max());
    state->workers = state->options.concurrency;
    const auto start = steady_clock::now();
    for (std::size_t worker = 0; worker < state->options.concurrency; ++worker) {
        asio::co_spawn(executor, work(state), [](const std::exception_ptr &) {});
    }
    boost::system::error_code ignored;
    co_await state->finished->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    state->result.elapsed = since(start);
    co_return std::move(state->result);
}

} // namespace banyan::bench
