#include "banyan/core/serving/run_id.h"

#include <xxhash.h>

#include <algorithm>

namespace banyan {

namespace {

constexpr char serialSeparator = '#';
constexpr char runSeparator = '.';

} // namespace

request_id runId(std::string_view request, std::uint64_t serial, std::uint32_t run)
{
    return request_id(std::string(request) + serialSeparator + std::to_string(serial) + runSeparator + std::to_string(run));
}

request_id requestOf(const request_id &run)
{
    return request_id(run.text().substr(0, run.text().rfind(serialSeparator)));
}

std::uint64_t originOfRun(const node_id &holder, const request_id &run)
{
    const std::string &text = run.text();
    const std::size_t serial = std::min(text.rfind(serialSeparator), text.size());
    const std::string key = holder.text() + text.substr(serial, text.rfind(runSeparator) - serial);
    return std::max<std::uint64_t>(1, XXH3_64bits(key.data(), key.size()));
}

} // namespace banyan
