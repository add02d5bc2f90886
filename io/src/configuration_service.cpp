#include "banyan/io/configuration_service.h"

#include "banyan/core/configuration_history.h"
#include "banyan/core/patch_submission.h"
#include "banyan/io/clock.h"
#include "banyan/io/fleet_service.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_client.h"
#include "banyan/io/platform_error.h"
#include "configuration_reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace banyan {

namespace {

/// Between tries to get a first configuration.
constexpr duration startInterval = std::chrono::milliseconds(300);

/// Peers asked for the first configuration while the platform is away; the newest answer counts.
constexpr std::size_t peersAskedAtStart = 5;
constexpr std::size_t peersAskedLater = 2;

/// Missed patches that a refused operator is shown.
constexpr configuration_version maximumMissedPatches = 20;

constexpr std::size_t auditPageSize = 500; // rows

std::vector<std::string> contestedFields(const std::string &mergePatch, const std::vector<patch_record> &missed)
{
    const std::vector<std::string> wanted = changedFields(mergePatch);
    std::vector<std::string> result;
    for (const patch_record &record : missed) {
        const std::vector<std::string> changed = changedFields(record.mergePatch);
        std::set_intersection(wanted.begin(), wanted.end(), changed.begin(), changed.end(), std::back_inserter(result));
    }
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

} // namespace

class configuration_service::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context &context,
                   platform_client &platform,
                   fleet_service &fleet,
                   configuration_history &sharedHistory,
                   configuration_service_options wanted)
        : history(sharedHistory)
        , options(std::move(wanted))
        , m_context(context)
        , m_platform(platform)
        , m_reader(platform)
        , m_fleet(fleet)
        , m_poll(context)
        , m_random(options.seed)
    {
    }

    void start()
    {
        m_fleet.onConfigurationReceived([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->notify();
            }
        });
        m_fleet.onConfigurationBehind([weak = weak_from_this()](const node_info &peer) {
            if (const auto self = weak.lock()) {
                asio::co_spawn(self->m_context, catchUpFrom(self, peer), asio::detached);
            }
        });
        asio::co_spawn(m_context, poll(shared_from_this()), asio::detached);
    }

    void stop()
    {
        m_stopped = true;
        m_poll.cancel();
    }

    static task<patch_result> submit(std::shared_ptr<implementation> self, patch_request request)
    {
        if (request.submissionId.empty()) {
            request.submissionId = self->newSubmissionId();
        }
        patch_submission submission(request, currentTime() + self->options.submissionTimeout, {});
        submission_step step = submission.start();
        while (!std::holds_alternative<finish_submission>(step.action)) {
            co_await self->wait(step.delay);
            step = co_await self->perform(submission, step);
        }
        patch_result result = std::get<finish_submission>(step.action).result;
        if (result.outcome == patch_outcome::Accepted) {
            self->putInForce(submission.patch());
        } else {
            co_await self->explainRefusal(request, result);
            co_await recordAudit(self, submission.rejectionRecord(result, currentTime()));
        }
        logEvent(log_level::Info,
                 "patch_submitted",
                 {{"submission_id", result.submissionId},
                  {"operator", request.author.text()},
                  {"base_version", std::to_string(request.baseVersion)},
                  {"outcome", std::string(toString(result.outcome))},
                  {"version", std::to_string(result.version)}});
        co_return result;
    }

    static task<std::vector<audit_record>> readAudit(std::shared_ptr<implementation> self, audit_filter filter)
    {
        std::vector<audit_record> result;
        const std::string prefix(auditPrefix);
        std::string after = filter.from ? auditRow({.time = *filter.from}, "").key : std::string();
        bool more = true;
        while (more && result.size() < filter.limit) {
            const row_page page = co_await self->m_platform.scan(prefix, after, auditPageSize);
            more = page.more && !page.rows.empty();
            for (const row &stored : page.rows) {
                after = stored.key;
                const audit_record record = parseAuditRow(stored);
                more = more && (!filter.until || record.time < *filter.until);
                if (filter.matches(record) && result.size() < filter.limit) {
                    result.push_back(record);
                }
            }
        }
        co_return result;
    }

    static task<> recordAudit(std::shared_ptr<implementation> self, audit_record record)
    {
        std::string failure;
        try {
            const std::string unique = self->newSubmissionId();
            transaction change;
            change.id = unique;
            change.writes.push_back(auditRow(record, unique));
            co_await self->m_platform.commit(std::move(change));
        } catch (const std::exception &error) {
            failure = error.what();
        }
        if (!failure.empty()) {
            logEvent(log_level::Warning, "audit_not_recorded", {{"record", toJson(record)}, {"reason", failure}});
        }
    }

    configuration_history &history;
    configuration_service_options options;
    std::vector<std::function<void(const std::shared_ptr<const configuration> &)>> changeHandlers;

