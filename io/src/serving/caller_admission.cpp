#include "banyan/io/serving/caller_admission.h"

#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/platform_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <openssl/rand.h>

#include <stdexcept>
#include <utility>

namespace banyan {

namespace {

constexpr duration longestProofWait = std::chrono::milliseconds(250); // Of a request for a reading of the configuration.
constexpr duration readingInterval = std::chrono::milliseconds(50); // Limits the calls that unknown keys cause.
constexpr duration failureRetention = std::chrono::seconds(1); // Without another reading; after that, requests wait for one again.
constexpr duration retryDelay = std::chrono::milliseconds(250); // After which the configuration has been read again if the store answers.

key_digester::secret drawSecret()
{
    key_digester::secret secret{};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
        throw std::runtime_error("libcrypto could not draw a secret for the digests of keys");
    }
    return secret;
}

} // namespace

class caller_admission::implementation : public std::enable_shared_from_this<caller_admission::implementation>
{
public:
    implementation(caller_admission_ports ports, duration revocationTime)
        : m_ports(std::move(ports))
        , m_digester(drawSecret())
        , m_lease(revocationTime)
        , m_read(m_ports.context)
    {
    }

    task<admission> admit(admission_request request);

    [[nodiscard]] bool maySend(const key_digest &key, const caller_id &holder, time_point now) const
    {
        const std::shared_ptr<const route_table> table = m_ports.routes();
        const organisation *const found = table == nullptr ? nullptr : table->keys().find(key);
        return found != nullptr && found->name == holder && m_lease.isValid(now);
    }

    void configurationRead(time_point begunAt)
    {
        m_lease.recordReading(begunAt);
        m_failedAt.reset();
        m_read.notify();
    }

    void housekeep(time_point now);

private:
    friend class caller_admission;

    [[nodiscard]] admission decide(const admission_request &request, const std::optional<key_digest> &digest) const;
    [[nodiscard]] bool storeSeemsSilent(time_point now) const;
    task<> waitForReading(time_point since);
    static task<> readWhileAwaited(std::shared_ptr<implementation> self);

    caller_admission_ports m_ports;
    key_digester m_digester;
    key_lease m_lease;
    async_event m_read; ///< Notified after each reading, and after a failed one that was awaited.
    std::size_t m_waiting = 0; ///< Requests that wait for a reading.
    bool m_reading = false;
    std::optional<time_point> m_callBegunAt; ///< Of the call in progress.
    std::optional<time_point> m_failedAt; ///< When an awaited reading failed; none after a successful one.
    bool m_leaseOver = false;
};

/// Decides by the configuration that is in force now.
admission caller_admission::implementation::decide(const admission_request &request, const std::optional<key_digest> &digest) const
{
    admission result{.table = m_ports.routes(), .retryAfter = m_ports.othersRead() ? duration(0) : retryDelay};
    bool isPublic = false;
    if (request.path.empty()) {
        isPublic = result.table->hasPublicJobs(request.host);
    } else {
        result.matchedRoute = result.table->find(request.host, request.path);
        if (result.matchedRoute == nullptr) {
            return result;
        }
        isPublic = result.matchedRoute->isPublic;
    }
    const presented_key presented{.digest = digest, .arrivedAt = request.arrivedAt};
    const key_check checked = checkKey(result.table->keys(), m_lease, presented, isPublic, currentTime());
    result.verdict = checked.verdict;
    result.holder = checked.holder;
    if (checked.holder != nullptr) {
        result.key = digest;
    }
    return result;
}

task<admission> caller_admission::implementation::admit(admission_request request)
{
    std::optional<key_digest> digest;
    if (request.key && m_ports.routes()->keys().requiresKeys()) {
        digest = m_digester.digest(*request.key);
    }
    admission result = decide(request, digest);
    if (result.isUncertain()) {
        const std::shared_ptr<implementation> self = shared_from_this();
        co_await waitForReading(request.arrivedAt);
        if (request.key && !digest) {
            digest = m_digester.digest(*request.key);
        }
        result = decide(request, digest);
    }
    if (result.verdict != key_verdict::Taken) {
        m_ports.metrics.count(toString(result.verdict));
    }
    co_return result;
}

