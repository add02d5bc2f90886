#pragma once

#include "banyan/core/configuration_update.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

namespace banyan {

/// Options of a configuration_history.
struct configuration_history_options
{
    std::size_t maximumPatches = 256; ///< Number of recent patches retained for nodes with an older version.
    std::size_t maximumPatchBytes = std::size_t(512) << 10; ///< Total size of the retained patches.
};

/// The configuration in effect on a node, and the most recent patches that produced it.
///
/// The version never decreases. Nodes with an older version are sent the retained patches or, if those do not reach back far
/// enough, a snapshot.
///
/// @code
/// configuration_history history({});
/// history.applySnapshot({.version = 7, .json = text});
/// history.apply({.version = 8, .mergePatch = patch});
/// const std::shared_ptr<const configuration> inForce = history.current(); // immutable; remains valid after later updates
/// @endcode
class configuration_history
{
public:
    explicit configuration_history(const configuration_history_options &options);

    /// Returns the configuration in effect; null before the first one.
    [[nodiscard]] const std::shared_ptr<const configuration> &current() const
    {
        return m_current;
    }

    /// Returns the version in effect; none before the first one. Version 0 is the empty configuration of a new system.
    [[nodiscard]] std::optional<configuration_version> version() const;

    /// Whether @p candidate is newer than the version in effect.
    [[nodiscard]] bool isNewer(configuration_version candidate) const;

    /// Applies @p patch to the configuration in effect. Returns false and changes nothing if the patch does not produce the
    /// version that follows the one in effect.
    /// @throws configuration_error
    bool apply(const configuration_patch &patch);

    /// Replaces the configuration by a snapshot and drops the retained patches. Returns false and changes nothing if the
    /// snapshot is not newer.
    /// @throws configuration_error
    bool applySnapshot(const configuration_snapshot &snapshot);

    /// Applies those parts of @p update that are newer than the version in effect. Returns whether the version increased.
    /// @throws configuration_error
    bool applyUpdate(const configuration_update &update);

    /// Returns the update that brings a node from @p version to the version in effect; no version: the node has none.
    [[nodiscard]] configuration_update since(std::optional<configuration_version> version) const;

    /// Returns the retained patches that follow @p version, as many as fit in @p bytes; empty if the first one does not fit or
    /// is no longer retained.
    [[nodiscard]] std::vector<configuration_patch> patchesAfter(configuration_version version, std::size_t bytes) const;

    /// Total size of the retained patches in bytes.
    [[nodiscard]] std::size_t patchBytes() const
    {
        return m_patchBytes;
    }

private:
    void retain(const configuration_patch &patch);
    [[nodiscard]] bool hasPatchesAfter(configuration_version version) const;

    configuration_history_options m_options;
    std::shared_ptr<const configuration> m_current;
    std::deque<configuration_patch> m_patches; // Consecutive versions; the last one produced the current version.
    std::size_t m_patchBytes = 0;
};

} // namespace banyan
