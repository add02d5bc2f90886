#include "banyan/io/serving/listed_job_service.h"

#include "banyan/io/client_memory.h"
#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"
#include "listed_job_implementation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

constexpr duration resultPollInterval = std::chrono::milliseconds(350); // Between two checks for a result that a client waits for.
constexpr duration submissionRetryDelay = std::chrono::milliseconds(500); // Advised to clients whose job could not be recorded.
constexpr duration reservationLifetime =
    std::chrono::seconds(3); // Well below waiting_quota_options::unrecordedLifetime, after which nodes drop a reservation.
constexpr int maximumEndAttempts = 4; // Attempts of the conditional write, which fails when another node changes the row.

} // namespace

std::string_view toString(job_acceptance acceptance)
{
    switch (acceptance) {
    case job_acceptance::Accepted:
        return "accepted";
    case job_acceptance::NotAccepted:
        return "not_accepted";
    case job_acceptance::OfOther:
        return "of_other";
    case job_acceptance::NoMemory:
        return "no_memory";
    case job_acceptance::OverQuota:
        return "over_quota";
    case job_acceptance::Unknown:
        break;
    }
    return "unknown";
}

void listed_job_service::implementation::start()
{
    asio::co_spawn(m_ports.context, m_jobsFollower->run(), [follower = m_jobsFollower](const std::exception_ptr &) {});
    asio::co_spawn(m_ports.context, takeOverLoop(shared_from_this()), asio::detached);
    asio::co_spawn(m_ports.context, sweepLoop(shared_from_this()), asio::detached);
}

table_observer listed_job_service::implementation::observer()
{
    const auto applyRow = [this](const table_row &row) {
        const std::optional<job_entry> entry = row.deleted ? std::nullopt : m_records.entryOf(row);
        if (entry) {
            entryChanged(*entry);
        } else if (row.deleted) {
            m_directory.remove(job_id(row.name.key));
        } else {
            logEvent(log_level::Warning, "job_row_malformed", {{"job", row.name.key}, {"version", std::to_string(row.version)}});
        }
    };
    table_observer result;
    result.onSnapshot = [applyRow](const std::vector<table_row> &rows) {
        std::for_each(rows.begin(), rows.end(), applyRow);
    };
    result.onChange = applyRow;
    return result;
}

/// Records how many tokens of a route's quota have finished since the last known version of the job's entry.
void listed_job_service::implementation::recordFinishedTokens(const job_entry &entry)
{
    const job_entry *const known = m_directory.find(entry.id);
    if (known != nullptr && known->isOpen() && known->version < entry.version) {
        const std::uint64_t left = entry.isOpen() ? entry.tokensLeft : 0;
        if (known->tokensLeft > left) {
            m_quota->recordFinished(quotaName(entry.route, entry.organisation), known->tokensLeft - left, currentTime());
        }
    }
}

/// Applies a changed row of a job; stops the job at this node if it has ended or has another owner.
void listed_job_service::implementation::entryChanged(const job_entry &entry)
{
    recordFinishedTokens(entry);
    m_directory.update(entry);
    const auto running = m_running.find(entry.id);
    if (running == m_running.end() || running->second->entry.version >= entry.version) {
        return;
    }
    if (entry.ended || entry.owner != m_options.self) {
        stopJob(running->second, entry.ended ? "ended" : "taken_over");
    }
}

byte_share listed_job_service::implementation::shareOfJob() const
{
    return m_memory != nullptr ? m_memory->share(memory_holder::Jobs) : byte_share();
}

