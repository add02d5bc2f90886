#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"
#include "banyan/io/http_client.h"
#include "banyan/io/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// What a node that forwards says about a request: in each of its answers, and only there.
enum class forward_outcome {
    Answered, ///< The rest of the answer is the upstream's.
    Declined, ///< Nothing was sent, and nothing will be: this upstream may not get it from there.
    Unable, ///< The same, since the node forwards nothing now.
    NotReached, ///< The same, since it does not reach this upstream, though it hears others.
    PathLost, ///< The upstream may have run it; the node has lost its way to it meanwhile.
    Lost, ///< The upstream may have run it; its answer did not come.
    Stale, ///< Like Lost, on a connection that the upstream may have closed while it was idle.
    TimedOut, ///< Like Lost, for want of time.
};

[[nodiscard]] std::string_view toString(forward_outcome outcome);

/// Whether the outcome says that nothing was sent and nothing will be.
[[nodiscard]] bool provesUnsent(forward_outcome outcome);

/// A request that one node asks another to send to an upstream.
struct forward_order
{
    std::string run; ///< Id of the request, as the upstream is told.
    upstream_id upstream;
    std::uint64_t startedAt = 0; ///< Start time of the upstream's incarnation.
    node_id sender;
    http_client::stream_timeouts timeouts;
    bool mayRepeat = false; ///< It may be given up if it hangs on a lost path.
    bool onNewConnection = false;
};

/// Adds an order to the request that the upstream shall get. Fields of a caller with the same names go.
void addOrder(http_request &request, const forward_order &order);

/// The order in a request's fields; empty if there is none that can be read.
[[nodiscard]] std::optional<forward_order> orderOf(const std::vector<http_field> &fields);

/// The fields without those of an order, and without those that concern one connection only.
[[nodiscard]] std::vector<http_field> fieldsBeyondOrder(const std::vector<http_field> &fields);

/// The field with the outcome.
[[nodiscard]] http_field fieldOf(forward_outcome outcome);

/// Marks an answer that was not the first of its connection to the upstream.
[[nodiscard]] http_field reusedMark();

/// The outcome that an answer states; empty if it is not from a node that forwards.
[[nodiscard]] std::optional<forward_outcome> outcomeIn(const http_response_head &head);

/// The upstream's head in an answer with forward_outcome::Answered.
[[nodiscard]] http_response_head upstreamHead(const http_response_head &head);

} // namespace banyan
