#include "replica_standin.h"

#include "common/exchanges.h"

namespace banyan::standins {

namespace json = boost::json;

namespace {

constexpr duration hangTime = std::chrono::hours(1);
constexpr std::string_view crashMark = "crashes replicas"; // A body that holds it ends the connection of its run.
constexpr std::string_view longMark = "/long"; // A path that holds it is answered at length.
constexpr std::string_view failingMark = "/fails/"; // A path that holds it is answered with status 500.
constexpr std::string_view crashingPart = "dead:"; // A prompt part that does the same.

/// Counts a run while it is in progress.
struct run_guard
{
    explicit run_guard(std::size_t &counter)
        : m_counter(counter)
    {
        ++m_counter;
    }
    ~run_guard()
    {
        --m_counter;
    }
    run_guard(const run_guard &) = delete;
    run_guard &operator=(const run_guard &) = delete;

private:
    std::size_t &m_counter;
};

} // namespace

replica_standin::replica_standin(replica_standin_options options)
    : m_options(std::move(options))
{
}

void replica_standin::addRoutes(http_server &server)
{
    server.route("POST", "/standin/faults", [this](http_exchange &exchange) {
        return handleFaults(exchange);
    });
    server.route("GET", "/standin/runs", [this](http_exchange &exchange) {
        return handleRuns(exchange);
    });
    server.route("GET", "/standin/arrivals", [this](http_exchange &exchange) {
        return handleArrivals(exchange);
    });
    server.routeOthers([this](http_exchange &exchange) {
        return handle(exchange);
    });
}

task<> replica_standin::handle(http_exchange &exchange)
{
    const std::string body = co_await exchange.body(maximumBody);
    m_arrivals.push_back(std::chrono::steady_clock::now());
    const std::string expected = exchange.field("Expect-Instance");
    if (!expected.empty() && expected != m_options.id) {
        http_response response{.status = 421, .fields = answerFields({{"Instance-Id", m_options.id}})};
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (m_running >= m_options.slots) {
        http_response response{.status = 503, .fields = answerFields({{"Not-Executed", "1"}})};
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const run_guard guard(m_running);
    ++m_runs[exchange.requestId()];
    if (m_mode == "hang") {
        co_await sleepFor(hangTime);
    }
    const bool crashes =
        body.find(crashMark) != std::string::npos || exchange.field("Prompt-Prefix").find(crashingPart) != std::string::npos;
    if (m_mode == "reset" || m_mode == "hang" || crashes) {
        co_return;
    }
    if (exchange.path().find(failingMark) != std::string::npos) {
        co_await sleepFor(m_options.eventTime);
        http_response response{.status = 500, .fields = answerFields({{"Response-Stamp", "stamp"}})};
        co_await exchange.respond(std::move(response));
    } else if (exchange.field("Model").empty()) {
        co_await answerWhole(exchange);
    } else {
        co_await answerStream(exchange);
    }
}

std::vector<http_field> replica_standin::answerFields(std::vector<http_field> fields) const
{
    if (m_mode == "leaving") {
        fields.push_back({"Server-Leaving", "1"});
    }
    if (!m_limit.empty()) {
        fields.push_back({"Server-Limit", m_limit});
    }
    return fields;
}

std::string replica_standin::paddingOf(const http_exchange &exchange) const
{
    return exchange.path().find(longMark) == std::string::npos ? std::string() : std::string(m_options.longBytes, 'x');
}

task<> replica_standin::answerWhole(http_exchange &exchange)
{
    co_await sleepFor(m_options.eventTime);
    http_response response{.status = m_mode == "impossible" ? 422U : 200U, .fields = answerFields({{"Response-Stamp", "stamp"}})};
    response.body = "answer to " + exchange.requestId() + paddingOf(exchange);
    response.framing = m_mode == "unframed" ? answer_framing::ConnectionEnd : answer_framing::Length;
    co_await exchange.respond(std::move(response));
}

task<> replica_standin::answerStream(http_exchange &exchange)
{
    if (m_mode == "impossible") {
        co_await answerWhole(exchange);
        co_return;
    }
    const std::string after = exchange.field("Last-Event-Id");
    std::vector<http_field> fields = answerFields({{"Response-Stamp", "stamp"}, {"Content-Type", "text/event-stream"}});
    co_await exchange.begin(200, std::move(fields), m_mode == "unframed" ? answer_framing::ConnectionEnd : answer_framing::Chunks);
    for (std::size_t id = after.empty() ? 1 : std::stoull(after) + 1; id <= m_options.events; ++id) {
        co_await sleepFor(m_options.eventTime);
        const std::string number = std::to_string(id);
        std::string event = "id: ";
        const std::string prefix = m_options.version.empty() ? "" : m_options.version + ":";
        event.append(number)
            .append("\ndata: ")
            .append(prefix)
            .append(exchange.requestId())
            .append("-")
            .append(number)
            .append(paddingOf(exchange))
            .append("\n\n");
        co_await exchange.write(event);
    }
    co_await exchange.finish();
}

task<> replica_standin::handleFaults(http_exchange &exchange)
{
    const json::object faults = co_await readObject(exchange);
    assignIfPresent(m_mode, faults, "mode");
    assignIfPresent(m_limit, faults, "limit");
    http_response response = noContent();
    co_await exchange.respond(std::move(response));
}

task<> replica_standin::handleRuns(http_exchange &exchange)
{
    json::object runs;
    for (const auto &[id, count] : m_runs) {
        runs[id] = count;
    }
    http_response response = jsonResponse(200, runs);
    co_await exchange.respond(std::move(response));
}

task<> replica_standin::handleArrivals(http_exchange &exchange)
{
    json::array arrivals;
    for (const std::chrono::steady_clock::time_point arrival : m_arrivals) {
        arrivals.emplace_back(std::chrono::duration_cast<std::chrono::milliseconds>(arrival.time_since_epoch()).count());
    }
    http_response response = jsonResponse(200, arrivals);
    co_await exchange.respond(std::move(response));
}

} // namespace banyan::standins