/// Whether a reading has failed or takes too long, and no other has succeeded since.
bool caller_admission::implementation::storeSeemsSilent(time_point now) const
{
    if (m_ports.isStoreLost()) {
        return true;
    }
    const bool hasFailed = m_failedAt && now - *m_failedAt < failureRetention;
    const bool isOverdue = m_callBegunAt && now - *m_callBegunAt > longestProofWait && !m_lease.knowsAllBefore(*m_callBegunAt);
    return hasFailed || isOverdue;
}

/// Returns when the configuration has been read by a call that began after @p since, when that has failed, or after a bounded time.
task<> caller_admission::implementation::waitForReading(time_point since)
{
    const time_point begunAt = currentTime();
    if (storeSeemsSilent(begunAt)) {
        co_return;
    }
    ++m_waiting;
    if (!std::exchange(m_reading, true)) {
        asio::co_spawn(m_ports.context, readWhileAwaited(shared_from_this()), asio::detached);
    }
    asio::steady_timer timer(m_ports.context, longestProofWait);
    const auto isOver = std::make_shared<bool>(false);
    timer.async_wait([weak = weak_from_this(), isOver](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            *isOver = true;
            self->m_read.notify();
        }
    });
    while (!m_lease.knowsAllBefore(since) && !(m_failedAt && *m_failedAt >= begunAt) && !*isOver) {
        co_await m_read.wait();
    }
    --m_waiting;
}

/// Reads the configuration as long as requests wait for that, one call at a time.
task<> caller_admission::implementation::readWhileAwaited(std::shared_ptr<implementation> self)
{
    while (self->m_waiting > 0) {
        std::string failure;
        const time_point begunAt = currentTime();
        self->m_callBegunAt = begunAt;
        try {
            const bool succeeded = co_await self->m_ports.readConfiguration();
            failure = succeeded ? "" : "the configuration is being read anew";
        } catch (const platform_unavailable &error) {
            failure = error.what();
        }
        self->m_callBegunAt.reset();
        if (!failure.empty()) {
            if (!self->m_lease.knowsAllBefore(begunAt)) {
                self->m_failedAt = currentTime();
                self->m_read.notify();
            }
            logEvent(log_level::Info, "configuration_not_proven", {{"reason", failure}});
        }
        asio::steady_timer timer(self->m_ports.context, readingInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    self->m_reading = false;
}

void caller_admission::implementation::housekeep(time_point now)
{
    const std::shared_ptr<const route_table> table = m_ports.routes();
    if (table == nullptr || !table->keys().requiresKeys()) {
        return;
    }
    const duration age = m_lease.age(now).value_or(duration(0));
    m_ports.metrics.set("organisations", static_cast<double>(table->configuration().organisations.size()));
    m_ports.metrics.set("key_lease_age_seconds", std::chrono::duration<double>(age).count());
    const bool over = !m_lease.isValid(now);
    if (over != std::exchange(m_leaseOver, over)) {
        logEvent(over ? log_level::Warning : log_level::Info,
                 over ? "key_lease_over" : "key_lease_regained",
                 {{"age_us", std::to_string(age.count())}, {"configuration_version", std::to_string(table->configuration().version)}});
    }
}

caller_admission::caller_admission(caller_admission_ports ports, duration revocationTime)
    : m_implementation(std::make_shared<implementation>(std::move(ports), revocationTime))
{
}

caller_admission::~caller_admission() = default;

const key_digester &caller_admission::digester() const
{
    return m_implementation->m_digester;
}

void caller_admission::configurationRead(time_point begunAt)
{
    m_implementation->configurationRead(begunAt);
}

task<admission> caller_admission::admit(admission_request request)
{
    return m_implementation->admit(std::move(request));
}

bool caller_admission::maySend(const key_digest &key, const caller_id &holder, time_point now) const
{
    return m_implementation->maySend(key, holder, now);
}

void caller_admission::housekeep(time_point now)
{
    m_implementation->housekeep(now);
}

} // namespace banyan
