#include "fault_proxy.h"
#include "gateway_ways.h"
#include "operator_changes.h"
#include "process/eventually.h"
#include "process/gateway_fleet.h"
#include "process/test_connection.h"
#include "promises.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <future>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <thread>

namespace {

using namespace banyan;
using namespace banyan::process_tests;
using namespace banyan::soak;
using namespace std::chrono_literals;

namespace json = boost::json;

constexpr int clientThreads = 6;
constexpr int itemsOfJob = 4;
constexpr std::size_t mostJobs = 500; // Of a run. The replicas need 17 s for as many; clients that are refused at once submit more.
constexpr int streamsOfRelease = 10; // That are taken up at a gateway which has not seen the release.
constexpr std::size_t events = 10; // Of a stream, as the stand-in makes them.
constexpr std::chrono::seconds callPatience(8); // Beyond every deadline that a client names.
constexpr std::chrono::seconds stopSpread(3); // After the store has a stop, for all gateways to know it.
constexpr int mostCrashesAfterStop = 3;
constexpr std::chrono::milliseconds timeToHear(1500); // For every gateway to hear, by an answer or a report, that a replica leaves.
constexpr std::chrono::milliseconds limitWatch(2000); // Half of the time for which the users allow half as much again and five.
constexpr std::chrono::seconds recoveryTime(30); // For accepted jobs to be complete after the last fault.

/// The addresses at which live gateways serve callers.
class live_gateways
{
public:
    void replace(std::size_t slot, const endpoint &address)
    {
        const std::lock_guard lock(m_mutex);
        m_addresses.resize(std::max(m_addresses.size(), slot + 1));
        m_addresses[slot] = address;
    }

    [[nodiscard]] endpoint any(std::mt19937 &generator) const
    {
        const std::lock_guard lock(m_mutex);
        return m_addresses[std::uniform_int_distribution<std::size_t>(0, m_addresses.size() - 1)(generator)];
    }

private:
    mutable std::mutex m_mutex;
    std::vector<endpoint> m_addresses;
};

/// Software versions of the first replicas; later ones have further versions. Each event names the one that made it.
const std::vector<std::string> versions = {"v1", "v1", "v1"};

/// The events of a stream after the first ones, as an upstream of a version makes them for a request.
std::string eventsAfter(std::size_t last, const std::string &id, const std::string &version)
{
    std::string text;
    for (std::size_t number = last + 1; number <= events; ++number) {
        text.append("id: ").append(std::to_string(number)).append("\ndata: ").append(version).append(":").append(id);
        text.append("-").append(std::to_string(number)).append("\n\n");
    }
    return text;
}

/// The version that made the first event in a text; that of an upstream that makes no events if there is none.
std::string versionIn(const std::string &text)
{
    const std::string mark = "data: ";
    const std::size_t begin = text.find(mark);
    return begin == std::string::npos ? versions.front()
                                      : text.substr(begin + mark.size(), text.find(':', begin + mark.size()) - begin - mark.size());
}

/// The versions that the lines of an item's output name.
std::set<std::string> versionsOfLines(const std::string &output)
{
    std::set<std::string> result;
    for (std::size_t begin = 0; begin < output.size(); begin = std::min(output.find('\n', begin), output.size() - 1) + 1) {
        result.insert(output.substr(begin, output.find(':', begin) - begin));
    }
    return result;
}

/// A client that sends requests of all kinds to any gateway, and checks each answer.
class soak_client
{
public:
    soak_client(live_gateways &gateways, promises &told, int number, unsigned seed)
        : m_gateways(gateways)
        , m_told(told)
        , m_generator(seed)
        , m_number(number)
    {
    }

    void run(const std::atomic<bool> &stop)
    {
        while (!stop) {
            const std::string id = "c" + std::to_string(m_number) + "-" + std::to_string(++m_sent);
            switch (std::uniform_int_distribution<int>(0, 4)(m_generator)) {
            case 0:
                whole("/safe/1", id, false);
                break;
            case 1:
                whole("/once/1", id, true);
                break;
            case 2:
                if (m_sent % 3 == 0) {
                    stream(id);
                } else {
                    takenUpStream(id);
                }
                break;
            case 3:
                crashing(id);
                break;
            default:
                if (m_told.jobCount() < mostJobs) {
                    job(id);
                }
            }
        }
    }

