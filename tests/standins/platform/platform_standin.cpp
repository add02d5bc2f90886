#include "platform_standin.h"

#include "banyan/io/clock.h"
#include "common/exchanges.h"

#include <algorithm>

namespace banyan::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t defaultScanLimit = 1000;
constexpr std::size_t maximumWrites = 1000;
constexpr std::size_t maximumTransaction = std::size_t(4) << 20; ///< Bytes.

bool tooLarge(const json::object &transaction, std::size_t bytes)
{
    const json::value *writes = transaction.if_contains("writes");
    return bytes > maximumTransaction || (writes != nullptr && writes->as_array().size() > maximumWrites);
}

http_response bytesResponse(std::string bytes)
{
    return {.status = 200, .fields = {{"Content-Type", "application/octet-stream"}}, .body = std::move(bytes)};
}

} // namespace

void platform_standin::addRoutes(http_server &server)
{
    const auto bind = [this](task<> (platform_standin::*handler)(http_exchange &)) {
        return [this, handler](http_exchange &exchange) {
            return (this->*handler)(exchange);
        };
    };
    addFaultyRoute(server, "POST", "/tables/commit", bind(&platform_standin::handleCommit));
    addFaultyRoute(server, "GET", "/tables/row", bind(&platform_standin::handleRow));
    addFaultyRoute(server, "GET", "/tables/scan", bind(&platform_standin::handleScan));
    addFaultyRoute(server, "PUT", "/objects/{*}", bind(&platform_standin::handlePutObject));
    addFaultyRoute(server, "GET", "/objects/{*}", bind(&platform_standin::handleGetObject));
    addFaultyRoute(server, "DELETE", "/objects/{*}", bind(&platform_standin::handleDeleteObject));
    addFaultyRoute(server, "GET", "/vms", bind(&platform_standin::handleListVms));
    addFaultyRoute(server, "GET", "/weights/{}/{}", bind(&platform_standin::handleWeights));
    server.route("POST", "/standin/faults", bind(&platform_standin::handleFaults));
    server.route("POST", "/standin/vms", bind(&platform_standin::handleSetVms));
    server.route("GET", "/standin/counts", bind(&platform_standin::handleCounts));
}

void platform_standin::addFaultyRoute(http_server &server, const std::string &method, const std::string &pattern, http_handler handler)
{
    server.route(method, pattern, [this, handler = std::move(handler)](http_exchange &exchange) -> task<> {
        if (m_faults.delay > duration::zero()) {
            co_await sleepFor(m_faults.delay);
        }
        if (m_faults.down) {
            co_await exchange.respond(errorResponse(503, "the platform is down"));
            co_return;
        }
        co_await handler(exchange);
    });
}

task<> platform_standin::handleCommit(http_exchange &exchange)
{
    const std::string text = co_await exchange.body(maximumBody);
    const json::object transaction = json::parse(text).as_object();
    if (tooLarge(transaction, text.size())) {
        co_await exchange.respond(errorResponse(413, "the transaction is too large"));
        co_return;
    }
    const table::commit_answer answer = m_table.commit(transaction);
    if (!answer.failed.empty()) {
        ++m_counters.failedCommits;
        co_await exchange.respond(jsonResponse(409, objectOf("failed", json::value_from(answer.failed))));
        co_return;
    }
    ++m_counters.commits;
    co_await respondToChange(exchange, jsonResponse(200, objectOf("version", answer.version)));
}

task<> platform_standin::handleRow(http_exchange &exchange)
{
    ++m_counters.reads;
    const json::value row = m_table.read(exchange.query("key").value_or(""));
    http_response response = row.is_null() ? errorResponse(404, "no such row") : jsonResponse(200, row);
    co_await exchange.respond(std::move(response));
}

task<> platform_standin::handleScan(http_exchange &exchange)
{
    ++m_counters.scans;
    const std::string limitText = exchange.query("limit").value_or("");
    const std::size_t limit = limitText.empty() ? defaultScanLimit : std::stoul(limitText);
    const json::object page = m_table.scan(exchange.query("prefix").value_or(""), exchange.query("after").value_or(""), limit);
    co_await exchange.respond(jsonResponse(200, page));
}

task<> platform_standin::handlePutObject(http_exchange &exchange)
{
    const std::string bytes = co_await exchange.body(maximumBody);
    m_objects[exchange.path()] = bytes;
    ++m_counters.objectWrites;
    co_await respondToChange(exchange, noContent());
}

task<> platform_standin::handleGetObject(http_exchange &exchange)
{
    ++m_counters.objectReads;
    const auto found = m_objects.find(exchange.path());
    if (found == m_objects.end()) {
        co_await exchange.respond(errorResponse(404, "no such object"));
        co_return;
    }
    co_await exchange.respond(bytesResponse(found->second));
}

task<> platform_standin::handleDeleteObject(http_exchange &exchange)
{
    m_objects.erase(exchange.path());
    co_await exchange.respond(noContent());
}

task<> platform_standin::handleListVms(http_exchange &exchange)
{
    co_await exchange.respond(jsonResponse(200, vmListSeenAt(currentTime())));
}

task<> platform_standin::handleWeights(http_exchange &exchange)
{
    if (!takeWeightPermit(currentTime())) {
        http_response refusal = errorResponse(429, "the weight store's rate is used up");
        refusal.fields.push_back({"Retry-After", "1"});
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    co_await exchange.respond(bytesResponse(std::string(m_options.weightBytes, 'w')));
}

task<> platform_standin::handleFaults(http_exchange &exchange)
{
    const json::object wanted = co_await readObject(exchange);
    assignIfPresent(m_faults.down, wanted, "down");
    assignMilliseconds(m_faults.delay, wanted, "delay_ms");
    assignIfPresent(m_faults.loseAnswers, wanted, "lose_answers");
    assignMilliseconds(m_faults.vmListLag, wanted, "vm_list_lag_ms");
    co_await exchange.respond(noContent());
}

task<> platform_standin::handleSetVms(http_exchange &exchange)
{
    json::value list = co_await readObject(exchange);
    m_lists.push_back({.since = currentTime(), .list = std::move(list)});
    co_await exchange.respond(noContent());
}

task<> platform_standin::handleCounts(http_exchange &exchange)
{
    co_await exchange.respond(jsonResponse(200, counts()));
}

json::object platform_standin::counts() const
{
    return {{"commits", m_counters.commits},
            {"failed_commits", m_counters.failedCommits},
            {"reads", m_counters.reads},
            {"scans", m_counters.scans},
            {"object_writes", m_counters.objectWrites},
            {"object_reads", m_counters.objectReads},
            {"rows", m_table.size()},
            {"objects", m_objects.size()}};
}

task<> platform_standin::respondToChange(http_exchange &exchange, http_response response)
{
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        co_return; // Closes the connection without an answer.
    }
    co_await exchange.respond(std::move(response));
}

json::value platform_standin::vmListSeenAt(time_point now) const
{
    for (auto list = m_lists.rbegin(); list != m_lists.rend(); ++list) {
        const bool first = std::next(list) == m_lists.rend();
        if (first || list->since + m_faults.vmListLag <= now) {
            return list->list;
        }
    }
    return json::object{{"vms", json::array()}};
}

bool platform_standin::takeWeightPermit(time_point now)
{
    while (!m_weightReads.empty() && m_weightReads.front() + std::chrono::seconds(1) <= now) {
        m_weightReads.pop_front();
    }
    if (m_weightReads.size() >= m_options.weightsPerSecond) {
        return false;
    }
    m_weightReads.push_back(now);
    return true;
}

} // namespace banyan::standins
