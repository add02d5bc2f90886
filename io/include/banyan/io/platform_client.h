#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"
#include "banyan/core/vm_entry.h"
#include "banyan/io/asio_types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

class http_client;

/// Options of a platform_client.
struct platform_client_options
{
    endpoint address;
    duration timeout = std::chrono::seconds(3); ///< For one call.
};

/// Rows in key order, and where to go on.
struct row_page
{
    std::vector<row> rows;
    bool more = false; ///< Whether rows follow the last one.
};

/// The platform's table service, object store and VM list. See docs/PLATFORM.md for the protocol.
/// Reads throw platform_unavailable; changes throw it only if nothing was changed, else platform_outcome_unknown.
class platform_client
{
public:
    platform_client(http_client &client, const platform_client_options &options);

    /// Commits a transaction or learns that a condition failed.
    [[nodiscard]] task<commit_result> commit(transaction change);

    /// Reads one row; none if it is absent.
    [[nodiscard]] task<std::optional<row>> read(std::string key);

    /// Reads up to @p limit rows whose keys begin with @p prefix and come after @p after.
    [[nodiscard]] task<row_page> scan(std::string prefix, std::string after, std::size_t limit);

    /// Stores an object whole; storing the same name again replaces it.
    [[nodiscard]] task<> putObject(std::string name, std::string bytes);

    /// Reads an object; none if it is absent.
    [[nodiscard]] task<std::optional<std::string>> getObject(std::string name);

    /// Removes an object; no error if it is absent.
    [[nodiscard]] task<> deleteObject(std::string name);

    /// The lagging list of VMs.
    [[nodiscard]] task<vm_list> listVms();

private:
    http_client &m_client;
    platform_client_options m_options;
};

} // namespace banyan
