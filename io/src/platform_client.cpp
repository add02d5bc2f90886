#include "banyan/io/platform_client.h"

#include "banyan/io/http_client.h"
#include "banyan/io/http_error.h"
#include "banyan/io/platform_error.h"

#include <boost/json.hpp>

#include <utility>

namespace banyan {

namespace {

namespace json = boost::json;

constexpr unsigned statusOk = 200;
constexpr unsigned statusNoContent = 204;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;

/// Percent-encodes all but unreserved characters; with @p keepSlash also "/" stays.
std::string percentEncoded(const std::string &text, bool keepSlash)
{
    constexpr const char *digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool letterOrDigit = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9');
        const bool plain = letterOrDigit || byte == '-' || byte == '_' || byte == '.' || byte == '~' || (keepSlash && byte == '/');
        if (plain) {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

http_request jsonRequest(const std::string &method, const std::string &target, const json::value &body)
{
    return {.method = method, .target = target, .fields = {{"Content-Type", "application/json"}}, .body = json::serialize(body)};
}

json::value toJson(const transaction &change)
{
    json::array conditions;
    for (const row_condition &condition : change.conditions) {
        conditions.push_back({{"key", condition.key}, {"version", condition.version}});
    }
    json::array writes;
    for (const row_write &write : change.writes) {
        json::object entry{{"key", write.key}};
        entry["value"] = write.value ? json::value(*write.value) : json::value(nullptr);
        writes.push_back(std::move(entry));
    }
    return json::object{{"id", change.id}, {"conditions", std::move(conditions)}, {"writes", std::move(writes)}};
}

std::string textOf(const json::object &object, const char *name)
{
    return json::value_to<std::string>(object.at(name));
}

row rowOf(const json::value &value)
{
    const json::object &object = value.as_object();
    return {.key = textOf(object, "key"), .value = textOf(object, "value"), .version = object.at("version").to_number<row_version>()};
}

commit_result committedResult(const std::string &body)
{
    const json::value answer = json::parse(body);
    return {.committed = true, .version = answer.as_object().at("version").to_number<row_version>()};
}

commit_result conflictResult(const std::string &body)
{
    const json::value answer = json::parse(body);
    commit_result result;
    for (const json::value &key : answer.as_object().at("failed").as_array()) {
        result.failedKeys.push_back(json::value_to<std::string>(key));
    }
    return result;
}

row_page pageOf(const std::string &body)
{
    const json::value answer = json::parse(body);
    row_page page{.more = answer.as_object().at("more").as_bool()};
    for (const json::value &entry : answer.as_object().at("rows").as_array()) {
        page.rows.push_back(rowOf(entry));
    }
    return page;
}

vm_entry vmOf(const json::value &value)
{
    const json::object &object = value.as_object();
    vm_entry entry{.id = vm_id(textOf(object, "id")),
                   .role = object.at("role").as_string() == "upstream" ? vm_role::Upstream : vm_role::Entry,
                   .state = object.at("state").as_string() == "leaving" ? vm_state::Leaving : vm_state::Live,
                   .domain = failure_domain(textOf(object, "failure_domain")),
                   .address = endpoint::parse(textOf(object, "address"))};
    if (object.contains("pool")) {
        entry.pool = pool_name(textOf(object, "pool"));
    }
    return entry;
}

vm_list vmsOf(const std::string &body)
{
    const json::value answer = json::parse(body);
    vm_list list;
    for (const json::value &entry : answer.as_object().at("vms").as_array()) {
        list.push_back(vmOf(entry));
    }
    return list;
}

/// Reads an answer's body; a body that is not as the protocol says becomes @p Error.
template<typename Error, typename Reader>
auto decoded(const std::string &what, const std::string &body, Reader reader)
{
    try {
        return reader(body);
    } catch (const std::exception &error) {
        throw Error(what + ": the answer is malformed: " + error.what());
    }
}

std::string unexpectedStatus(const std::string &what, unsigned status)
{
    return what + ": unexpected status " + std::to_string(status);
}

/// Makes a call that changes nothing.
task<http_response> readCall(http_client &client, endpoint address, duration timeout, http_request request, std::string what)
{
    try {
        co_return co_await client.exchange(std::move(address), std::move(request), timeout);
    } catch (const http_error &error) {
        throw platform_unavailable(what + ": " + error.what());
    }
}

/// Makes a call that may change something, and sorts failures by whether it can have.
task<http_response> changeCall(http_client &client, endpoint address, duration timeout, http_request request, std::string what)
{
    http_response answer;
    try {
        answer = co_await client.exchange(std::move(address), std::move(request), timeout);
    } catch (const http_error &error) {
        const std::string text = what + ": " + error.what();
        if (error.sent() == sent_state::NotSent) {
            throw platform_unavailable(text);
        }
        throw platform_outcome_unknown(text);
    }
    if (answer.status == statusUnavailable) {
        throw platform_unavailable(unexpectedStatus(what, answer.status));
    }
    co_return answer;
}

} // namespace

platform_client::platform_client(http_client &client, const platform_client_options &options)
    : m_client(client)
    , m_options(options)
{
}

task<commit_result> platform_client::commit(transaction change)
{
    const std::string what = "commit " + change.id;
    const http_response answer =
        co_await changeCall(m_client, m_options.address, m_options.timeout, jsonRequest("POST", "/tables/commit", toJson(change)), what);
    if (answer.status == statusOk) {
        co_return decoded<platform_outcome_unknown>(what, answer.body, committedResult);
    }
    if (answer.status == statusConflict) {
        co_return decoded<platform_outcome_unknown>(what, answer.body, conflictResult);
    }
    throw platform_outcome_unknown(unexpectedStatus(what, answer.status));
}

task<std::optional<row>> platform_client::read(std::string key)
{
    const std::string what = "read " + key;
    http_request request{.target = "/tables/row?key=" + percentEncoded(key, false)};
    const http_response answer = co_await readCall(m_client, m_options.address, m_options.timeout, std::move(request), what);
    if (answer.status == statusNotFound) {
        co_return std::nullopt;
    }
    if (answer.status != statusOk) {
        throw platform_unavailable(unexpectedStatus(what, answer.status));
    }
    co_return decoded<platform_unavailable>(what, answer.body, [](const std::string &body) {
        return std::optional(rowOf(json::parse(body)));
    });
}

task<row_page> platform_client::scan(std::string prefix, std::string after, std::size_t limit)
{
    const std::string what = "scan " + prefix;
    http_request request{.target = "/tables/scan?prefix=" + percentEncoded(prefix, false) + "&after=" + percentEncoded(after, false)
                                   + "&limit=" + std::to_string(limit)};
    const http_response answer = co_await readCall(m_client, m_options.address, m_options.timeout, std::move(request), what);
    if (answer.status != statusOk) {
        throw platform_unavailable(unexpectedStatus(what, answer.status));
    }
    co_return decoded<platform_unavailable>(what, answer.body, pageOf);
}

task<> platform_client::putObject(std::string name, std::string bytes)
{
    const std::string what = "put object " + name;
    http_request request{.method = "PUT", .target = "/objects/" + percentEncoded(name, true), .body = std::move(bytes)};
    const http_response answer = co_await changeCall(m_client, m_options.address, m_options.timeout, std::move(request), what);
    if (answer.status != statusNoContent) {
        throw platform_outcome_unknown(unexpectedStatus(what, answer.status));
    }
}

task<std::optional<std::string>> platform_client::getObject(std::string name)
{
    const std::string what = "get object " + name;
    http_request request{.target = "/objects/" + percentEncoded(name, true)};
    http_response answer = co_await readCall(m_client, m_options.address, m_options.timeout, std::move(request), what);
    if (answer.status == statusNotFound) {
        co_return std::nullopt;
    }
    if (answer.status != statusOk) {
        throw platform_unavailable(unexpectedStatus(what, answer.status));
    }
    if (!provesEnd(answer.framing)) {
        throw platform_unavailable(what + ": expected a length, found an object that ends with its connection");
    }
    co_return std::optional(std::move(answer.body));
}

task<> platform_client::deleteObject(std::string name)
{
    const std::string what = "delete object " + name;
    http_request request{.method = "DELETE", .target = "/objects/" + percentEncoded(name, true)};
    const http_response answer = co_await changeCall(m_client, m_options.address, m_options.timeout, std::move(request), what);
    if (answer.status != statusNoContent && answer.status != statusNotFound) {
        throw platform_outcome_unknown(unexpectedStatus(what, answer.status));
    }
}

task<vm_list> platform_client::listVms()
{
    const std::string what = "list of VMs";
    http_request request{.target = "/vms"};
    const http_response answer = co_await readCall(m_client, m_options.address, m_options.timeout, std::move(request), what);
    if (answer.status != statusOk) {
        throw platform_unavailable(unexpectedStatus(what, answer.status));
    }
    co_return decoded<platform_unavailable>(what, answer.body, vmsOf);
}

} // namespace banyan