    /// Begins a stream at a gateway and breaks its connection. Returns its events so far, empty if it did not get them.
    static std::string beginStream(const std::string &id, const endpoint &gateway)
    {
        std::string begun;
        try {
            test_connection connection(gateway, callPatience);
            connection.send({.method = "POST",
                             .target = "/stream/1",
                             .fields = {{"Request-Id", id}, {"Deadline-Ms", "3000"}, {"Model", "m"}},
                             .body = id});
            if (connection.receiveHead().status != 200) {
                return {};
            }
            while (begun.find("id: " + std::to_string(eventsBefore) + "\n") == std::string::npos) {
                const std::string piece = connection.receivePiece();
                if (piece.empty()) {
                    return {};
                }
                begun += piece;
            }
        } catch (const std::exception &) {
            return {};
        }
        return begun;
    }

    /// Takes a stream up at a gateway, and checks that it goes on at the version that began it.
    void takeUpStream(const std::string &id, const std::string &begun, const endpoint &gateway)
    {
        const std::string second = id + "-again";
        const std::vector<http_field> more = {{"Model", "m"}, {"Last-Event-Id", std::to_string(eventsBefore)}, {"Resumes", id}};
        const http_response answer = sendTo(gateway, "/stream/1", second, more, id);
        if (answer.status == 200 && !isSound(answer, eventsAfter(eventsBefore, second, versionIn(begun)))) {
            m_told.broken("stream " + id + " of " + versionIn(begun) + " went on as " + answer.body);
        }
        m_told.tookUp(answer.status == 200);
        if (answer.status == 200) {
            m_told.served();
        }
    }

private:
    static constexpr std::size_t eventsBefore = 3; ///< Events of a stream before its connection breaks.

    http_response send(const std::string &path, const std::string &id, const std::vector<http_field> &more, const std::string &body)
    {
        return sendTo(m_gateways.any(m_generator), path, id, more, body);
    }

    /// The answer, or status 0 if there was none.
    static http_response sendTo(const endpoint &gateway,
                                const std::string &path,
                                const std::string &id,
                                const std::vector<http_field> &more,
                                const std::string &body)
    {
        http_request request{.method = "POST", .target = path, .fields = {{"Request-Id", id}, {"Deadline-Ms", "3000"}}, .body = body};
        request.fields.insert(request.fields.end(), more.begin(), more.end());
        try {
            return call(gateway, request, callPatience);
        } catch (const std::exception &) {
            return {.status = 0}; // Gateways are killed and connections reset: no answer promises nothing.
        }
    }

    /// Sends a request under which replicas crash, by its body or by a part of its prompt.
    void crashing(const std::string &id)
    {
        m_told.sentCrashing(id);
        if (m_sent % 2 == 0) {
            (void)send("/safe/1", id, {}, "crashes replicas");
        } else {
            (void)send("/stream/1", id, {{"Model", "m"}, {"Prompt-Prefix", "shared:9,dead:9,own:9"}}, id);
        }
    }

    /// Whether an answer may be what it is to be. One without a frame may have been cut.
    static bool isSound(const http_response &answer, const std::string &expected)
    {
        const bool isWhole = provesEnd(framingOf(answer.status, answer.fields));
        return isWhole ? answer.body == expected : expected.starts_with(answer.body);
    }

    void whole(const std::string &path, const std::string &id, bool once)
    {
        const http_response answer = send(path, id, {}, "q");
        if (once) {
            m_told.sentOnce(id, answer.status == 503 || answer.status == 429);
        }
        if (answer.status == 200 && !isSound(answer, "answer to " + id)) {
            m_told.broken("request " + id + " got another answer: " + answer.body);
        }
        if (answer.status == 200) {
            m_told.served();
        }
        if (answer.status == 404) {
            m_told.broken("request " + id + " was answered 404 although its route exists");
        }
    }

    void stream(const std::string &id)
    {
        const http_response answer = send("/stream/1", id, {{"Model", "m"}, {"Prompt-Prefix", "shared:9,sound:9,own:9"}}, id);
        const bool endsInEvent = !answer.body.empty() && !answer.body.ends_with("\n\n");
        if (answer.status == 200 && (endsInEvent || !isSound(answer, eventsAfter(0, id, versionIn(answer.body))))) {
            m_told.broken("stream " + id + " ended as complete and is not whole");
        }
        if (answer.status == 200) {
            m_told.served();
        }
    }

