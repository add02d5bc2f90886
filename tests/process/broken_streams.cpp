#include "broken_streams.h"

#include "gateway_fleet.h"
#include "test_connection.h"

#include <catch2/catch.hpp>

#include <chrono>

namespace banyan::process_tests {

using namespace std::chrono_literals;

namespace {

constexpr int events = 20; // Of a stream.

std::string lastEventIn(const std::string &text)
{
    const std::size_t mark = text.rfind("id: ");
    return mark == std::string::npos ? "" : text.substr(mark + 4, text.find('\n', mark) - mark - 4);
}

/// The first events of a stream, of which the client got no more, up to the end of an event.
std::string beginStream(test_connection &connection, const std::string &id)
{
    connection.send({.method = "POST",
                     .target = "/stream/1",
                     .fields = {{"Request-Id", id}, {"Deadline-Ms", "5000"}, {"Model", "m"}},
                     .body = "question of " + id});
    std::string text;
    if (connection.receiveHead().status != 200) {
        return text;
    }
    while (text.find("id: 3\n") == std::string::npos) {
        text += connection.receivePiece();
    }
    return text.substr(0, text.rfind("\n\n") + 2);
}

} // namespace

const std::vector<std::string> pauseBetweenEvents = {"--events", std::to_string(events), "--event-ms", "50"};

std::set<std::string> versionsIn(const std::string &text)
{
    std::set<std::string> versions;
    const std::string mark = "data: ";
    for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1)) {
        const std::size_t begin = at + mark.size();
        versions.insert(text.substr(begin, text.find(':', begin) - begin));
    }
    return versions;
}

bool isComplete(const std::string &text)
{
    return text.find("id: " + std::to_string(events) + "\n") != std::string::npos;
}

http_response
takeUp(const gateway_fleet &fleet, std::size_t gateway, const std::string &id, const std::string &began, const std::string &text)
{
    return fleet.send(gateway, "/stream/1", id, {{"Model", "m"}, {"Last-Event-Id", lastEventIn(text)}, {"Resumes", began}});
}

std::vector<broken_stream> breakStreams(const gateway_fleet &fleet, std::size_t gateway, int count, const std::string &name)
{
    std::vector<broken_stream> streams;
    for (int number = 0; number < count; ++number) {
        const std::string id = name + std::to_string(number);
        test_connection connection(fleet.callers(gateway));
        streams.push_back({.id = id, .text = beginStream(connection, id)});
    }
    return streams;
}

int takeUpAll(const gateway_fleet &fleet, std::size_t gateway, const std::vector<broken_stream> &streams, const std::string &suffix)
{
    int resumed = 0;
    for (const broken_stream &stream : streams) {
        const auto begun = std::chrono::steady_clock::now();
        const http_response answer = takeUp(fleet, gateway, stream.id + suffix, stream.id, stream.text);
        INFO("stream " << stream.id << " began with " << stream.text << " and went on with " << answer.body);
        if (answer.status == 200) {
            ++resumed;
            CHECK(versionsIn(stream.text + answer.body).size() == 1);
            CHECK(isComplete(answer.body));
        } else {
            CHECK(answer.status == 503);
            CHECK(answer.field("Retry-After") == "0.000");
            CHECK(std::chrono::steady_clock::now() - begun < 500ms);
            CHECK(fleet.runsOf(stream.id + suffix) == 0);
        }
    }
    return resumed;
}

} // namespace banyan::process_tests
