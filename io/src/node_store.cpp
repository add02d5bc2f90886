#include "node_store.h"

#include "banyan/core/lease_takeover.h"
#include "banyan/io/platform_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

constexpr duration probeInterval = std::chrono::milliseconds(500);
constexpr duration leastRetryAfter = std::chrono::seconds(1);

bool canBeUsed(const lease_session &session)
{
    const lease_status status = session.committer().status();
    return status == lease_status::Acquiring || status == lease_status::Held;
}

} // namespace

node_store::node_store(asio::io_context &context, store_port port, node_store_options options)
    : m_context(context)
    , m_port(std::move(port))
    , m_options(std::move(options))
    , m_availableAgain(context)
{
}

node_store::current_lease node_store::lease()
{
    if (!m_lease.session || !canBeUsed(*m_lease.session)) {
        renewLease();
    }
    return m_lease;
}

void node_store::renewLease()
{
    ++m_leases;
    m_lease.holder = m_options.node.text() + (m_leases == 1 ? std::string() : "~" + std::to_string(m_leases));
    m_lease.session = std::make_shared<lease_session>(m_context,
                                                      m_port,
                                                      group_committer_options{.leaseKey = std::string(nodeLeasePrefix) + m_lease.holder,
                                                                              .holder = m_lease.holder,
                                                                              .ownedPrefix = ownedRecordsPrefix(m_lease.holder),
                                                                              .removeOnRelease = true,
                                                                              .leaseDuration = m_options.leaseDuration,
                                                                              .commitsPerSecond = m_options.commitsPerSecond});
    m_lease.session->onUnavailable([self = weak_from_this()] {
        if (const auto store = self.lock()) {
            store->markDown();
        }
    });
    asio::co_spawn(m_context, m_lease.session->acquire(std::nullopt), asio::detached);
}

task<commit_outcome> node_store::commit(commit_item item)
{
    const std::shared_ptr<lease_session> session = lease().session;
    const commit_outcome outcome = co_await session->commit(std::move(item));
    co_return outcome;
}

void node_store::disown(const std::string &recordKey)
{
    if (m_lease.session) {
        m_lease.session->disown(recordKey);
    }
}

task<std::optional<row>> node_store::read(std::string key)
{
    const auto self = shared_from_this();
    try {
        std::optional<row> answer = co_await m_port.read(std::move(key));
        co_return answer;
    } catch (const platform_unavailable &) {
        markDown();
        throw;
    }
}

task<std::optional<row>> node_store::readPatiently(std::string key)
{
    const auto self = shared_from_this();
    for (;;) {
        try {
            std::optional<row> answer = co_await m_port.read(key);
            co_return answer;
        } catch (const platform_unavailable &) {
            markDown();
        }
        co_await waitUntilAvailable();
    }
}

task<> node_store::putPatiently(std::string name, std::string bytes)
{
    const auto self = shared_from_this();
    for (;;) {
        try {
            co_await m_port.putObject(name, bytes);
            co_return;
        } catch (const platform_unavailable &) {
            markDown();
        } catch (const platform_outcome_unknown &) {
            markDown();
        }
        co_await waitUntilAvailable();
    }
}

task<> node_store::waitUntilAvailable()
{
    const auto self = shared_from_this();
    while (m_down) {
        co_await m_availableAgain.wait();
    }
}

void node_store::markDown()
{
    if (m_down) {
        return;
    }
    m_down = true;
    asio::co_spawn(m_context, probe(shared_from_this()), asio::detached);
}

task<> node_store::probe(std::shared_ptr<node_store> self)
{
    while (self->m_down) {
        co_await sleepUntil(self->m_port, self->now() + probeInterval);
        try {
            co_await self->m_port.read(std::string(nodeLeasePrefix));
            self->m_down = false;
        } catch (const platform_unavailable &) {
            continue;
        }
    }
    if (self->m_lease.session) {
        self->m_lease.session->storeAnswered();
    }
    self->m_availableAgain.notify();
}

bool node_store::available() const
{
    return !m_down;
}

duration node_store::retryAfter() const
{
    const duration committers = m_lease.session ? m_lease.session->committer().retryAfter() : duration::zero();
    return std::max(leastRetryAfter, committers);
}

void node_store::setCommitsPerSecond(double rate)
{
    m_options.commitsPerSecond = rate;
    if (m_lease.session) {
        m_lease.session->setCommitsPerSecond(rate);
    }
}

task<> node_store::release(time_point until)
{
    const auto self = shared_from_this();
    const std::shared_ptr<lease_session> session = m_lease.session;
    if (session) {
        co_await session->release(until);
    }
}

bool node_store::isOwnLease(std::string_view leaseKey) const
{
    return m_lease.session && canBeUsed(*m_lease.session) && leaseKey == std::string(nodeLeasePrefix) + m_lease.holder;
}

std::string node_store::uniqueName()
{
    return m_options.node.text() + "-" + std::to_string(++m_names);
}

} // namespace banyan