    /// A stream whose connection breaks after some events, and that goes on at any gateway.
    void takenUpStream(const std::string &id)
    {
        const std::string begun = beginStream(id, m_gateways.any(m_generator));
        if (!begun.empty()) {
            takeUpStream(id, begun, m_gateways.any(m_generator));
        }
    }

    void job(const std::string &id)
    {
        json::array items;
        for (int number = 0; number < itemsOfJob; ++number) {
            items.push_back(json::object{{"id", id + "-" + std::to_string(number)},
                                         {"path", "/jobs/run"},
                                         {"headers", json::object{{"Model", "m"}}},
                                         {"body", "cQ=="},
                                         {"tokens", 10}});
        }
        const http_response answer = send("/jobs/" + id, id, {}, json::serialize(json::object{{"items", items}}));
        if (answer.status == 202) {
            m_told.accepted(id);
            m_told.served();
        }
    }

    live_gateways &m_gateways;
    promises &m_told;
    std::mt19937 m_generator;
    int m_number;
    int m_sent = 0;
};

/// Clients that send requests until the object's end, also when that is an exception's.
class client_threads
{
public:
    client_threads(live_gateways &gateways, promises &told, unsigned seed)
    {
        for (int number = 0; number < clientThreads; ++number) {
            m_threads.emplace_back([this, &gateways, &told, number, seed] {
                soak_client(gateways, told, number, seed * 100 + static_cast<unsigned>(number)).run(m_stop);
            });
        }
    }

    ~client_threads()
    {
        m_stop = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    client_threads(const client_threads &) = delete;
    client_threads &operator=(const client_threads &) = delete;

private:
    std::atomic<bool> m_stop = false;
    std::vector<std::thread> m_threads;
};

/// The system under test, and the faults.
class soak_run
{
public:
    /// With the path of another build's gateway, a run begins with it and replaces the gateways one by one, back, and once more.
    soak_run(unsigned seed, std::string otherGateway)
        : m_generator(seed)
        , m_otherGateway(std::move(otherGateway))
        , m_startsOther(!m_otherGateway.empty())
        , m_fleet({.gateways = gatewayCount,
                   .replicas = 3,
                   .replicaArguments = {},
                   .versions = versions,
                   .route =
                       [this](const endpoint &target) {
                           m_proxies.push_back(std::make_unique<fault_proxy>(target));
                           return m_ways.add(m_proxies.back()->address());
                       },
                   .storeRoute =
                       [this](std::size_t gateway, const endpoint &target) {
                           return m_ways.store(gateway, target);
                       },
                   .program =
                       [this] {
                           return m_startsOther ? m_otherGateway : "banyan-gateway";
                       }})
    {
        for (std::size_t slot = 0; slot < gatewayCount; ++slot) {
            m_slots.push_back(slot);
            m_gateways.replace(slot, m_fleet.callers(slot));
        }
    }

    /// Returns whether all promises were kept.
    bool run(unsigned seed, std::chrono::seconds time)
    {
        std::optional<operator_changes> changes; // Until the end, since jobs may need its replica.
        {
            const client_threads clients(m_gateways, m_told, seed);
            const auto end = std::chrono::steady_clock::now() + time;
            auto nextReplacement = end - 3 * time / 4;
            releaseFirst();
            // With random numbers of its own, so that the faults of a seed stay the same.
            changes.emplace(
                m_fleet,
                [this](const endpoint &target) {
                    return m_ways.add(target);
                },
                ~seed);
            while (std::chrono::steady_clock::now() < end) {
                if (!m_otherGateway.empty() && std::chrono::steady_clock::now() >= nextReplacement) {
                    nextReplacement += time / 4;
                    replaceBuild();
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(pick(50, 600)));
                fault();
                noteStop();
            }
            if (m_startsOther) {
                replaceBuild(); // Jobs of the other build's gateways are left to its own faults.
            }
            calm();
            changes->end();
        }
        check();
        std::printf("seed=%u served=%zu resumed=%zu not_resumed=%zu jobs=%zu broken=%zu\n",
                    seed,
                    m_told.servedCount(),
                    m_told.resumedCount(),
                    m_told.notResumedCount(),
                    m_told.jobs().size(),
                    m_told.brokenOnes().size());
        return m_told.brokenOnes().empty();
    }

private:
    static constexpr std::size_t gatewayCount = 3;

