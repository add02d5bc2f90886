#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace banyan {

/// A thread with the event loop of the RPC library.
class rpc_thread
{
public:
    /// Work that runs on the thread and may use its event loop.
    using job = std::function<void(kj::AsyncIoProvider &)>;

    rpc_thread();
    ~rpc_thread();

    /// Queues @p work; may be called from any thread. Dropped after stop().
    void post(job work);

    /// Runs @p work on the thread, waits for its end and passes its exception on as std::runtime_error.
    void call(const job &work);

    /// Runs @p last on the thread, then ends the thread. Only the first call has an effect.
    void stop(job last);

    /// Waits for the thread's end after stop(). Queued work may own this object's owner, so that its last reference may
    /// be dropped on the thread itself: whoever owns both calls this first, from another thread.
    void join();

private:
    void run();
    void runJobs(kj::AsyncIoContext &io);

    std::mutex m_mutex;
    std::vector<job> m_jobs;
    kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace banyan
