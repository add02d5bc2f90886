#include "banyan/core/configuration_history.h"

#include "banyan/core/configuration_json.h"

namespace banyan {

namespace {

/// Size of a patch in a message in addition to its text, in bytes.
constexpr std::size_t patchOverhead = 40;

} // namespace

configuration_history::configuration_history(const configuration_history_options &options)
    : m_options(options)
{
}

std::optional<configuration_version> configuration_history::version() const
{
    return m_current ? std::optional(m_current->version) : std::nullopt;
}

bool configuration_history::isNewer(configuration_version candidate) const
{
    return !m_current || candidate > m_current->version;
}

bool configuration_history::apply(const configuration_patch &patch)
{
    if (!m_current || patch.version != m_current->version + 1) {
        return false;
    }
    m_current = std::make_shared<const configuration>(applyPatch(*m_current, patch.mergePatch));
    retain(patch);
    return true;
}

bool configuration_history::applySnapshot(const configuration_snapshot &snapshot)
{
    if (!isNewer(snapshot.version)) {
        return false;
    }
    m_current = std::make_shared<const configuration>(parseConfiguration(snapshot.json, snapshot.version));
    m_patches.clear();
    m_patchBytes = 0;
    return true;
}

bool configuration_history::applyUpdate(const configuration_update &update)
{
    bool grown = update.snapshot && applySnapshot(*update.snapshot);
    for (const configuration_patch &patch : update.patches) {
        grown = apply(patch) || grown;
    }
    return grown;
}

configuration_update configuration_history::since(std::optional<configuration_version> version) const
{
    configuration_update result;
    if (!m_current || (version && *version >= m_current->version)) {
        return result;
    }
    if (version) {
        result.patches = patchesAfter(*version, m_options.maximumPatchBytes);
    }
    if (!result.patches.empty()) {
        return result;
    }
    result.snapshot = configuration_snapshot{.version = m_current->version, .json = toJson(*m_current)};
    return result;
}

std::vector<configuration_patch> configuration_history::patchesAfter(configuration_version version, std::size_t bytes) const
{
    std::vector<configuration_patch> result;
    if (!hasPatchesAfter(version)) {
        return result;
    }
    const auto skipped = static_cast<std::ptrdiff_t>(version + 1 - m_patches.front().version);
    for (auto patch = m_patches.begin() + skipped; patch != m_patches.end(); ++patch) {
        const std::size_t size = patch->mergePatch.size() + patchOverhead;
        if (size > bytes) {
            break;
        }
        bytes -= size;
        result.push_back(*patch);
    }
    return result;
}

bool configuration_history::hasPatchesAfter(configuration_version version) const
{
    return !m_patches.empty() && version + 1 >= m_patches.front().version && version < m_patches.back().version;
}

void configuration_history::retain(const configuration_patch &patch)
{
    m_patches.push_back(patch);
    m_patchBytes += patch.mergePatch.size();
    while (m_patches.size() > m_options.maximumPatches || m_patchBytes > m_options.maximumPatchBytes) {
        m_patchBytes -= m_patches.front().mergePatch.size();
        m_patches.pop_front();
    }
}

} // namespace banyan
