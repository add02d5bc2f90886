#include "banyan/io/serving/stream_versions.h"

#include "banyan/core/serving/origin_row.h"
#include "banyan/core/serving/store_clock.h"
#include "banyan/core/serving/stream_continuity.h"
#include "banyan/io/async_event.h"
#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/serving/serving_codec.h"
#include "banyan/io/serving/table_follower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace banyan {

namespace {

const std::string versionTable = "service_versions";
const std::string originTable = "stream_origins";
constexpr duration versionPause = std::chrono::milliseconds(200); // Between two calls for changes.
constexpr duration versionWait = std::chrono::seconds(4); // For a change; versions come and go rarely.
constexpr duration flushDelay = std::chrono::milliseconds(25); // Between two rows; shorter than the time to the first event of a stream.
constexpr duration retryDelay = std::chrono::milliseconds(300); // After a failed call.
constexpr duration rowTime = std::chrono::seconds(1); // For which streams are added to the same row.
constexpr std::size_t maximumStreamsInRow = 1500; // About 15 kB.
constexpr std::uint64_t rowsOfWriter = 256; // Which a writer uses in turn; more than it needs for the retention.
constexpr duration rowRetention = std::chrono::seconds(180); // After which any node removes a row; three times that of streams.
constexpr std::size_t maximumRemovals = 50; // In one transaction; the store accepts up to 100 entries.
constexpr duration lookUpTimeout = std::chrono::milliseconds(250); // Of a client whose stream nobody remembers.
constexpr duration storePatience = std::chrono::milliseconds(60); // After which the other nodes are asked as well.
constexpr duration peerPatience = std::chrono::milliseconds(60); // For answers of other nodes; they cannot say that they know nothing.
constexpr duration readingInterval = std::chrono::milliseconds(20); // Between two readings.
constexpr duration queryDelay = std::chrono::milliseconds(5); // In which the streams of one query are gathered.
constexpr std::size_t maximumStreamsInMessage = 500; // About 8 kB.

table_key versionRow(const service_name &service)
{
    return {.table = versionTable, .part = {}, .key = service.text()};
}

} // namespace

class stream_versions::implementation : public std::enable_shared_from_this<stream_versions::implementation>
{
public:
    explicit implementation(stream_versions_ports ports)
        : m_ports(std::move(ports))
        , m_changed(m_ports.context)
    {
    }

    void start()
    {
        m_follower =
            std::make_shared<table_follower>(m_ports.context,
                                             m_ports.store,
                                             table_follower_options{.table = versionTable, .pause = versionPause, .wait = versionWait},
                                             observer());
        asio::co_spawn(m_ports.context, m_follower->run(), [follower = m_follower](const std::exception_ptr &) {});
        requestReading(); // Sets the clock.
    }

    [[nodiscard]] std::optional<duration> storeNow() const
    {
        return m_clock.isSet() ? std::optional(m_clock.toStoreTime(currentTime())) : std::nullopt;
    }

    /// Reads the store anew, and asks the other nodes if it does not tell. A reading that is in progress may have been answered
    /// before the stream began, so that only the next one counts.
    task<std::optional<stream_origin>> lookUp(stream_key stream, service_name service)
    {
        const time_point since = currentTime();
        const std::uint64_t reading = m_readingsBegun + 1;
        ++m_searched[stream];
        ++m_searchedServices[service];
        requestReading();
        std::optional<stream_origin> origin = co_await awaitOrigin(stream, service, reading, since + storePatience, true);
        if (!origin) {
            askPeers(stream);
            const time_point askedAt = currentTime();
            origin = co_await awaitOrigin(stream, service, reading, std::min(since + lookUpTimeout, askedAt + peerPatience), false);
        }
        if (!origin && m_readingsEnded < reading) {
            origin = co_await awaitOrigin(stream, service, reading, since + lookUpTimeout, true);
        }
        forget(m_searched, stream);
        forget(m_searchedServices, service);
        if (origin) {
            m_continuity.recordOrigin(stream, *origin, currentTime());
        }
        m_ports.metrics.count(origin ? "stream_origin_found" : "stream_origin_missing");
        logEvent(log_level::Info,
                 "stream_origin",
                 {{"service", service.text()},
                  {"version", origin ? origin->version : ""},
                  {"store_read", m_lastSuccess >= reading ? "true" : "false"},
                  {"taken_us", std::to_string((currentTime() - since).count())}});
        co_return origin;
    }