private:
    static task<> poll(std::shared_ptr<implementation> self)
    {
        while (!self->m_stopped) {
            co_await self->refresh();
            self->m_poll.expires_after(self->pollInterval());
            boost::system::error_code ignored;
            co_await self->m_poll.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    /// Time until the next reading: the fleet's rate divided by its nodes, with jitter so that nodes spread.
    duration pollInterval()
    {
        const double nodes = static_cast<double>(std::max<std::size_t>(m_fleet.nodes().size(), 1));
        const auto share = std::chrono::duration_cast<duration>(std::chrono::duration<double>(nodes / options.headReadsPerSecond));
        const duration mean = history.current() ? std::max(share, options.minimumPollInterval) : startInterval;
        std::uniform_real_distribution<double> jitter(0.75, 1.25);
        return std::chrono::duration_cast<duration>(mean * jitter(m_random));
    }

    task<> wait(duration span)
    {
        if (span == duration::zero()) {
            co_return;
        }
        asio::steady_timer timer(m_context, span);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    task<> refresh()
    {
        const bool readable = co_await refreshFromPlatform();
        if (!readable && !m_stopped) {
            co_await refreshFromPeers();
        }
    }

    /// Returns whether the platform answered.
    task<bool> refreshFromPlatform()
    {
        std::string failure;
        try {
            const configuration_head head = co_await m_reader.head();
            if (history.isNewer(head.version)) {
                const configuration_update update = co_await m_reader.updateTo(head, history.version());
                take(update);
            }
        } catch (const std::exception &error) {
            failure = error.what();
        }
        if (!failure.empty()) {
            logEvent(log_level::Warning, "configuration_head_unavailable", {{"reason", failure}});
        }
        co_return failure.empty();
    }

    /// Asks some peers and takes the newest answer, so that one that lags does not decide.
    task<> refreshFromPeers()
    {
        std::vector<node_info> peers = m_fleet.reachableNodes();
        std::shuffle(peers.begin(), peers.end(), m_random);
        std::vector<configuration_update> updates;
        const std::size_t wanted = history.current() ? peersAskedLater : peersAskedAtStart;
        for (std::size_t index = 0; index < peers.size() && updates.size() < wanted; ++index) {
            const std::optional<configuration_update> update = co_await fetch(peers[index]);
            if (update) {
                updates.push_back(*update);
            }
        }
        std::sort(updates.begin(), updates.end(), [](const configuration_update &left, const configuration_update &right) {
            return newestVersion(left) > newestVersion(right);
        });
        for (const configuration_update &update : updates) {
            take(update);
        }
    }

    static std::optional<configuration_version> newestVersion(const configuration_update &update)
    {
        if (!update.patches.empty()) {
            return update.patches.back().version;
        }
        return update.snapshot ? std::optional(update.snapshot->version) : std::nullopt;
    }

    task<std::optional<configuration_update>> fetch(node_info peer)
    {
        if (!options.fetchFromPeer || peer.peerAddress == m_fleet.address()) {
            co_return std::nullopt;
        }
        std::string failure;
        try {
            configuration_update update = co_await options.fetchFromPeer(peer, history.version().value_or(0));
            co_return update;
        } catch (const std::exception &error) {
            failure = error.what();
        }
        logEvent(log_level::Warning, "configuration_not_fetched", {{"peer", peer.id.text()}, {"reason", failure}});
        co_return std::nullopt;
    }

    static task<> catchUpFrom(std::shared_ptr<implementation> self, node_info peer)
    {
        // A first configuration is taken by refresh(), which compares several answers.
        if (self->m_stopped || self->m_fetching || !self->history.current()) {
            co_return;
        }
        self->m_fetching = true;
        const std::optional<configuration_update> update = co_await self->fetch(peer);
        if (update) {
            self->take(*update);
        } else {
            co_await self->refreshFromPlatform();
        }
        self->m_fetching = false;
    }

    void take(const configuration_update &update)
    {
        bool grown = false;
        try {
            grown = history.applyUpdate(update);
        } catch (const std::exception &error) {
            logEvent(log_level::Error, "configuration_not_readable", {{"reason", error.what()}});
        }
        if (grown) {
            announce();
        }
    }

    void putInForce(const configuration_patch &patch)
    {
        if (history.apply(patch)) {
            announce();
        }
    }

    void announce()
    {
        m_fleet.configurationChanged();
        notify();
    }

    void notify()
    {
        const std::shared_ptr<const configuration> current = history.current();
        logEvent(log_level::Info, "configuration_in_force", {{"version", std::to_string(current->version)}});
        for (const auto &handler : changeHandlers) {
            handler(current);
        }
    }

    /// Carries out one step of a submission and reports back to it.
    task<submission_step> perform(patch_submission &submission, submission_step step)
    {
        std::optional<submission_step> next;
        bool unknown = false;
        try {
            if (std::holds_alternative<read_head_row>(step.action)) {
                const std::optional<row> stored = co_await m_platform.read(std::string(configurationHeadKey));
                next = submission.headRead(stored, history, currentTime());
            } else if (const auto *const reading = std::get_if<read_patch_row>(&step.action)) {
                const std::optional<row> stored = co_await m_platform.read(reading->key);
                next = submission.patchRowRead(stored, currentTime());
            } else if (std::holds_alternative<catch_up>(step.action)) {
                co_await refresh();
                next = submission.caughtUp(history, currentTime());
            } else if (const auto *const snapshot = std::get_if<store_snapshot>(&step.action)) {
                const bool stored = co_await store(*snapshot);
                next = submission.snapshotStored(stored);
            } else if (const auto *const commit = std::get_if<commit_patch>(&step.action)) {
                const commit_result result = co_await m_platform.commit(commit->change);
                next = submission.committed(result);
            }
        } catch (const platform_outcome_unknown &) {
            unknown = true;
        } catch (const platform_unavailable &) {
            unknown = false;
        } catch (const std::exception &error) {
            logEvent(log_level::Error, "submission_step_failed", {{"reason", error.what()}});
            unknown = std::holds_alternative<commit_patch>(step.action);
        }
        if (next) {
            co_return *next;
        }
        co_return unknown ? submission.outcomeUnknown(currentTime()) : submission.unavailable(currentTime());
    }

    task<bool> store(store_snapshot snapshot)
    {
        try {
            co_await m_platform.putObject(snapshot.name, snapshot.bytes);
            co_return true;
        } catch (const std::exception &error) {
            logEvent(log_level::Warning, "snapshot_not_stored", {{"object", snapshot.name}, {"reason", error.what()}});
        }
        co_return false;
    }

    /// Adds to a conflict what was committed since the base version.
    task<> explainRefusal(const patch_request &request, patch_result &result)
    {
        if (result.outcome != patch_outcome::Conflict) {
            co_return;
        }
        try {
            const configuration_head head = co_await m_reader.head();
            result.version = head.version;
            const configuration_version oldest = head.version > maximumMissedPatches ? head.version - maximumMissedPatches : 0;
            result.missedPatches = co_await m_reader.patches(std::max(request.baseVersion, oldest) + 1, head.version);
            result.contestedFields = contestedFields(request.mergePatch, result.missedPatches);
        } catch (const std::exception &error) {
            logEvent(log_level::Warning, "conflict_not_explained", {{"reason", error.what()}});
        }
    }

    std::string newSubmissionId()
    {
        static constexpr char digits[] = "0123456789abcdef";
        std::string result;
        std::uniform_int_distribution<std::size_t> draw(0, 15);
        for (int count = 0; count < 32; ++count) {
            result += digits[draw(m_random)];
        }
        return result;
    }

    asio::io_context &m_context;
    platform_client &m_platform;
    configuration_reader m_reader;
    fleet_service &m_fleet;
    asio::steady_timer m_poll;
    std::mt19937_64 m_random;
    bool m_fetching = false;
    bool m_stopped = false;
};

configuration_service::configuration_service(asio::io_context &context,
                                             platform_client &platform,
                                             fleet_service &fleet,
                                             configuration_history &history,
                                             configuration_service_options options)
    : m_implementation(std::make_shared<implementation>(context, platform, fleet, history, std::move(options)))
{
}

configuration_service::~configuration_service()
{
    stop();
}

void configuration_service::start()
{
    m_implementation->start();
}

void configuration_service::stop()
{
    m_implementation->stop();
}

std::shared_ptr<const configuration> configuration_service::current() const
{
    return m_implementation->history.current();
}

bool configuration_service::ready() const
{
    return current() != nullptr;
}

void configuration_service::onChange(std::function<void(const std::shared_ptr<const configuration> &)> handler)
{
    m_implementation->changeHandlers.push_back(std::move(handler));
}

task<patch_result> configuration_service::submitPatch(patch_request request)
{
    return implementation::submit(m_implementation, std::move(request));
}

configuration_update configuration_service::updateSince(configuration_version version) const
{
    return m_implementation->history.since(version == 0 ? std::nullopt : std::optional(version));
}

task<std::vector<audit_record>> configuration_service::readAudit(audit_filter filter)
{
    return implementation::readAudit(m_implementation, std::move(filter));
}

task<> configuration_service::recordAudit(audit_record record)
{
    return implementation::recordAudit(m_implementation, std::move(record));
}

} // namespace banyan