    int pick(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_generator);
    }

    child_process &gatewayAt(std::size_t slot)
    {
        return m_fleet.gatewayProcess(m_slots[slot]);
    }

    void note(const std::string &text)
    {
        std::printf("fault=%s\n", text.c_str());
    }

    void fault()
    {
        const auto slot = static_cast<std::size_t>(pick(0, static_cast<int>(gatewayCount) - 1));
        const auto proxy = static_cast<std::size_t>(pick(0, static_cast<int>(m_proxies.size()) - 1));
        switch (pick(0, 13)) {
        case 0:
            note("kill gateway " + std::to_string(slot));
            gatewayAt(slot).signal(SIGKILL);
            restart(slot);
            break;
        case 1:
            note("stop gateway " + std::to_string(slot));
            gatewayAt(slot).signal(SIGTERM);
            restart(slot);
            break;
        case 2:
            note("pause gateway " + std::to_string(slot));
            gatewayAt(slot).signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::milliseconds(pick(100, 2500)));
            gatewayAt(slot).signal(SIGCONT);
            break;
        case 3:
            m_fleet.setStoreFaults({{"mode", pick(0, 1) == 0 ? "busy" : "reset"}, {"lose_answers", pick(0, 3)}});
            note("store answers with faults");
            std::this_thread::sleep_for(std::chrono::milliseconds(pick(100, 2000)));
            m_fleet.setStoreFaults({{"mode", "up"}});
            break;
        case 4:
            m_fleet.setStoreFaults({{"lose_answers", pick(1, 6)}});
            note("store loses answers");
            break;
        case 5:
            m_leavesFramesOut = !m_leavesFramesOut;
            note(std::string("an upstream ") + (m_leavesFramesOut ? "leaves frames out" : "loses answers"));
            replicaMode(anyReplica(), m_leavesFramesOut ? "unframed" : "reset");
            break;
        case 6:
            leave(anyReplica());
            break;
        case 7:
            limitRate(anyReplica(), slot);
            break;
        case 8:
        case 9:
            release(slot);
            break;
        case 10:
        case 11:
            loseWays(slot);
            break;
        case 12:
            repeatAnswers(*m_proxies[static_cast<std::size_t>(pick(1, static_cast<int>(m_proxies.size()) - 1))]);
            break;
        default:
            spoil(*m_proxies[proxy]);
        }
    }

    /// The release after which more than one version counts for the rest of the run.
    void releaseFirst()
    {
        const bool isRecorded = eventually([this] {
            return m_fleet.rowsOf("service_versions") == 1;
        });
        if (!isRecorded) {
            m_told.broken("the version of the first replicas was not recorded");
        }
        std::this_thread::sleep_for(300ms); // For all gateways to read it.
        release(static_cast<std::size_t>(pick(0, static_cast<int>(gatewayCount) - 1)));
    }

    /// A replica of a new software version joins while one gateway is out of step, and the oldest one leaves.
    void release(std::size_t slot)
    {
        const int way = pick(0, 2);
        const std::string version = "v" + std::to_string(++m_lastVersion);
        note("release of " + version + ", gateway " + std::to_string(slot) + " out of step, way " + std::to_string(way));
        const std::size_t outOfStep = m_slots[slot];
        if (way == 0) {
            gatewayAt(slot).signal(SIGSTOP);
        } else {
            m_ways.setStoreMode(outOfStep, proxy_mode::Silent);
        }
        m_replicas.push_back(m_fleet.startReplica(version));
        m_fleet.registerReplica(m_replicas.back());
        std::this_thread::sleep_for(std::chrono::milliseconds(pick(300, 1500)));
        std::vector<std::future<std::string>> begun = beginStreams((slot + 1) % gatewayCount, version);
        for (const std::future<std::string> &stream : begun) {
            stream.wait();
        }
        if (way == 1) { // Cut off: it does not hear the others either.
            signalOthers(slot, SIGSTOP);
        } else if (way == 0) {
            gatewayAt(slot).signal(SIGCONT);
        }
        takeUpStreams(slot, version, std::move(begun));
        signalOthers(slot, SIGCONT);
        m_fleet.unregisterReplica(m_replicas.front()); // It serves on for a while.
        m_replicas.erase(m_replicas.begin());
        gatewayAt(slot).signal(SIGCONT);
        m_ways.setStoreMode(outOfStep, proxy_mode::Pass);
    }

