#pragma once

#include "banyan/core/configuration_head.h"
#include "banyan/core/configuration_update.h"
#include "banyan/core/patch_record.h"
#include "banyan/io/asio_types.h"

#include <optional>
#include <vector>

namespace banyan {

class platform_client;

/// Reads the configuration from the platform's rows and objects.
/// All functions throw platform_unavailable, and configuration_error for a row that is not readable.
class configuration_reader
{
public:
    explicit configuration_reader(platform_client &platform);

    /// Reads the head row.
    [[nodiscard]] task<configuration_head> head();

    /// What brings a node from @p version (none: it has none) at least to the version of @p head.
    [[nodiscard]] task<configuration_update> updateTo(configuration_head head, std::optional<configuration_version> version);

    /// The committed patches from @p first to @p last.
    [[nodiscard]] task<std::vector<patch_record>> patches(configuration_version first, configuration_version last);

private:
    platform_client &m_platform;
};

} // namespace banyan
