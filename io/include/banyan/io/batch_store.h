#pragma once

#include "banyan/core/transaction.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/platform_client.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace banyan {

/// The calls that files and batch jobs make to the platform, as functions, so that tests can put a fake in their place.
/// Each has the meaning and the exceptions of the platform_client's function of the same name.
struct batch_store
{
    std::function<task<commit_result>(transaction)> commit;
    std::function<task<std::optional<row>>(std::string key)> read;
    std::function<task<row_page>(std::string prefix, std::string after, std::size_t limit)> scan;
    std::function<task<>(std::string name, std::string bytes)> putObject;
    std::function<task<std::optional<std::string>>(std::string name)> getObject;
    std::function<task<>(std::string name)> deleteObject;

    /// Calls @p client, which has to live as long as the functions.
    [[nodiscard]] static batch_store over(platform_client &client);
};

} // namespace banyan