    void received(const origin_query &query)
    {
        origin_row known;
        for (const stream_key stream : query.streams) {
            const std::optional<stream_origin> origin = m_continuity.originOf(stream);
            if (origin && known.streams.size() < maximumStreamsInMessage) {
                known.streams.emplace_back(stream, *origin);
            }
        }
        if (!known.streams.empty()) {
            m_ports.send(query.sender, known);
        }
    }

    void received(const origin_row &origins)
    {
        for (const auto &[stream, origin] : origins.streams) {
            if (m_searched.contains(stream)) {
                m_continuity.recordOrigin(stream, origin, currentTime());
            }
        }
        m_changed.notify();
    }

    void flushSoon()
    {
        if (m_continuity.hasUnstored() && !std::exchange(m_flushing, true)) {
            asio::co_spawn(m_ports.context, flush(shared_from_this()), asio::detached);
        }
    }

    void housekeep()
    {
        m_continuity.expire(currentTime());
        m_ports.metrics.set("known_streams", static_cast<double>(m_continuity.knownStreams()));
        const std::optional<duration> now = storeNow();
        if (!now || m_recording) {
            return;
        }
        for (const service_name &service : m_continuity.versions().services()) {
            const auto due = m_continuity.versions().dueRecord(service, *now);
            if (due && m_ports.recordsService(service)) {
                m_recording = true;
                asio::co_spawn(m_ports.context, recordVersions(shared_from_this(), service, *due), asio::detached);
                return;
            }
        }
    }

    stream_continuity &continuity()
    {
        return m_continuity;
    }

    stream_versions_ports &ports()
    {
        return m_ports;
    }

private:
    template<typename Key>
    static void forget(std::map<Key, std::size_t> &counts, const Key &key)
    {
        const auto entry = counts.find(key);
        if (--entry->second == 0) {
            counts.erase(entry);
        }
    }