    /// Begins streams at one gateway.
    std::vector<std::future<std::string>> beginStreams(std::size_t slot, const std::string &release)
    {
        std::vector<std::future<std::string>> begun;
        begun.reserve(streamsOfRelease);
        for (int number = 0; number < streamsOfRelease; ++number) {
            begun.push_back(std::async(std::launch::async, [gateway = m_fleet.callers(m_slots[slot]), id = idOfStream(release, number)] {
                return soak_client::beginStream(id, gateway);
            }));
        }
        return begun;
    }

    /// Takes streams up at one gateway, all at a time.
    void takeUpStreams(std::size_t slot, const std::string &release, std::vector<std::future<std::string>> begun)
    {
        std::vector<std::future<void>> takers;
        for (int number = 0; number < streamsOfRelease; ++number) {
            const std::string text = begun[static_cast<std::size_t>(number)].get();
            if (!text.empty()) {
                takers.push_back(std::async(std::launch::async,
                                            [this, gateway = m_fleet.callers(m_slots[slot]), id = idOfStream(release, number), text] {
                                                soak_client(m_gateways, m_told, clientThreads, 0).takeUpStream(id, text, gateway);
                                            }));
            }
        }
    }

    static std::string idOfStream(const std::string &release, int number)
    {
        return "release-" + release + "-" + std::to_string(number);
    }

    void signalOthers(std::size_t slot, int number)
    {
        for (std::size_t other = 0; other < gatewayCount; ++other) {
            if (other != slot) {
                gatewayAt(other).signal(number);
            }
        }
    }

    /// A replica that is registered.
    std::size_t anyReplica()
    {
        return m_replicas[static_cast<std::size_t>(pick(0, static_cast<int>(m_replicas.size()) - 1))];
    }

    /// A replica leaves, says so in its answers only, and comes back as a new start.
    void leave(std::size_t index)
    {
        note("replica " + std::to_string(index) + " leaves");
        m_fleet.setReplicaMode(index, "leaving");
        std::this_thread::sleep_for(timeToHear);
        const std::size_t before = runsAt(index);
        std::this_thread::sleep_for(std::chrono::milliseconds(pick(100, 800)));
        const std::size_t after = runsAt(index);
        if (after > before + clientThreads) {
            m_told.broken("a replica that had long said that it leaves got " + std::to_string(after - before) + " more requests");
        }
        m_fleet.setReplicaMode(index, "up");
        m_fleet.registerReplica(index, "ready", ++m_starts);
    }

    /// A replica names a rate limit in its answers, changes it, and is in need no more. A gateway may be killed meanwhile.
    void limitRate(std::size_t index, std::size_t slot)
    {
        const double limit = pick(0, 5) * 0.5;
        note("replica " + std::to_string(index) + " takes " + std::to_string(limit) + " requests a second");
        m_fleet.setReplicaLimit(index, std::to_string(pick(1, 9)));
        std::this_thread::sleep_for(std::chrono::milliseconds(pick(100, 500)));
        m_fleet.setReplicaLimit(index, std::to_string(limit));
        std::this_thread::sleep_for(timeToHear);
        const std::size_t before = m_fleet.arrivalsAt(index).size();
        if (pick(0, 1) == 0) {
            gatewayAt(slot).signal(SIGKILL);
            restart(slot);
        }
        std::this_thread::sleep_for(limitWatch);
        const std::size_t arrived = m_fleet.arrivalsAt(index).size() - before;
        if (static_cast<double>(arrived) > 1.5 * limit * 4 + 5) {
            m_told.broken("a replica that takes " + std::to_string(limit) + " requests a second got " + std::to_string(arrived));
        }
        m_fleet.setReplicaLimit(index, "");
    }

    /// Requests that a replica has begun so far.
    [[nodiscard]] std::size_t runsAt(std::size_t index) const
    {
        return json::parse(call(m_fleet.replica(index), {.target = "/standin/runs"}).body).as_object().size();
    }

