#pragma once

#include <string>

namespace banyan {

struct http_response_head;

/// Whether a status is that of an interim answer, which another answer to the same request follows.
[[nodiscard]] bool isInterim(unsigned status);

/// Why a received head is not that of an HTTP answer to a request that asked for no other protocol; empty if it is one.
[[nodiscard]] std::string flawOf(const http_response_head &head);

} // namespace banyan