    /// Waits until the origin of a stream is known, @p until has come or, with @p endsWithReading, that reading has ended.
    task<std::optional<stream_origin>>
    awaitOrigin(stream_key stream, service_name service, std::uint64_t reading, time_point until, bool endsWithReading)
    {
        std::optional<stream_origin> origin = known(stream, service, reading);
        while (!origin && currentTime() < until && !(endsWithReading && m_readingsEnded >= reading)) {
            asio::steady_timer timer(m_ports.context, until - currentTime());
            timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
                if (!error) {
                    self->m_changed.notify();
                }
            });
            co_await m_changed.wait();
            origin = known(stream, service, reading);
        }
        co_return origin;
    }

    /// What this node knows of a stream, also by a reading of the store that began after the stream was asked for.
    [[nodiscard]] std::optional<stream_origin> known(stream_key stream, const service_name &service, std::uint64_t reading) const
    {
        if (std::optional<stream_origin> remembered = m_continuity.originOf(stream)) {
            return remembered;
        }
        if (m_lastSuccess < reading) {
            return std::nullopt;
        }
        const auto stored = m_stored.find(stream);
        return stored != m_stored.end() ? std::optional(stored->second) : m_continuity.onlyOrigin(service, storeNow());
    }

    void askPeers(stream_key stream)
    {
        m_toAsk.push_back(stream);
        if (m_toAsk.size() == 1) {
            asio::co_spawn(m_ports.context, sendQuery(shared_from_this()), asio::detached);
        }
    }

    static task<> sendQuery(std::shared_ptr<implementation> self)
    {
        co_await self->sleep(queryDelay);
        self->m_toAsk.resize(std::min(self->m_toAsk.size(), maximumStreamsInMessage));
        self->m_ports.sendToAll(origin_query{.sender = self->m_ports.self, .streams = std::exchange(self->m_toAsk, {})});
    }

    table_observer observer()
    {
        table_observer result;
        result.onSnapshot = [self = shared_from_this()](const std::vector<table_row> &rows) {
            for (const table_row &row : rows) {
                self->applyVersions(row);
            }
            self->m_continuity.versions().setLoaded();
        };
        result.onChange = [self = shared_from_this()](const table_row &row) {
            self->applyVersions(row);
        };
        return result;
    }

    void applyVersions(const table_row &row)
    {
        const auto versions = row.deleted ? std::nullopt : decodeServedVersions(row.value);
        if (!versions && !row.deleted) {
            logEvent(log_level::Warning, "service_versions_malformed", {{"row", row.name.key}, {"version", std::to_string(row.version)}});
        }
        m_rowVersions[row.name.key] = row.deleted ? 0 : row.version;
        m_continuity.versions().applyRecord(service_name(row.name.key), versions.value_or(std::vector<served_version>()));
    }

    /// Writes the versions of a service, unless another node has written them meanwhile.
    static task<> recordVersions(std::shared_ptr<implementation> self, service_name service, std::vector<served_version> versions)
    {
        const table_key row = versionRow(service);
        table_transaction change;
        change.conditions.push_back({.name = row, .version = self->m_rowVersions[row.key]});
        change.writes.push_back({.name = row, .value = encode(versions)});
        std::string outcome;
        try {
            const table_commit done = co_await self->m_ports.store.commit(std::move(change));
            outcome = done.committed ? "recorded" : "overtaken";
            if (done.committed) {
                self->m_rowVersions[row.key] = done.version;
                self->m_continuity.versions().applyRecord(service, versions);
            }
        } catch (const platform_unavailable &error) {
            outcome = error.what();
        } catch (const platform_outcome_unknown &error) {
            outcome = error.what(); // The change that follows tells.
        }
        std::string text;
        for (const served_version &entry : versions) {
            text.append(text.empty() ? "" : ",").append(entry.version).append(entry.endedAt ? "(left)" : "");
        }
        logEvent(log_level::Info, "service_versions", {{"service", service.text()}, {"versions", text}, {"outcome", outcome}});
        co_await self->sleep(retryDelay);
        self->m_recording = false;
    }

    /// Stores what began streams until nothing is left to store, each time all that has come meanwhile.
    static task<> flush(std::shared_ptr<implementation> self)
    {
        while (self->m_continuity.hasUnstored()) {
            const std::optional<duration> now = self->storeNow();
            if (!now) {
                co_await self->sleep(retryDelay);
                continue;
            }
            self->addToRow(self->m_continuity.takeUnstored(), *now);
            table_transaction change;
            change.writes.push_back({.name = self->currentRow(), .value = encode(self->m_row)});
            std::string failure;
            try {
                co_await self->m_ports.store.commit(std::move(change));
                self->m_ports.metrics.count("stream_origins_stored");
            } catch (const platform_unavailable &error) {
                failure = error.what();
            } catch (const platform_outcome_unknown &error) {
                failure = error.what();
            }
            if (!failure.empty()) {
                // The next row has these streams as well.
                logEvent(log_level::Warning,
                         "stream_origins_not_stored",
                         {{"streams", std::to_string(self->m_row.streams.size())}, {"reason", failure}});
            }
            co_await self->sleep(failure.empty() ? flushDelay : retryDelay);
        }
        self->m_flushing = false;
    }

    void addToRow(std::vector<std::pair<stream_key, stream_origin>> streams, duration now)
    {
        if (now - m_rowBegunAt > rowTime || m_row.streams.size() + streams.size() > maximumStreamsInRow) {
            ++m_row.sequence;
            m_row.streams.clear();
            m_rowBegunAt = now;
        }
        m_row.writtenAt = now;
        m_row.streams.insert(m_row.streams.end(), streams.begin(), streams.end());
    }

    [[nodiscard]] table_key currentRow() const
    {
        return {.table = originTable, .part = {}, .key = m_ports.self.text() + "/" + std::to_string(m_row.sequence % rowsOfWriter)};
    }

    void requestReading()
    {
        if (!std::exchange(m_reading, true)) {
            asio::co_spawn(m_ports.context, read(shared_from_this()), asio::detached);
        }
    }

    /// Makes a reading, so that all takers of this moment are served by one.
    static task<> read(std::shared_ptr<implementation> self)
    {
        const std::uint64_t reading = ++self->m_readingsBegun;
        std::string failure;
        try {
            if (!co_await self->readAll()) {
                failure = "the lists are not complete";
            }
        } catch (const platform_unavailable &error) {
            failure = error.what();
        }
        if (failure.empty()) {
            self->m_lastSuccess = reading;
        } else if (!self->m_searched.empty()) {
            logEvent(log_level::Warning, "stream_origins_not_read", {{"reason", failure}});
        }
        self->m_readingsEnded = reading;
        self->m_changed.notify();
        co_await self->sleep(failure.empty() ? readingInterval : retryDelay);
        self->m_reading = false;
        if (!self->m_clock.isSet() || !self->m_searched.empty()) {
            self->requestReading();
        }
    }

    /// Reads the registered upstreams and the recorded versions, and the streams if these do not tell. The versions come after the
    /// upstreams: one whose last upstream has just left is recorded. Returns whether all is complete.
    task<bool> readAll()
    {
        bool isComplete = m_searched.empty();
        if (!isComplete) {
            const bool hasUpstreams = co_await m_ports.refreshUpstreams();
            const bool hasVersions = co_await m_follower->refresh();
            isComplete = hasUpstreams && hasVersions;
        }
        const bool isMixed = std::any_of(m_searchedServices.begin(), m_searchedServices.end(), [this](const auto &entry) {
            return !m_continuity.onlyOrigin(entry.first, storeNow());
        });
        if (isMixed || !m_clock.isSet()) {
            co_await readOrigins();
        }
        co_return isComplete;
    }

    task<> readOrigins()
    {
        std::vector<table_row> rows;
        for (table_range range{.table = originTable};;) {
            const time_point sentAt = currentTime();
            const table_page page = co_await m_ports.store.read(range);
            m_clock.observe(page.storeTime, sentAt, currentTime());
            rows.insert(rows.end(), page.rows.begin(), page.rows.end());
            if (!page.more || page.rows.empty()) {
                break;
            }
            range.from = page.rows.back().name.key + '\0';
        }
        applyOrigins(rows);
    }

    /// Takes over what all nodes have stored. A stream to which two writers give different origins is unknown: the run of one of
    /// their grants has begun it.
    void applyOrigins(const std::vector<table_row> &rows)
    {
        struct stored_origin
        {
            std::string writer;
            std::uint64_t sequence = 0;
            stream_origin origin;
            bool isAmbiguous = false;
        };
        std::map<stream_key, stored_origin> found;
        std::vector<table_key> outdated;
        const duration now = *storeNow();
        for (const table_row &row : rows) {
            const std::optional<origin_row> stored = decodeOriginRow(row.value);
            if (!stored || now - stored->writtenAt > rowRetention) {
                outdated.push_back(row.name);
                continue;
            }
            const std::string writer = row.name.key.substr(0, row.name.key.rfind('/'));
            for (const auto &[stream, origin] : stored->streams) {
                stored_origin &known = found[stream];
                const bool isFirst = known.writer.empty();
                if (!isFirst && known.origin != origin && known.writer != writer) {
                    known.isAmbiguous = true;
                } else if (isFirst || (known.writer == writer && known.sequence <= stored->sequence)) {
                    known = {.writer = writer, .sequence = stored->sequence, .origin = origin, .isAmbiguous = known.isAmbiguous};
                }
            }
        }
        m_stored.clear();
        for (const auto &[stream, known] : found) {
            if (!known.isAmbiguous) {
                m_stored.emplace(stream, known.origin);
            }
        }
        removeRows(std::move(outdated));
    }

    void removeRows(std::vector<table_key> rows)
    {
        if (!rows.empty()) {
            rows.resize(std::min(rows.size(), maximumRemovals));
            asio::co_spawn(m_ports.context, remove(shared_from_this(), std::move(rows)), asio::detached);
        }
    }

    static task<> remove(std::shared_ptr<implementation> self, std::vector<table_key> rows)
    {
        table_transaction change;
        change.removals = std::move(rows);
        try {
            co_await self->m_ports.store.commit(std::move(change));
        } catch (const platform_unavailable &) {
            co_return; // The next reading finds the rows again.
        } catch (const platform_outcome_unknown &) {
            co_return;
        }
    }

    task<> sleep(duration time)
    {
        asio::steady_timer timer(m_ports.context, time);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    stream_versions_ports m_ports;
    stream_continuity m_continuity;
    store_clock m_clock;
    std::map<std::string, row_version> m_rowVersions; ///< Of the recorded versions, by service.
    std::map<stream_key, stream_origin> m_stored; ///< What the last reading has found. Not valid for streams that begin later.
    origin_row m_row; ///< The row to which this node adds streams.
    duration m_rowBegunAt{};
    async_event m_changed; ///< Notified when something was learned of a stream, and when a waiting request's time is up.
    std::map<stream_key, std::size_t> m_searched; ///< Streams that are looked up, and by how many requests.
    std::map<service_name, std::size_t> m_searchedServices; ///< The same of their services.
    std::vector<stream_key> m_toAsk; ///< For the next query to the other nodes.
    std::shared_ptr<table_follower> m_follower; ///< Of the recorded versions.
    std::uint64_t m_readingsBegun = 0; ///< Number of readings of the store; one at a time.
    std::uint64_t m_readingsEnded = 0;
    std::uint64_t m_lastSuccess = 0; ///< The last reading that was successful.
    bool m_reading = false; ///< Whether one is in progress, or the pause after it.
    bool m_flushing = false;
    bool m_recording = false;
};

