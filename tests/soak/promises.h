#pragma once

#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace banyan::soak {

/// What callers were told, gathered by many threads, and the promises that were broken.
class promises
{
public:
    /// A request that must not be repeated was sent; @p promisedNotRun: it was answered as not run.
    void sentOnce(const std::string &id, bool promisedNotRun)
    {
        const std::lock_guard lock(m_mutex);
        m_once[id] = promisedNotRun;
    }

    /// A request with the content that crashes replicas was sent.
    void sentCrashing(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_crashing[id] = std::chrono::steady_clock::now();
    }

    /// Those sent later than @p from.
    [[nodiscard]] std::vector<std::string> crashingSince(std::chrono::steady_clock::time_point from) const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> result;
        for (const auto &[id, sentAt] : m_crashing) {
            if (sentAt > from) {
                result.push_back(id);
            }
        }
        return result;
    }

    void accepted(const std::string &job)
    {
        const std::lock_guard lock(m_mutex);
        m_jobs.insert(job);
    }

    void served()
    {
        const std::lock_guard lock(m_mutex);
        ++m_served;
    }

    /// A client has taken its stream up again.
    void tookUp(bool served)
    {
        const std::lock_guard lock(m_mutex);
        ++(served ? m_resumed : m_notResumed);
    }

    [[nodiscard]] std::size_t resumedCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_resumed;
    }

    [[nodiscard]] std::size_t notResumedCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_notResumed;
    }

    void broken(const std::string &what)
    {
        const std::lock_guard lock(m_mutex);
        std::printf("broken=\"%s\"\n", what.c_str());
        m_broken.push_back(what);
    }

    [[nodiscard]] std::map<std::string, bool> once() const
    {
        const std::lock_guard lock(m_mutex);
        return m_once;
    }

    [[nodiscard]] std::set<std::string> jobs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_jobs;
    }

    [[nodiscard]] std::size_t jobCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_jobs.size();
    }

    [[nodiscard]] std::size_t servedCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_served;
    }

    [[nodiscard]] std::vector<std::string> brokenOnes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_broken;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, bool> m_once; ///< Whether the request was answered as not run.
    std::map<std::string, std::chrono::steady_clock::time_point> m_crashing;
    std::set<std::string> m_jobs;
    std::size_t m_served = 0;
    std::size_t m_resumed = 0; ///< Streams that went on when their clients took them up,
    std::size_t m_notResumed = 0; ///< and those that did not.
    std::vector<std::string> m_broken;
};

} // namespace banyan::soak
