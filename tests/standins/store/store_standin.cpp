#include "store_standin.h"

#include "banyan/io/clock.h"
#include "common/exchanges.h"

#include <openssl/evp.h>

#include <algorithm>

namespace banyan::standins {

namespace json = boost::json;

namespace {

constexpr duration pollInterval = std::chrono::milliseconds(5); ///< Of calls that wait for changes.
constexpr duration silence = std::chrono::hours(1);
constexpr std::string_view replicaTable = "servers";
constexpr std::string_view ownWays = "127.0.1."; // Begins the addresses of readers that reach replicas by ways of their own.

std::string encoded(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decoded(const std::string &text)
{
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    const auto padding = static_cast<std::size_t>(std::count(text.begin(), text.end(), '='));
    bytes.resize(static_cast<std::size_t>(std::max(0, length))
                 - std::min<std::size_t>(padding, static_cast<std::size_t>(std::max(0, length))));
    return bytes;
}

std::string textOf(const json::object &object, json::string_view name)
{
    return std::string(object.at(name).as_string());
}

table_key nameOf(const json::object &object)
{
    return {.table = textOf(object, "table"), .part = textOf(object, "part"), .key = textOf(object, "key")};
}

/// A replica's registration as the reader of the host is to see it: one that has ways of its own finds the replica there.
std::string valueFor(const std::string &host, const table_row &row)
{
    boost::system::error_code error;
    json::value value = row.name.table == replicaTable && host.starts_with(ownWays) ? json::parse(row.value, error) : json::value();
    const json::string *const address =
        !error && value.is_object() && value.as_object().contains("address") ? value.as_object().at("address").if_string() : nullptr;
    if (address == nullptr) {
        return row.value;
    }
    const std::string registered(*address);
    value.as_object()["address"] = host.substr(0, host.find(':')) + registered.substr(std::min(registered.rfind(':'), registered.size()));
    return json::serialize(value);
}

json::object rowJson(const std::string &host, const table_row &row)
{
    json::object object = {{"table", row.name.table}, {"part", row.name.part}, {"key", row.name.key}, {"ver", row.version}};
    if (row.deleted) {
        object["deleted"] = true;
    } else {
        object["value"] = encoded(valueFor(host, row));
    }
    return object;
}

json::array rowsJson(const std::string &host, const std::vector<table_row> &rows)
{
    json::array array;
    for (const table_row &row : rows) {
        array.push_back(rowJson(host, row));
    }
    return array;
}

const json::array &listOf(const json::object &object, json::string_view name)
{
    static const json::array none;
    const json::value *const list = object.if_contains(name);
    return list == nullptr ? none : list->as_array();
}

std::uint64_t numberOf(http_exchange &exchange, std::string_view name, std::uint64_t otherwise)
{
    const std::optional<std::string> text = exchange.query(name);
    return text ? std::stoull(*text) : otherwise;
}

} // namespace

void store_standin::addRoutes(http_server &server)
{
    addFaultyRoute(server, "POST", "/-/rows-tx", &store_standin::handleCommit);
    addFaultyRoute(server, "GET", "/-/rows-get", &store_standin::handleRead);
    addFaultyRoute(server, "GET", "/-/rows-feed", &store_standin::handleChanges);
    addFaultyRoute(server, "PUT", "/-/blob-put/{}", &store_standin::handlePutObject);
    addFaultyRoute(server, "GET", "/-/blob-get/{}", &store_standin::handleGetObject);
    addFaultyRoute(server, "DELETE", "/-/blob-drop/{}", &store_standin::handleDropObject);
    const auto addControl = [&](const std::string &path, handler handle) {
        server.route("POST", path, [this, handle](http_exchange &exchange) {
            return (this->*handle)(exchange);
        });
    };
    addControl("/standin/faults", &store_standin::handleFaults);
    addControl("/standin/rows", &store_standin::handleSetRow);
    addControl("/standin/forget", &store_standin::handleForget);
}

void store_standin::addFaultyRoute(http_server &server, const std::string &method, const std::string &pattern, handler handle)
{
    server.route(method, pattern, [this, handle](http_exchange &exchange) -> task<> {
        if (m_delay > duration::zero()) {
            co_await sleepFor(m_delay);
        }
        if (m_mode == "silent") {
            co_await sleepFor(silence);
        }
        if (m_mode == "reset") {
            co_return;
        }
        if (m_mode == "busy") {
            http_response response = errorResponse(503, "busy");
            co_await exchange.respond(std::move(response));
            co_return;
        }
        co_await (this->*handle)(exchange);
    });
}

bool store_standin::losesAnswer()
{
    if (m_loseAnswers == 0) {
        return false;
    }
    --m_loseAnswers;
    return true;
}

task<> store_standin::handleCommit(http_exchange &exchange)
{
    const json::object body = co_await readObject(exchange);
    table_transaction change;
    for (const json::value &entry : listOf(body, "precondition")) {
        change.conditions.push_back({.name = nameOf(entry.as_object()), .version = entry.at("ver").to_number<std::uint64_t>()});
    }
    for (const json::value &entry : listOf(body, "puts")) {
        change.writes.push_back({.name = nameOf(entry.as_object()), .value = decoded(textOf(entry.as_object(), "value"))});
    }
    for (const json::value &entry : listOf(body, "remove")) {
        change.removals.push_back(nameOf(entry.as_object()));
    }
    const table_commit result = m_tables.commit(change);
    if (losesAnswer()) {
        co_return;
    }
    http_response response =
        jsonResponse(result.committed ? 200 : 412, json::object{{"ver", m_tables.version()}, {"now_ms", nowMilliseconds()}});
    co_await exchange.respond(std::move(response));
}

task<> store_standin::handleRead(http_exchange &exchange)
{
    const table_page page = m_tables.read({.table = exchange.query("table").value_or(""),
                                           .part = exchange.query("part").value_or(""),
                                           .from = exchange.query("from").value_or(""),
                                           .to = exchange.query("to").value_or(""),
                                           .limit = numberOf(exchange, "limit", 500)});
    http_response response = jsonResponse(200,
                                          json::object{{"rows", rowsJson(exchange.field("Host"), page.rows)},
                                                       {"has_more", page.more},
                                                       {"ver", page.version},
                                                       {"now_ms", nowMilliseconds()}});
    co_await exchange.respond(std::move(response));
}

task<> store_standin::handleChanges(http_exchange &exchange)
{
    const std::string table = exchange.query("table").value_or("");
    const std::uint64_t after = numberOf(exchange, "after", 0);
    const time_point until = currentTime() + std::chrono::milliseconds(numberOf(exchange, "wait_ms", 0));
    table_changes changes = m_tables.changes(table, after);
    while (!changes.historyLost && changes.rows.empty() && currentTime() < until && m_mode == "up") {
        co_await sleepFor(pollInterval);
        changes = m_tables.changes(table, after);
    }
    http_response response = jsonResponse(
        changes.historyLost ? 410 : 200,
        json::object{{"rows", rowsJson(exchange.field("Host"), changes.rows)}, {"ver", changes.version}, {"now_ms", nowMilliseconds()}});
    co_await exchange.respond(std::move(response));
}

task<> store_standin::handlePutObject(http_exchange &exchange)
{
    std::string bytes = co_await exchange.body(maximumBody);
    const bool stored = m_tables.objects.emplace(exchange.pathArguments().front(), std::move(bytes)).second;
    if (losesAnswer()) {
        co_return;
    }
    http_response response{.status = stored ? 200U : 412U};
    co_await exchange.respond(std::move(response));
}

task<> store_standin::handleGetObject(http_exchange &exchange)
{
    const auto object = m_tables.objects.find(exchange.pathArguments().front());
    http_response response{.status = object == m_tables.objects.end() ? 404U : 200U};
    response.body = object == m_tables.objects.end() ? "" : object->second;
    co_await exchange.respond(std::move(response));
}

task<> store_standin::handleDropObject(http_exchange &exchange)
{
    m_tables.objects.erase(exchange.pathArguments().front());
    http_response response;
    co_await exchange.respond(std::move(response));
}

task<> store_standin::handleFaults(http_exchange &exchange)
{
    const json::object faults = co_await readObject(exchange);
    assignIfPresent(m_mode, faults, "mode");
    assignMilliseconds(m_delay, faults, "delay_ms");
    assignIfPresent(m_loseAnswers, faults, "lose_answers");
    http_response response = noContent();
    co_await exchange.respond(std::move(response));
}

task<> store_standin::handleSetRow(http_exchange &exchange)
{
    const json::object row = co_await readObject(exchange);
    table_transaction change;
    const table_key name{.table = textOf(row, "table"), .part = {}, .key = textOf(row, "key")};
    if (row.contains("text")) {
        change.writes.push_back({.name = name, .value = textOf(row, "text")});
    } else if (row.contains("value")) {
        change.writes.push_back({.name = name, .value = json::serialize(row.at("value"))});
    } else {
        change.removals.push_back(name);
    }
    m_tables.commit(change);
    http_response response = noContent();
    co_await exchange.respond(std::move(response));
}

task<> store_standin::handleForget(http_exchange &exchange)
{
    m_tables.forgetHistory();
    http_response response = noContent();
    co_await exchange.respond(std::move(response));
}

} // namespace banyan::standins