stream_versions::stream_versions(const stream_versions_ports &ports)
    : m_implementation(std::make_shared<implementation>(ports))
{
}

stream_versions::~stream_versions() = default;

void stream_versions::start()
{
    m_implementation->start();
}

void stream_versions::setUpstreams(std::span<const replica> upstreams)
{
    m_implementation->continuity().versions().setUpstreams(upstreams, m_implementation->storeNow());
}

bool stream_versions::bind(slot_request &run) const
{
    return m_implementation->continuity().bind(run);
}

void stream_versions::recordGrant(const slot_request &run, const std::string &version)
{
    m_implementation->continuity().recordGrant(run, version, m_implementation->storeNow(), currentTime());
    m_implementation->flushSoon();
}

void stream_versions::recordBegun(stream_key stream, const stream_origin &origin)
{
    m_implementation->continuity().recordBegun(stream, origin, m_implementation->storeNow(), currentTime());
    m_implementation->flushSoon();
}

void stream_versions::recordOrigin(stream_key stream, const stream_origin &origin)
{
    m_implementation->continuity().recordOrigin(stream, origin, currentTime());
}

std::optional<stream_origin> stream_versions::originOf(stream_key stream) const
{
    return m_implementation->continuity().originOf(stream);
}

task<std::optional<stream_origin>> stream_versions::lookUp(stream_key stream, service_name service)
{
    return m_implementation->lookUp(stream, std::move(service));
}

void stream_versions::received(const origin_query &query)
{
    m_implementation->received(query);
}

void stream_versions::received(const origin_row &origins)
{
    m_implementation->received(origins);
}

void stream_versions::housekeep()
{
    m_implementation->housekeep();
}

} // namespace banyan
