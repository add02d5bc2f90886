#pragma once

#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/openai_error.h"
#include "banyan/io/platform_error.h"

#include <utility>

namespace banyan {

/// Waits for a call of the store; one that is not answered becomes the callers' error 503. For reads, and for changes
/// whose loss harms nobody.
template<typename T>
task<T> orRefuse(task<T> call, duration retryAfter)
{
    try {
        co_return co_await std::move(call);
    } catch (const platform_unavailable &) {
        throw storeUnavailable(retryAfter);
    } catch (const platform_outcome_unknown &) {
        throw storeUnavailable(retryAfter);
    }
}

} // namespace banyan
