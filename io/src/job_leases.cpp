#include "banyan/io/job_leases.h"

#include "banyan/core/commit_item.h"
#include "banyan/core/lease_observer.h"
#include "banyan/core/row_key.h"
#include "banyan/io/lease_session.h"
#include "banyan/io/log.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace banyan {

struct job_leases::implementation : std::enable_shared_from_this<job_leases::implementation>
{
    implementation(asio::io_context &ioContext, store_port port, job_leases_options what)
        : context(ioContext)
        , store(std::move(port))
        , options(std::move(what))
        , observer(options.leaseDuration)
    {
    }

    asio::io_context &context;
    store_port store;
    job_leases_options options;
    lease_observer observer;
    std::shared_ptr<lease_session> session;
    std::string key;
    std::uint32_t leases = 0; ///< That this node has had; a key is never used again.
    std::optional<time_point> idleSince;
    std::function<void()> lostHandler;

    void begin()
    {
        key = "lease/jobs/" + keyPart(options.node) + "/" + std::to_string(++leases);
        session = std::make_shared<lease_session>(context,
                                                  store,
                                                  group_committer_options{.leaseKey = key,
                                                                          .holder = options.node,
                                                                          .keepAlive = true,
                                                                          .removeOnRelease = true,
                                                                          .leaseDuration = options.leaseDuration});
        session->onLost([weak = weak_from_this(), lost = key] {
            if (const auto self = weak.lock()) {
                self->lose(lost);
            }
        });
    }

    void lose(const std::string &lost)
    {
        if (lost != key) {
            return;
        }
        end();
        if (lostHandler) {
            lostHandler();
        }
    }

    void end()
    {
        key.clear();
        idleSince.reset();
        // The session may be the one that calls this.
        asio::post(context, [ended = std::exchange(session, nullptr)] {});
    }
};

job_leases::job_leases(asio::io_context &context, const store_port &port, job_leases_options options)
    : m_implementation(std::make_shared<implementation>(context, port, std::move(options)))
{
}

job_leases::~job_leases() = default;

task<> job_leases::acquire()
{
    const auto state = m_implementation;
    if (state->session) {
        co_return;
    }
    state->begin();
    const auto session = state->session;
    // Named, since GCC 12 destroys some temporaries of a co_await expression twice.
    const std::optional<row> absent;
    const commit_item nothing;
    const bool acquired = co_await session->acquire(absent, nothing);
    if (!acquired && session == state->session) {
        state->end();
    }
}

const std::string &job_leases::own() const
{
    return m_implementation->key;
}

bool job_leases::held() const
{
    return m_implementation->session && m_implementation->session->held();
}

void job_leases::onLost(std::function<void()> handler)
{
    m_implementation->lostHandler = std::move(handler);
}

task<> job_leases::giveUpIfIdle(bool inUse)
{
    const auto state = m_implementation;
    const time_point now = state->store.now();
    if (inUse || !state->session) {
        state->idleSince.reset();
        co_return;
    }
    if (!state->idleSince) {
        state->idleSince = now;
    }
    if (now >= *state->idleSince + state->options.idleTime) {
        co_await release(now + state->options.leaseDuration);
    }
}

task<> job_leases::release(time_point until)
{
    const auto state = m_implementation;
    const auto session = state->session;
    if (!session) {
        co_return;
    }
    state->key.clear();
    state->session.reset();
    state->idleSince.reset();
    session->onLost(nullptr);
    co_await session->release(until);
}

task<std::optional<lapsed_lease>> job_leases::lookAt(std::string lease)
{
    const auto state = m_implementation;
    const time_point before = state->store.now();
    const std::optional<row> found = co_await state->store.read(lease);
    if (!found) {
        state->observer.forget(lease);
        co_return lapsed_lease{};
    }
    state->observer.observe(*found, before);
    if (!state->observer.lapsed(lease)) {
        co_return std::nullopt;
    }
    logEvent(log_level::Warning, "job_lease_lapsed", {{"lease", lease}});
    lapsed_lease result;
    result.conditions.push_back({.key = lease, .version = found->version});
    result.writes.push_back({.key = lease, .value = std::nullopt});
    co_return result;
}

} // namespace banyan