void listed_job_service::implementation::startJob(const job_entry &entry,
                                                  std::vector<job_item> items,
                                                  std::vector<listed_result> listed,
                                                  const std::vector<item_checkpoint> &checkpoints)
{
    if (m_running.contains(entry.id)) {
        return;
    }
    m_directory.update(entry);
    auto job = std::make_shared<running_job>(m_ports.context, entry, std::move(items), ++m_startedJobs);
    job->restore(checkpoints);
    std::set<std::string> done;
    for (const listed_result &result : listed) {
        done.insert(result.item);
    }
    job->results = std::move(listed);
    job->recordedCount = job->results.size();
    job->held = shareOfJob();
    job->held.charge(heldBytes(job->items)); // Also of a job that is taken over: it must not be lost.
    for (const listed_result &result : job->results) {
        job->held.charge(job->held.bytes() + result.output.size());
    }
    m_running.emplace(entry.id, job);
    logEvent(log_level::Info,
             "job_begun",
             {{"job", entry.id.text()},
              {"version", std::to_string(entry.version)},
              {"items", std::to_string(job->items.size())},
              {"listed", std::to_string(job->recordedCount)},
              {"checkpoints", std::to_string(checkpoints.size())}});
    for (std::size_t index = 0; index < job->items.size(); ++index) {
        if (!done.contains(job->items[index].id)) {
            asio::co_spawn(m_ports.context, runItem(shared_from_this(), job, index), asio::detached);
        }
    }
    asio::co_spawn(m_ports.context, recordResultsLoop(shared_from_this(), job), asio::detached);
    asio::co_spawn(m_ports.context, checkpointLoop(shared_from_this(), job), asio::detached);
    if (!std::exchange(m_reviewsWaits, true)) {
        asio::co_spawn(m_ports.context, reviewWaitsLoop(shared_from_this()), asio::detached);
    }
}

void listed_job_service::implementation::stopJob(const job_pointer &job, std::string_view how)
{
    logEvent(log_level::Info,
             "job_left",
             {{"job", job->entry.id.text()},
              {"version", std::to_string(job->entry.version)},
              {"how", std::string(how)},
              {"listed", std::to_string(job->recordedCount)}});
    job->stop();
    m_running.erase(job->entry.id);
}

/// The answer to a submission whose job is recorded.
job_acceptance listed_job_service::implementation::acceptanceOfKnown(const job_submission &submission, const job_entry &known)
{
    const bool isOfOther = !submission.organisation.empty() && submission.organisation != known.organisation;
    return isOfOther ? job_acceptance::OfOther : job_acceptance::Accepted;
}

/// Reserves a job's tokens if its route has a quota, which each organisation has for itself, and records the job.
task<submission_answer> listed_job_service::implementation::accept(job_submission submission)
{
    const auto running = m_running.find(submission.id);
    const job_entry *const known = running == m_running.end() ? m_directory.find(submission.id) : &running->second->entry;
    if (known != nullptr) {
        co_return submission_answer{.acceptance = acceptanceOfKnown(submission, *known)};
    }
    byte_share room = shareOfJob(); // Until the job is recorded and has its own.
    if (!room.resize(heldBytes(submission.items))) {
        logEvent(
            log_level::Info, "job_without_memory", {{"job", submission.id.text()}, {"bytes", std::to_string(heldBytes(submission.items))}});
        co_return submission_answer{.acceptance = job_acceptance::NoMemory, .retryAfter = submissionRetryDelay};
    }
    const std::string quota = quotaName(submission.route, submission.organisation);
    const std::uint64_t limit = quotaOf(submission.route);
    quota_reservation wanted{.job = submission.id, .claim = m_quota->newClaim()};
    for (const job_item &item : submission.items) {
        wanted.tokens += item.tokens;
    }
    submission_answer answer{.acceptance = job_acceptance::NotAccepted, .retryAfter = submissionRetryDelay};
    if (limit == 0) {
        answer = co_await record(std::move(submission), wanted.tokens);
        co_return answer;
    }
    const time_point startedAt = currentTime();
    const reservation_outcome reserved = co_await m_quota->reserve(quota, limit, wanted);
    if (reserved.state == reservation_state::OverQuota) {
        answer = {.acceptance = job_acceptance::OverQuota, .retryAfter = reserved.retryAfter};
    } else if (reserved.state == reservation_state::Reserved) {
        // If this process was suspended meanwhile, other nodes may have dropped the reservation.
        if (currentTime() - startedAt < reservationLifetime) {
            answer = co_await record(std::move(submission), wanted.tokens);
        }
        if (answer.acceptance == job_acceptance::NotAccepted) {
            m_quota->release(quota, wanted);
        }
    }
    co_return answer;
}

