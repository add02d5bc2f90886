#include "rpc_thread.h"

#include "banyan/io/log.h"

#include <future>
#include <stdexcept>

namespace banyan {

rpc_thread::rpc_thread()
    : m_thread([this] {
        run();
    })
{
}

rpc_thread::~rpc_thread()
{
    stop([](kj::AsyncIoProvider &) {});
    join();
}

void rpc_thread::join()
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void rpc_thread::post(job work)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
        return;
    }
    m_jobs.push_back(std::move(work));
    KJ_IF_MAYBE (wake, m_wake) {
        (*wake)->fulfill();
        m_wake = nullptr;
    }
}

void rpc_thread::call(const job &work)
{
    std::promise<std::string> finished;
    post([&](kj::AsyncIoProvider &provider) {
        std::string failure;
        KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] {
                         work(provider);
                     })) {
            failure = exception->getDescription().cStr();
        }
        finished.set_value(failure);
    });
    const std::string failure = finished.get_future().get();
    if (!failure.empty()) {
        throw std::runtime_error(failure);
    }
}

void rpc_thread::stop(job last)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
        return;
    }
    m_jobs.push_back(std::move(last));
    m_stopping = true;
    KJ_IF_MAYBE (wake, m_wake) {
        (*wake)->fulfill();
        m_wake = nullptr;
    }
}

void rpc_thread::run()
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    runJobs(io);
}

void rpc_thread::runJobs(kj::AsyncIoContext &io)
{
    for (;;) {
        std::vector<job> jobs;
        bool last = false;
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        {
            const std::lock_guard lock(m_mutex);
            jobs.swap(m_jobs);
            last = m_stopping;
            if (jobs.empty() && !last) {
                m_wake = kj::mv(pair.fulfiller);
            }
        }
        if (jobs.empty() && !last) {
            pair.promise.wait(io.waitScope);
            continue;
        }
        for (const job &work : jobs) {
            KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] {
                             work(*io.provider);
                         })) {
                logEvent(log_level::Error, "rpc_job_failed", {{"error", exception->getDescription().cStr()}});
            }
        }
        jobs.clear();
        if (last) {
            return;
        }
        io.waitScope.poll();
    }
}

} // namespace banyan
