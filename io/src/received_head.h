#pragma once

#include <string>

namespace banyan {

struct http_response_head;

/// Whether a status is that of an interim answer, which another answer to the same request follows.
[[nodiscard]] bool isInterim(unsigned status);

/// Why a received head is not that of an HTTP answer to a request that asked for no other protocol; empty if it is one: the status is
/// outside 100 to 599 or says that the protocol changes, or the body has transfer codings other than chunks. http_client ends an exchange
/// with such a head by http_error, and closes its connection.
[[nodiscard]] std::string flawOf(const http_response_head &head);

} // namespace banyan
