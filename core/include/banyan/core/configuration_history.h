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
    std::size_t maximumPatches = 256; ///< Kept for nodes that are behind.
    std::size_t maximumPatchBytes = std::size_t(512) << 10; ///< Of all kept patches together.
};

/// The configuration that a node has in force, and the last patches that led to it.
///
/// The version only grows. Nodes that are behind are answered from the kept patches, or with a snapshot.
///
/// @code
/// configuration_history history({});
/// history.applySnapshot({.version = 7, .json = text});
/// history.apply({.version = 8, .mergePatch = patch});
/// const std::shared_ptr<const configuration> inForce = history.current(); // stays the same value while it is held
/// @endcode
class configuration_history
{
public:
    explicit configuration_history(const configuration_history_options &options);

    /// The configuration in force; null until there is one.
    [[nodiscard]] const std::shared_ptr<const configuration> &current() const
    {
        return m_current;
    }

    /// The version in force; none until there is one. Version 0 is the empty configuration of a new system.
    [[nodiscard]] std::optional<configuration_version> version() const;

    /// Whether a configuration of that version would be newer than the one in force.
    [[nodiscard]] bool isNewer(configuration_version candidate) const;

    /// Puts the next version in force. Returns false, and changes nothing, if @p patch does not lead from the version in
    /// force to the next one.
    /// @throws configuration_error
    bool apply(const configuration_patch &patch);

    /// Puts a whole configuration in force. Returns false, and changes nothing, if it is not newer.
    /// @throws configuration_error
    bool applySnapshot(const configuration_snapshot &snapshot);

    /// Applies what an update brings beyond the version in force. Returns whether the version grew.
    /// @throws configuration_error
    bool applyUpdate(const configuration_update &update);

    /// What brings a node from @p version (none: it has none) to the version in force.
    [[nodiscard]] configuration_update since(std::optional<configuration_version> version) const;

    /// The kept patches that follow @p version, as many as fit in @p bytes; empty if the first one does not fit or is not
    /// kept any more.
    [[nodiscard]] std::vector<configuration_patch> patchesAfter(configuration_version version, std::size_t bytes) const;

    /// Bytes of the kept patches.
    [[nodiscard]] std::size_t patchBytes() const
    {
        return m_patchBytes;
    }

private:
    void retain(const configuration_patch &patch);
    [[nodiscard]] bool hasPatchesAfter(configuration_version version) const;

    configuration_history_options m_options;
    std::shared_ptr<const configuration> m_current;
    std::deque<configuration_patch> m_patches; // consecutive, the last one led to the current version
    std::size_t m_patchBytes = 0;
};

} // namespace banyan
