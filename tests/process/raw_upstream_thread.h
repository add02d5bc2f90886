#pragma once

#include "unit/raw_upstream.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace banyan::process_tests {

/// A raw_upstream on a thread of its own, whose answers the test may change while it serves.
class raw_upstream_thread
{
public:
    /// Makes the answer to a request with an id, which has arrived @p runs times, this one included.
    using script = std::function<tests::raw_answer(const std::string &id, int runs)>;

    explicit raw_upstream_thread(script answer)
        : m_script(std::move(answer))
        , m_upstream(m_context,
                     [this](const std::string &request, std::size_t) {
                         return answerTo(request);
                     })
        , m_thread([this] {
            m_context.run();
        })
    {
    }

    ~raw_upstream_thread()
    {
        m_context.stop();
        m_thread.join();
    }

    raw_upstream_thread(const raw_upstream_thread &) = delete;
    raw_upstream_thread &operator=(const raw_upstream_thread &) = delete;

    [[nodiscard]] endpoint address() const
    {
        return m_upstream.address();
    }

    void setScript(script answer)
    {
        const std::lock_guard lock(m_mutex);
        m_script = std::move(answer);
    }

    [[nodiscard]] int runsOf(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[id];
    }

private:
    tests::raw_answer answerTo(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        const std::string id = tests::valueIn(request, "Request-Id");
        return m_script(id, ++m_runs[id]);
    }

    asio::io_context m_context;
    std::mutex m_mutex;
    script m_script;
    std::map<std::string, int> m_runs;
    tests::raw_upstream m_upstream;
    std::thread m_thread;
};

} // namespace banyan::process_tests
