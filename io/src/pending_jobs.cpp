// Placeholder until batch jobs are merged.
#include "banyan/io/batch_api.h"
#include "banyan/io/file_service.h"
#include "banyan/io/job_service.h"

namespace banyan {
struct file_service::implementation
{
};
file_service::file_service(const batch_store &, const file_service_options &)
{
}
file_service::~file_service() = default;
struct job_service::implementation
{
};
job_service::job_service(asio::io_context &, const batch_store &, file_service &, const job_service_hooks &, const job_service_options &)
{
}
job_service::~job_service() = default;
void job_service::start()
{
}
task<> job_service::drain(duration)
{
    co_return;
}
void job_service::stop()
{
}
task<std::vector<job_summary>> job_service::listAll(std::optional<caller_id>, std::size_t)
{
    co_return std::vector<job_summary>();
}
task<job_summary> job_service::showAny(job_id)
{
    co_return job_summary();
}
task<job_summary> job_service::cancelAny(job_id)
{
    co_return job_summary();
}
std::size_t job_service::coordinated() const
{
    return 0;
}
void addBatchRoutes(http_server &, file_service &, job_service &, caller_identification)
{
}
}
