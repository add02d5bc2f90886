#pragma once

#include "banyan/io/stored_record.h"

namespace banyan {

/// What became of a request to record.
enum class accept_status {
    New, ///< Recorded now; the service runs it.
    Existing, ///< Recorded before under the same key with the same content.
    Conflict, ///< The key stands for other content; nothing was changed.
};

/// The answer of record_service::accept().
struct accept_outcome
{
    accept_status status = accept_status::New;
    stored_record record; ///< As it is stored; with Conflict that of the other content.

    auto operator<=>(const accept_outcome &) const = default;
};

} // namespace banyan
