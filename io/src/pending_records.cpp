// Placeholder until the record service is merged.
#include "banyan/io/record_service.h"

namespace banyan {
class record_service::implementation
{
};
record_service::record_service(asio::io_context &, platform_client &, request_runner, record_service_options)
{
}
record_service::~record_service() = default;
void record_service::start()
{
}
task<> record_service::stop(time_point)
{
    co_return;
}
task<accept_outcome> record_service::accept(record_request, time_point)
{
    co_return accept_outcome();
}
task<stored_record> record_service::wait(stored_record r, time_point)
{
    co_return r;
}
task<bool> record_service::recordStart(std::string, std::uint64_t, std::string)
{
    co_return true;
}
task<std::optional<stored_record>> record_service::find(caller_id, std::string)
{
    co_return std::nullopt;
}
void record_service::keepResultFor(const std::string &, const std::string &)
{
}
void record_service::forgetResultFor(const std::string &)
{
}
void record_service::setLiveNodes(std::vector<node_id>)
{
}
bool record_service::storeAvailable() const
{
    return true;
}
std::size_t record_service::inProgress() const
{
    return 0;
}
}
