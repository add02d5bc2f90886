#include "configuration_reader.h"

#include "banyan/core/configuration_error.h"
#include "banyan/io/platform_client.h"

#include <utility>

namespace banyan {

namespace {

/// A node further behind than this takes a stored snapshot, if there is one, in place of the patches.
constexpr configuration_version maximumPatchesRead = 256;

constexpr std::size_t pageSize = 200; // rows

/// The configuration of a system that no patch has changed yet.
constexpr const char *emptyConfiguration = "{}";

} // namespace

configuration_reader::configuration_reader(platform_client &platform)
    : m_platform(platform)
{
}

task<configuration_head> configuration_reader::head()
{
    const std::optional<row> stored = co_await m_platform.read(std::string(configurationHeadKey));
    co_return parseHead(stored);
}

task<configuration_update> configuration_reader::updateTo(configuration_head head, std::optional<configuration_version> version)
{
    configuration_update result;
    const bool farBehind = !version || *version + maximumPatchesRead < head.version;
    if (farBehind && head.snapshotVersion > version.value_or(0)) {
        const std::optional<std::string> stored = co_await m_platform.getObject(head.snapshotObject);
        if (stored) {
            result.snapshot = configuration_snapshot{.version = head.snapshotVersion, .json = *stored};
        }
    }
    if (!version && !result.snapshot) {
        result.snapshot = configuration_snapshot{.version = 0, .json = emptyConfiguration};
    }
    const configuration_version from = result.snapshot ? result.snapshot->version : *version;
    const std::vector<patch_record> records = co_await patches(from + 1, head.version);
    for (const patch_record &record : records) {
        result.patches.push_back({.version = record.version, .mergePatch = record.mergePatch});
    }
    co_return result;
}

task<std::vector<patch_record>> configuration_reader::patches(configuration_version first, configuration_version last)
{
    std::vector<patch_record> result;
    const std::string prefix(configurationPatchPrefix);
    std::string after = patchKey(first - 1);
    while (first <= last) {
        const row_page page = co_await m_platform.scan(prefix, after, pageSize);
        for (const row &stored : page.rows) {
            patch_record record = parsePatchRecord(stored.value);
            first = record.version + 1;
            if (record.version <= last) {
                result.push_back(std::move(record));
            }
            after = stored.key;
        }
        if (!page.more) {
            break;
        }
    }
    co_return result;
}

} // namespace banyan