/// Maximum number of waiting tokens of a route; 0 for no limit.
std::uint64_t listed_job_service::implementation::quotaOf(const std::string &route) const
{
    const ::banyan::route *const jobRoute = m_table ? m_table->findByName(route) : nullptr;
    return jobRoute == nullptr ? 0 : jobRoute->maximumWaitingTokens;
}

task<submission_answer> listed_job_service::implementation::record(job_submission submission, std::uint64_t tokens)
{
    job_entry entry{.id = submission.id,
                    .route = submission.route,
                    .host = submission.host,
                    .organisation = submission.organisation,
                    .submittedAt = currentTime(),
                    .total = static_cast<std::uint32_t>(submission.items.size()),
                    .tokensLeft = tokens,
                    .owner = m_options.self};
    submission_answer answer{.retryAfter = submissionRetryDelay};
    std::string reason;
    try {
        const std::optional<row_version> version = co_await m_records.create(entry, submission.items);
        answer.acceptance = job_acceptance::Accepted;
        if (version) {
            entry.version = *version;
            startJob(entry, std::move(submission.items), {}, {});
        } else if (!submission.organisation.empty()) {
            answer.acceptance = job_acceptance::Unknown; // Until it is known whose job has this id.
        }
    } catch (const platform_unavailable &error) {
        answer.acceptance = job_acceptance::NotAccepted;
        reason = error.what();
    } catch (const platform_outcome_unknown &error) {
        reason = error.what();
    }
    if (answer.acceptance == job_acceptance::Unknown) {
        // If the row exists now or appears later, the table follower reports it.
        try {
            const std::optional<job_entry> stored = co_await m_records.find(submission.id);
            answer.acceptance = stored ? acceptanceOfKnown(submission, *stored) : job_acceptance::Unknown;
        } catch (const platform_unavailable &error) {
            reason = error.what();
        }
    }
    logEvent(answer.acceptance == job_acceptance::Accepted ? log_level::Info : log_level::Warning,
             "job_submitted",
             {{"job", submission.id.text()},
              {"route", submission.route},
              {"version", std::to_string(entry.version)},
              {"items", std::to_string(entry.total)},
              {"tokens", std::to_string(tokens)},
              {"acceptance", std::string(toString(answer.acceptance))},
              {"reason", reason}});
    co_return answer;
}

task<std::optional<job_entry>> listed_job_service::implementation::lookUp(job_id id)
{
    if (const job_entry *const known = m_directory.find(id)) {
        co_return *known;
    }
    co_return co_await m_records.find(id);
}

task<job_results> listed_job_service::implementation::results(job_id id, std::uint32_t after, duration wait, job_access access)
{
    const time_point until = currentTime() + wait;
    job_results answer;
    try {
        const std::optional<job_entry> entry = co_await lookUp(id);
        if (!entry || !access.allows(*entry)) {
            answer.state = lookup_state::Missing;
            co_return answer;
        }
        answer.total = entry->total;
        for (;;) {
            const auto running = m_running.find(id);
            if (running != m_running.end()) {
                const running_job &job = *running->second;
                for (std::size_t index = after; index < job.recordedCount; ++index) {
                    answer.results.push_back(job.results[index]);
                }
            } else if (after < entry->total) {
                answer.results = co_await m_records.results(id, after);
            }
            answer.state = lookup_state::Found;
            if (!answer.results.empty() || after >= entry->total || currentTime() + resultPollInterval > until) {
                co_return answer;
            }
            co_await sleep(resultPollInterval);
        }
    } catch (const platform_unavailable &error) {
        logEvent(log_level::Info, "job_not_read", {{"job", id.text()}, {"reason", error.what()}});
        answer.state = lookup_state::Unknown;
    }
    co_return answer;
}

