#include "banyan/core/serving/run_id.h"

namespace banyan {

namespace {

constexpr char serialSeparator = '#';

} // namespace

request_id runId(std::string_view request, std::uint64_t serial, std::uint32_t run)
{
    return request_id(std::string(request) + serialSeparator + std::to_string(serial) + '.' + std::to_string(run));
}

request_id requestOf(const request_id &run)
{
    return request_id(run.text().substr(0, run.text().rfind(serialSeparator)));
}

} // namespace banyan
