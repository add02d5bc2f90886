#pragma once

#include "banyan/core/time.h"
#include "banyan/core/transaction.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/platform_client.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace banyan {

/// The platform's store and the time, as the code that keeps records sees them; tests put a fake in their place, with
/// lost answers, delayed effects and a time of their own. Errors are those of platform_client.
struct store_port
{
    std::function<task<commit_result>(transaction)> commit;
    std::function<task<std::optional<row>>(std::string key)> read;
    std::function<task<row_page>(std::string prefix, std::string after, std::size_t limit)> scan;
    std::function<task<>(std::string name, std::string bytes)> putObject;
    std::function<task<std::optional<std::string>>(std::string name)> getObject;
    std::function<task<>(std::string name)> deleteObject;
    std::function<time_point()> now;
    std::function<void(time_point when, std::function<void()> action)> callAt; ///< On the Asio thread, not before it returns.
};

/// The port to the real platform. @p context and @p platform must outlive it.
[[nodiscard]] store_port platformPort(asio::io_context &context, platform_client &platform);

/// Waits until @p when by the port's time.
[[nodiscard]] task<> sleepUntil(store_port port, time_point when);

} // namespace banyan