task<item_lookup> listed_job_service::implementation::itemBody(job_id id, std::string item, job_access access)
{
    item_lookup answer;
    try {
        std::vector<job_item> items;
        const std::optional<job_entry> entry = co_await lookUp(id);
        if (!entry || !access.allows(*entry)) {
            answer.state = lookup_state::Missing;
            co_return answer;
        }
        if (const auto running = m_running.find(id); running != m_running.end()) {
            items = running->second->items;
        } else {
            items = co_await m_records.items(*entry);
        }
        const auto found = std::find_if(items.begin(), items.end(), [&](const job_item &candidate) {
            return candidate.id == item;
        });
        answer.state = found == items.end() ? lookup_state::Missing : lookup_state::Found;
        answer.body = found == items.end() ? std::string() : found->body;
    } catch (const platform_unavailable &error) {
        logEvent(log_level::Info, "job_not_read", {{"job", id.text()}, {"reason", error.what()}});
    }
    co_return answer;
}

task<lookup_state> listed_job_service::implementation::end(job_id id, job_access access)
{
    std::string reason;
    for (int attempt = 0; attempt < maximumEndAttempts; ++attempt) {
        try {
            std::optional<job_entry> entry = co_await m_records.find(id);
            if (!entry || !access.allows(*entry)) {
                co_return lookup_state::Missing;
            }
            if (!entry->isOpen()) {
                co_return lookup_state::Found;
            }
            entry->ended = true;
            if (const std::optional<row_version> version = co_await m_records.update(*entry)) {
                entry->version = *version;
                logEvent(log_level::Info, "job_end_recorded", {{"job", id.text()}, {"version", std::to_string(*version)}});
                entryChanged(*entry);
                co_return lookup_state::Found;
            }
        } catch (const platform_unavailable &error) {
            reason = error.what();
            break;
        } catch (const platform_outcome_unknown &error) {
            reason = error.what();
        }
    }
    logEvent(log_level::Warning, "job_end_not_recorded", {{"job", id.text()}, {"reason", reason}});
    co_return lookup_state::Unknown;
}

task<> listed_job_service::implementation::sleep(duration time)
{
    asio::steady_timer timer(m_ports.context, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

listed_job_service::listed_job_service(const listed_job_ports &ports, const listed_job_options &options)
    : m_implementation(std::make_shared<implementation>(ports, options))
{
}

listed_job_service::~listed_job_service() = default;

void listed_job_service::start()
{
    m_implementation->start();
}

void listed_job_service::limitMemory(client_memory &memory)
{
    m_implementation->limitMemory(memory);
}

void listed_job_service::configure(std::shared_ptr<const route_table> table)
{
    m_implementation->configure(std::move(table));
}

void listed_job_service::setHubs(const report_hubs &hubs)
{
    m_implementation->setHubs(hubs);
}

void listed_job_service::setRegistered(const std::set<node_id> &nodes)
{
    m_implementation->setRegistered(nodes);
}

void listed_job_service::recordReport(const node_id &node, time_point now, scheduling_state state)
{
    m_implementation->recordReport(node, now, state);
}

void listed_job_service::setOwnState(scheduling_state state)
{
    m_implementation->setOwnState(state);
}

task<submission_answer> listed_job_service::accept(job_submission submission)
{
    return m_implementation->accept(std::move(submission));
}

task<job_results> listed_job_service::results(job_id id, std::uint32_t after, duration wait, job_access access)
{
    return m_implementation->results(std::move(id), after, wait, std::move(access));
}

task<item_lookup> listed_job_service::itemBody(job_id id, std::string item, job_access access)
{
    return m_implementation->itemBody(std::move(id), std::move(item), std::move(access));
}

task<lookup_state> listed_job_service::end(job_id id, job_access access)
{
    return m_implementation->end(std::move(id), std::move(access));
}

task<> listed_job_service::handOver(duration time)
{
    return m_implementation->handOver(time);
}

std::size_t listed_job_service::running() const
{
    return m_implementation->running();
}

} // namespace banyan
