#pragma once

#include "banyan/io/http_server.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// A request target divided into path and query.
struct split_target
{
    std::string path;
    std::string queryText; ///< As received, still encoded.

    [[nodiscard]] static split_target parse(std::string_view target);

    /// The decoded value of a query parameter; none if it is absent.
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const;
};

/// Replaces %XX (and in a query "+") by what they stand for; a malformed escape stays as it is.
[[nodiscard]] std::string percentDecode(std::string_view text, bool plusIsSpace);

/// The result of looking a request up.
struct route_match
{
    const http_handler *handler = nullptr; ///< Null if no route matches.
    std::vector<std::string> arguments; ///< What "{}" and "{*}" matched, decoded.
    bool pathKnown = false; ///< Whether the path exists with another method.
};

/// Routes by method and path pattern; the first one added that matches is taken.
class http_route_table
{
public:
    void add(const std::string &method, const std::string &pattern, http_handler handler);
    [[nodiscard]] route_match find(std::string_view method, std::string_view path) const;

private:
    struct http_route
    {
        std::string method;
        std::vector<std::string> parts;
        http_handler handler;
    };

    std::vector<http_route> m_routes;
};

} // namespace banyan