    /// Some gateways lose their ways to all replicas. Any gateway may be killed or paused meanwhile.
    void loseWays(std::size_t first)
    {
        const auto count = static_cast<std::size_t>(pick(1, static_cast<int>(gatewayCount)));
        const int manner = pick(0, 2);
        note("gateways " + std::to_string(first) + " and " + std::to_string(count - 1) + " more lose their ways, manner "
             + std::to_string(manner));
        std::vector<std::size_t> lost;
        for (std::size_t number = 0; number < count; ++number) {
            lost.push_back(m_slots[(first + number) % gatewayCount]);
            if (manner == 0) {
                m_ways.resetAndRefuse(lost.back());
            } else {
                m_ways.setMode(lost.back(), manner == 1 ? proxy_mode::Refuse : proxy_mode::Hang);
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(pick(250, 1500)));
        const auto other = static_cast<std::size_t>(pick(0, static_cast<int>(gatewayCount) - 1));
        const int more = pick(0, 2);
        if (more == 1) {
            note("kill gateway " + std::to_string(other));
            gatewayAt(other).signal(SIGKILL);
            restart(other);
        } else if (more == 2) {
            note("pause gateway " + std::to_string(other));
            gatewayAt(other).signal(SIGSTOP);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(pick(250, 1500)));
        for (const std::size_t gateway : lost) {
            m_ways.setMode(gateway, proxy_mode::Pass);
        }
        gatewayAt(other).signal(SIGCONT);
    }

    void repeatAnswers(fault_proxy &proxy)
    {
        note("an upstream repeats its answers");
        proxy.setMode(proxy_mode::Repeat, std::chrono::milliseconds(pick(0, 50)));
        std::this_thread::sleep_for(std::chrono::milliseconds(pick(300, 2000)));
        proxy.setMode(proxy_mode::Pass);
    }

    void spoil(fault_proxy &proxy)
    {
        const auto mode = static_cast<proxy_mode>(pick(1, 4));
        note("connections, mode " + std::to_string(static_cast<int>(mode)));
        proxy.setMode(mode, mode == proxy_mode::Delay ? std::chrono::milliseconds(pick(1, 100)) : 0ms);
        std::this_thread::sleep_for(std::chrono::milliseconds(pick(100, 1500)));
        proxy.setMode(proxy_mode::Pass);
    }

    void replicaMode(std::size_t index, const std::string &mode)
    {
        const json::object faults = {{"mode", mode}};
        (void)call(m_fleet.replica(index), {.method = "POST", .target = "/standin/faults", .body = json::serialize(faults)});
        if (mode != "up") {
            std::this_thread::sleep_for(std::chrono::milliseconds(pick(50, 800)));
            replicaMode(index, "up");
        }
    }

    /// Replaces all gateways by those of the other build, one after the other, with faults between.
    void replaceBuild()
    {
        m_startsOther = !m_startsOther;
        for (std::size_t slot = 0; slot < gatewayCount; ++slot) {
            note("gateway " + std::to_string(slot) + " is replaced by " + (m_startsOther ? "the other" : "this") + " build");
            gatewayAt(slot).signal(SIGTERM);
            restart(slot);
            fault();
        }
    }

    /// Starts another gateway in place of one; the old one goes on until its process has ended.
    void restart(std::size_t slot)
    {
        m_fleet.startGateway();
        m_slots[slot] = m_lastGateway++;
        m_gateways.replace(slot, m_fleet.callers(m_slots[slot]));
    }

    void calm()
    {
        m_fleet.setStoreFaults({{"mode", "up"}, {"lose_answers", 0}});
        for (const auto &proxy : m_proxies) {
            proxy->setMode(proxy_mode::Pass);
        }
        for (std::size_t slot = 0; slot < gatewayCount; ++slot) {
            m_fleet.waitUntilReady(m_slots[slot]);
        }
    }

    /// Notes when the stops of the content and of the prompt part that crash replicas were first seen in the store.
    void noteStop()
    {
        if (!m_stoppedAt && m_fleet.rowsOf("stopped_contents") > 1) {
            m_stoppedAt = std::chrono::steady_clock::now();
            note("stops of the crashing content and part are stored");
        }
    }

    void checkCrashing()
    {
        int runs = 0;
        for (const std::string &id : m_told.crashingSince(m_stoppedAt.value_or(std::chrono::steady_clock::now()) + stopSpread)) {
            runs += m_fleet.runsOf(id);
        }
        if (runs > mostCrashesAfterStop) {
            m_told.broken("requests that crash replicas ran " + std::to_string(runs) + " times after their stops were stored");
        }
    }

    void check()
    {
        checkCrashing();
        for (const auto &[id, promisedNotRun] : m_told.once()) {
            const int runs = m_fleet.runsOf(id);
            if (runs > 1 || (promisedNotRun && runs > 0)) {
                m_told.broken("request " + id + " ran " + std::to_string(runs) + " times"
                              + (promisedNotRun ? " after a promise of none" : ""));
            }
        }
        const auto recovered = std::chrono::steady_clock::now() + recoveryTime;
        for (const std::string &job : m_told.jobs()) {
            checkJob(job, recovered);
        }
    }

    /// An accepted job lists each item once, whole, the same at every gateway.
    void checkJob(const std::string &job, std::chrono::steady_clock::time_point recovered)
    {
        json::object found;
        const bool complete = eventually(
            [&] {
                found = m_fleet.readJob(m_slots[0], job);
                return found.contains("results") && found.at("results").as_array().size() == itemsOfJob;
            },
            std::max(0ms, std::chrono::duration_cast<std::chrono::milliseconds>(recovered - std::chrono::steady_clock::now())));
        if (!complete) {
            m_told.broken("job " + job + " was accepted and is not complete: " + json::serialize(found));
            return;
        }
        std::set<std::string> items;
        for (const json::value &result : found.at("results").as_array()) {
            items.insert(std::string(result.at("id").as_string()));
            if (result.at("state").as_string() != "succeeded") {
                m_told.broken("job " + job + " lists an error for an item that can be done");
            }
            const std::string output(result.at("output").as_string());
            if (versionsOfLines(output).size() > 1) {
                m_told.broken(std::string("job ").append(job).append(" lists an item with events of several versions: ").append(output));
            }
        }
        if (items.size() != itemsOfJob || m_fleet.readJob(m_slots[1], job) != found) {
            m_told.broken("job " + job + " lists an item twice, or differs between gateways");
        }
    }

    std::mt19937 m_generator;
    std::string m_otherGateway; ///< Path of another build's gateway; empty without one.
    bool m_startsOther; ///< Whether the gateways that are started now are of the other build.
    std::vector<std::unique_ptr<fault_proxy>> m_proxies;
    gateway_ways m_ways; ///< Of each gateway, before the common proxies.
    gateway_fleet m_fleet;
    live_gateways m_gateways;
    promises m_told;
    std::optional<std::chrono::steady_clock::time_point> m_stoppedAt;
    std::vector<std::size_t> m_slots; ///< Of each place the index of its gateway.
    std::size_t m_lastGateway = gatewayCount;
    std::vector<std::size_t> m_replicas{0, 1, 2}; ///< Those that are registered, by the time at which they joined.
    std::size_t m_lastVersion = 1;
    int m_starts = gateway_fleet::firstStart; ///< Of replicas, after the first ones.
    bool m_leavesFramesOut = false; ///< The last fault of an upstream's answers, which alternate.
};

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Runs gateways under random faults and checks what callers were promised.");
        TCLAP::ValueArg<unsigned> seed("", "seed", "Of the first run.", false, 1, "N", line);
        TCLAP::ValueArg<unsigned> runs("", "runs", "Runs, each with the next seed.", false, 1, "N", line);
        TCLAP::ValueArg<unsigned> seconds("", "seconds", "Time of faults in each run.", false, 10, "S", line);
        TCLAP::ValueArg<std::string> other(
            "", "other-gateway", "Absolute path of another build's gateway, which serves beside this one.", false, "", "PATH", line);
        line.parse(argc, argv);
        std::signal(SIGPIPE, SIG_IGN);
        std::setvbuf(stdout, nullptr, _IOLBF, 0); // What was found is seen also if a run is ended from outside.
        bool good = true;
        for (unsigned run = 0; run < runs.getValue(); ++run) {
            soak_run soak(seed.getValue() + run, other.getValue());
            good = soak.run(seed.getValue() + run, std::chrono::seconds(seconds.getValue())) && good;
        }
        return good ? 0 : 1;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "soak failed: %s\n", error.what());
        return 2;
    }
}
