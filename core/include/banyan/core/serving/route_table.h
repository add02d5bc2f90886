#pragma once

#include "banyan/core/serving/key_directory.h"
#include "banyan/core/serving/serving_configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Looks up the routes and the organisations of one version of the configuration. Immutable; a request keeps the table that it began with.
class route_table
{
public:
    explicit route_table(serving_configuration configuration);
    route_table(const route_table &) = delete;
    route_table &operator=(const route_table &) = delete;

    /// The route of @p host (a port is ignored) with the longest prefix of @p path; null if there is none.
    [[nodiscard]] const route *find(std::string_view host, std::string_view path) const;

    /// The route with this name; null if there is none.
    [[nodiscard]] const route *findByName(std::string_view name) const;

    /// Whether @p host has job routes, and all of them are public.
    [[nodiscard]] bool hasPublicJobs(std::string_view host) const;

    [[nodiscard]] const key_directory &keys() const
    {
        return m_keys;
    }

    /// The organisation of this name; null if there is none.
    [[nodiscard]] const organisation *findOrganisation(const caller_id &name) const;

    [[nodiscard]] const serving_configuration &configuration() const
    {
        return m_configuration;
    }

private:
    serving_configuration m_configuration;
    key_directory m_keys;
    std::map<std::string, std::vector<const route *>, std::less<>> m_routesByHost; ///< Sorted by descending length of the path prefix.
};

} // namespace banyan
