#pragma once

#include "banyan/io/http_message.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace banyan::process_tests {

class gateway_fleet;

/// A client's stream that broke off after some events.
struct broken_stream
{
    std::string id;
    std::string text; ///< What the client got, up to the end of an event.
};

/// Arguments of replicas whose streams last a second.
extern const std::vector<std::string> pauseBetweenEvents;

/// The versions that the events in a text name.
[[nodiscard]] std::set<std::string> versionsIn(const std::string &text);

/// Whether a text has the last event of a stream.
[[nodiscard]] bool isComplete(const std::string &text);

/// Begins streams at a gateway and ends their connections.
[[nodiscard]] std::vector<broken_stream> breakStreams(const gateway_fleet &fleet, std::size_t gateway, int count, const std::string &name);

/// Takes up the stream that request @p began has begun, by a request @p id.
[[nodiscard]] http_response
takeUp(const gateway_fleet &fleet, std::size_t gateway, const std::string &id, const std::string &began, const std::string &text);

/// Takes up streams, by requests with their ids and @p suffix. Returns how many went on, and checks that they did so at the version
/// that began them, and that the others were refused at once, as not run.
[[nodiscard]] int
takeUpAll(const gateway_fleet &fleet, std::size_t gateway, const std::vector<broken_stream> &streams, const std::string &suffix = "-again");

} // namespace banyan::process_tests
