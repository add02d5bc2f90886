#include "banyan/io/serving/slot_broker.h"

#include "banyan/core/serving/cell_choice.h"
#include "banyan/core/serving/report_hubs.h"
#include "banyan/core/serving/request_scheduler.h"
#include "banyan/core/serving/run_id.h"
#include "banyan/core/serving/upstream_cell.h"
#include "banyan/io/async_event.h"
#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/serving/stop_signal.h"
#include "banyan/io/serving/stream_versions.h"

#include <boost/asio/steady_timer.hpp>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace banyan {

namespace {

constexpr duration verdictTimeout = std::chrono::milliseconds(30); // Many round trips, and short compared with any latency target.
constexpr duration resendAfter = std::chrono::milliseconds(12); // Shorter than the timeout, since datagrams may be lost.
constexpr duration onlineRenewalInterval = std::chrono::milliseconds(60); // Interval at which the claim of a waiting run is sent again.
constexpr duration batchRenewalInterval = std::chrono::milliseconds(500);
constexpr duration avoidanceTime = std::chrono::seconds(1); // Time for which a node that gave no verdict gets no claims.
constexpr int batchClaims = 4; // Successive claims for a batch run before this node schedules it locally.
constexpr duration releaseGrace = std::chrono::milliseconds(400); // Time for a new grant to appear in its holder's reports.

std::uint64_t hashOf(const request_id &id)
{
    return XXH3_64bits(id.text().data(), id.text().size());
}

/// A claim of this node for a slot from another scheduling node.
struct outgoing_claim
{
    explicit outgoing_claim(asio::io_context &context)
        : changed(context)
    {
    }

    node_id schedulingNode;
    slot_request request;
    upstream_id upstream; ///< Set once the slot is granted.
    std::optional<slot_verdict> verdict; ///< Last verdict received.
    std::uint32_t verdicts = 0; ///< Number of verdicts received.
    async_event changed; ///< Notified by a verdict, a cancellation or a timer.
    std::function<void()> onReclaim;
    bool holdsSlot = false;
    time_point grantedAt;
    bool answerHasBegun = false; ///< Whether the first byte of the answer has arrived.
};

/// A claim of another node that this node schedules.
struct incoming_claim
{
    node_id holder;
    slot_request request; ///< The run, by its id at its holder; see schedulerRequestId().
    std::optional<slot_granted> granted; ///< The granted slot; nullopt while the claim waits.
    time_point since; ///< Time of the claim, or of the grant once the slot is granted.
    bool reclaimed = false; ///< Whether the granted slot has been reclaimed; the verdict is repeated until the run ends.
};

using incoming_claim_key = std::pair<node_id, request_id>;

/// Logs the rejection of a run by this node, with the figures that the decision is based on.
void logRejection(const slot_rejected &rejected, const node_id &holder, const request_id &run)
{
    logEvent(log_level::Info,
             "slot_refused",
             {{"request_id", requestOf(run).text()},
              {"holder", holder.text()},
              {"reason", std::string(toString(rejected.reason))},
              {"waiting", std::to_string(rejected.basis.waiting)},
              {"slots", std::to_string(rejected.basis.slots)},
              {"expected_wait_us", std::to_string(rejected.basis.expectedWait.count())},
              {"first_byte_us", std::to_string(rejected.basis.firstByte.count())},
              {"starts_per_second", std::to_string(rejected.basis.startsPerSecond)},
              {"limited", std::to_string(rejected.basis.limited)},
              {"caller", std::to_string(rejected.basis.caller)},
              {"waiting_of_caller", std::to_string(rejected.basis.waitingOfCaller)},
              {"waiting_callers", std::to_string(rejected.basis.waitingCallers)},
              {"share", std::to_string(1.0 / std::max(1U, rejected.basis.waitingCallers))},
              {"retry_after_us", std::to_string(rejected.retryAfter.count())}});
}

} // namespace

class slot_broker::implementation
{
public:
    implementation(const slot_broker_ports &ports, node_id self, failure_domain domain)
        : m_ports(ports)
        , m_self(std::move(self))
        , m_domain(std::move(domain))
    {
    }

    task<slot_outcome> acquire(slot_request request, stop_signal &stop, std::function<void()> onReclaim);
    task<slot_outcome> acquireLocally(slot_request request, stop_signal &stop, std::function<void()> onReclaim);
    task<std::optional<slot_outcome>>
    claim(slot_request request, node_id schedulingNode, stop_signal &stop, std::function<void()> onReclaim);
    void firstByte(const request_id &request);
    void streamBegun(const request_id &request, stream_key stream, const stream_origin &origin);
    void released(const request_id &request, const attempt_result &result);
    void received(const slot_claim &claim);
    void received(const slot_verdict &verdict);
    void received(const slot_progress &progress);
    void received(const slot_release &release);
    void reported(const node_load &load);
    void handleLostNodes();
    void setSchedulingState(scheduling_state state)
    {
        m_schedulingState = state;
    }
    [[nodiscard]] scheduling_state schedulingState() const
    {
        return m_schedulingState;
    }
    [[nodiscard]] std::vector<std::uint64_t> claims() const;
    [[nodiscard]] node_id schedulingNodeFor(const service_name &service, const upstream_cell &cell)
    {
        return schedulingNodeOf(service, cell, schedulingCandidates(currentTime()));
    }

    [[nodiscard]] scheduler_host &scheduler() const
    {
        return m_ports.scheduler;
    }

private:
    using claim_pointer = std::shared_ptr<outgoing_claim>;

    [[nodiscard]] std::vector<node_id> schedulingCandidates(time_point now);
    [[nodiscard]] upstream_cell cellFor(const slot_request &request);
    [[nodiscard]] std::vector<cell_load> loadsOf(const service_name &service, std::uint32_t count) const;
    task<> waitFor(claim_pointer claim, duration time);
    static std::optional<slot_outcome> outcomeOf(const slot_verdict &verdict);
    [[nodiscard]] request_id schedulerRequestId(const incoming_claim_key &key) const;
    [[nodiscard]] bool bindToVersion(slot_request &request) const;
    void recordGrant(const slot_request &request, const slot_granted &granted) const;
    void decided(const incoming_claim_key &key, const slot_outcome &outcome);
    void sendVerdict(const incoming_claim &claim, slot_verdict verdict);
    void endIncomingClaim(const incoming_claim_key &key, attempt_outcome outcome);
    void adoptOrphanedRuns();

    slot_broker_ports m_ports;
    node_id m_self;
    failure_domain m_domain;
    std::map<request_id, claim_pointer> m_outgoingClaims;
    std::map<incoming_claim_key, incoming_claim> m_incomingClaims;
    std::map<node_id, time_point> m_avoidedUntil;
    scheduling_state m_schedulingState = scheduling_state::Ready;
    std::mt19937_64 m_generator{std::random_device{}()};
};

/// Returns the nodes that may schedule requests, without those that recently gave no verdict; this node if there is none.
std::vector<node_id> slot_broker::implementation::schedulingCandidates(time_point now)
{
    std::erase_if(m_avoidedUntil, [&](const auto &entry) {
        return entry.second <= now;
    });
    std::vector<node_id> nodes = m_ports.board.schedulingNodes(m_self, m_schedulingState);
    std::erase_if(nodes, [&](const node_id &node) {
        return m_avoidedUntil.contains(node) || (m_ports.hubs != nullptr && !m_ports.hubs->isHub(node));
    });
    if (nodes.empty()) {
        nodes.push_back(m_self);
    }
    return nodes;
}

/// Returns the load of each cell of a service, by the load board.
std::vector<cell_load> slot_broker::implementation::loadsOf(const service_name &service, std::uint32_t count) const
{
    std::vector<cell_load> loads;
    for (std::uint32_t index = 0; index < count; ++index) {
        loads.push_back({.cell = {.index = index, .count = count}});
    }
    for (const replica *const upstream : m_ports.scheduler.upstreamsOf(service)) {
        const load_board::total_usage usage = m_ports.board.usageOf(keyOf(upstream->id));
        if (!upstream->draining && usage.degradedNodes == 0) {
            cell_load &load = loads[cellOf(upstream->id, count).index];
            load.slots += upstream->slots;
            load.online += usage.online;
            load.batch += usage.batch;
        }
    }
    return loads;
}

upstream_cell slot_broker::implementation::cellFor(const slot_request &request)
{
    const std::uint32_t count = cellCountFor(m_ports.scheduler.upstreamsOf(request.service).size());
    return count <= 1 ? upstream_cell() : chooseCell(loadsOf(request.service, count), request.workClass, m_generator);
}

task<slot_broker::slot_outcome>
slot_broker::implementation::acquire(slot_request request, stop_signal &stop, std::function<void()> onReclaim)
{
    request.holder = m_self;
    request.domain = m_domain;
    request.cell = cellFor(request);
    const bool isBatch = request.workClass == work_class::Batch;
    for (int claims = isBatch ? batchClaims : 1; claims > 0; --claims) {
        const std::vector<node_id> nodes = schedulingCandidates(currentTime());
        const node_id schedulingNode = schedulingNodeOf(request.service, request.cell, nodes);
        if (schedulingNode == m_self) {
            break;
        }
        const std::optional<slot_outcome> outcome = co_await claim(request, schedulingNode, stop, onReclaim);
        if (outcome) {
            co_return *outcome;
        }
        // Online work cannot wait for further claims. Batch work must: if every node scheduled its batch work locally, with
        // its own counts, the upstreams would be filled many times over.
        const bool claimsAgain = claims > 1;
        logEvent(
            log_level::Info,
            "claim_without_verdict",
            {{"request_id", requestOf(request.id).text()}, {"placer", schedulingNode.text()}, {"next", claimsAgain ? "claim" : "place"}});
        request.cell = claimsAgain ? request.cell : upstream_cell();
    }
    co_return co_await acquireLocally(std::move(request), stop, std::move(onReclaim));
}

/// Binds a run that continues a stream to the version that began it. Returns false if this node does not know the version.
bool slot_broker::implementation::bindToVersion(slot_request &request) const
{
    return m_ports.versions == nullptr || m_ports.versions->bind(request);
}

void slot_broker::implementation::recordGrant(const slot_request &request, const slot_granted &granted) const
{
    if (m_ports.versions != nullptr) {
        m_ports.versions->recordGrant(request, granted.version);
    }
}

/// Gets a slot from this node's own scheduler.
task<slot_broker::slot_outcome>
slot_broker::implementation::acquireLocally(slot_request request, stop_signal &stop, std::function<void()> onReclaim)
{
    if (!bindToVersion(request)) {
        const slot_rejected unknown{.request = request.id, .reason = end_reason::VersionUnknown};
        logRejection(unknown, m_self, request.id);
        co_return unknown;
    }
    const auto decided = std::make_shared<async_event>(m_ports.context);
    const auto outcome = std::make_shared<std::optional<slot_outcome>>();
    const request_id id = request.id;
    auto onDecision = [decided, outcome](const slot_outcome &decision) {
        *outcome = decision;
        decided->notify();
    };
    m_ports.scheduler.submit(request, std::move(onDecision), std::move(onReclaim));
    stop.onStop([this, id, decided, outcome] {
        if (!*outcome) {
            m_ports.scheduler.cancel(id);
            *outcome = std::monostate();
            decided->notify();
        }
    });
    while (!*outcome) {
        co_await decided->wait();
    }
    stop.onStop(nullptr);
    if (const auto *const rejected = std::get_if<slot_rejected>(&**outcome)) {
        logRejection(*rejected, m_self, id);
    } else if (const auto *const granted = std::get_if<slot_granted>(&**outcome)) {
        recordGrant(request, *granted);
    }
    co_return **outcome;
}

std::optional<slot_broker::slot_outcome> slot_broker::implementation::outcomeOf(const slot_verdict &verdict)
{
    switch (verdict.state) {
    case claim_state::Granted:
        return slot_granted{.request = verdict.request, .upstream = verdict.upstream, .version = verdict.version};
    case claim_state::Rejected:
        return slot_rejected{.request = verdict.request, .reason = verdict.reason, .retryAfter = verdict.retryAfter};
    case claim_state::Waiting:
    case claim_state::Reclaimed:
        break;
    }
    return std::nullopt;
}

/// Waits until the claim changes, for at most @p time.
task<> slot_broker::implementation::waitFor(claim_pointer claim, duration time)
{
    asio::steady_timer timer(m_ports.context, time);
    timer.async_wait([claim](const boost::system::error_code &error) {
        if (!error) {
            claim->changed.notify();
        }
    });
    co_await claim->changed.wait();
}

/// Claims a slot from another node. Returns nullopt if that node gives no verdict; the run may then be scheduled elsewhere.
task<std::optional<slot_broker::slot_outcome>>
slot_broker::implementation::claim(slot_request request, node_id schedulingNode, stop_signal &stop, std::function<void()> onReclaim)
{
    const auto claim = std::make_shared<outgoing_claim>(m_ports.context);
    claim->schedulingNode = schedulingNode;
    claim->request = request;
    claim->onReclaim = std::move(onReclaim);
    m_outgoingClaims[request.id] = claim;
    stop.onStop([claim] {
        claim->changed.notify();
    });
    const duration renewalInterval = request.workClass == work_class::Online ? onlineRenewalInterval : batchRenewalInterval;
    const gateway_message message = slot_claim{.sender = m_self, .request = request};
    std::optional<slot_outcome> outcome;
    time_point sentAt = currentTime();
    time_point verdictDue = sentAt + verdictTimeout;
    std::uint32_t verdictsSeen = 0;
    bool reachable = m_ports.send(schedulingNode, message);
    while (reachable && !outcome && !stop.stopped()) {
        const time_point now = currentTime();
        const bool waits = claim->verdicts > verdictsSeen;
        if (claim->verdict) {
            outcome = outcomeOf(*claim->verdict);
        }
        if (outcome) {
            break;
        }
        if (waits) {
            // The claim waits at the scheduling node. Renewing it later also shows whether that node is still alive.
            verdictsSeen = claim->verdicts;
            sentAt = now;
            verdictDue = now + renewalInterval + verdictTimeout;
        } else if (now >= verdictDue) {
            reachable = false;
            break;
        } else if (now >= sentAt + (verdictsSeen > 0 ? renewalInterval : resendAfter)) {
            reachable = m_ports.send(schedulingNode, message);
            sentAt = now;
        }
        const time_point next = std::min(verdictDue, sentAt + (verdictsSeen > 0 ? renewalInterval : resendAfter));
        co_await waitFor(claim, std::max(duration(1000), next - currentTime()));
    }
    stop.onStop(nullptr);
    if (stop.stopped() && !outcome) {
        outcome = std::monostate();
    }
    if (auto *const granted = outcome ? std::get_if<slot_granted>(&*outcome) : nullptr) {
        granted->schedulingNode = schedulingNode;
        claim->holdsSlot = true;
        claim->upstream = granted->upstream;
        claim->grantedAt = currentTime();
        co_return outcome;
    }
    m_outgoingClaims.erase(request.id);
    const bool rejected = outcome && std::holds_alternative<slot_rejected>(*outcome);
    if (!rejected) {
        m_ports.send(schedulingNode, slot_release{.sender = m_self, .request = request.id});
    }
    if (!reachable) {
        m_avoidedUntil[schedulingNode] = currentTime() + avoidanceTime;
    }
    co_return outcome;
}

void slot_broker::implementation::firstByte(const request_id &request)
{
    const auto claim = m_outgoingClaims.find(request);
    if (claim == m_outgoingClaims.end()) {
        m_ports.scheduler.firstByte(request);
    } else if (!std::exchange(claim->second->answerHasBegun, true)) {
        const duration taken = currentTime() - claim->second->grantedAt;
        m_ports.send(claim->second->schedulingNode, slot_progress{.sender = m_self, .request = request, .firstByte = taken});
    }
}

/// Tells the node that granted the slot that its grant has begun the stream. A lost message leaves that node without the origin, and
/// a taker of the stream with a look-up.
void slot_broker::implementation::streamBegun(const request_id &request, stream_key stream, const stream_origin &origin)
{
    const auto claim = m_outgoingClaims.find(request);
    if (claim != m_outgoingClaims.end()) {
        m_ports.send(claim->second->schedulingNode, slot_progress{.sender = m_self, .request = request, .hasBegunStream = true});
    } else if (m_ports.versions != nullptr) {
        m_ports.versions->recordBegun(stream, origin);
    }
}

void slot_broker::implementation::released(const request_id &request, const attempt_result &result)
{
    const auto claim = m_outgoingClaims.extract(request);
    if (claim.empty()) {
        m_ports.scheduler.released(request, result);
        return;
    }
    m_ports.send(claim.mapped()->schedulingNode, slot_release{.sender = m_self, .request = request, .outcome = result.outcome});
}

/// Returns the id of another node's run in this node's scheduler, which is unique over all holders.
request_id slot_broker::implementation::schedulerRequestId(const incoming_claim_key &key) const
{
    return request_id(key.first.text() + "|" + key.second.text());
}

void slot_broker::implementation::received(const slot_claim &claim)
{
    const incoming_claim_key key(claim.sender, claim.request.id);
    const auto existing = m_incomingClaims.find(key);
    if (existing != m_incomingClaims.end()) {
        slot_verdict verdict{.request = claim.request.id};
        if (existing->second.granted) {
            verdict.state = claim_state::Granted;
            verdict.upstream = existing->second.granted->upstream;
            verdict.version = existing->second.granted->version;
        }
        sendVerdict(existing->second, verdict);
        return;
    }
    slot_request request = claim.request;
    if (!bindToVersion(request)) {
        const slot_rejected unknown{.request = request.id, .reason = end_reason::VersionUnknown};
        logRejection(unknown, claim.sender, request.id);
        m_ports.send(claim.sender, slot_verdict{.request = request.id, .state = claim_state::Rejected, .reason = unknown.reason});
        return;
    }
    m_incomingClaims.emplace(key, incoming_claim{.holder = claim.sender, .request = request, .since = currentTime()});
    if (request.workClass == work_class::Batch && request.origin == 0) {
        request.origin = originOfRun(claim.sender, request.id);
    }
    request.id = schedulerRequestId(key);
    auto onDecision = [this, key](const slot_outcome &outcome) {
        decided(key, outcome);
    };
    auto onReclaim = [this, key] {
        const auto entry = m_incomingClaims.find(key);
        if (entry != m_incomingClaims.end()) {
            entry->second.reclaimed = true;
            sendVerdict(entry->second, {.request = key.second, .state = claim_state::Reclaimed});
        }
    };
    m_ports.scheduler.submit(request, std::move(onDecision), std::move(onReclaim));
    const auto entry = m_incomingClaims.find(key);
    if (entry != m_incomingClaims.end() && !entry->second.granted) {
        sendVerdict(entry->second, {.request = key.second, .state = claim_state::Waiting});
    }
}

/// Handles the decision of this node's scheduler on another node's claim.
void slot_broker::implementation::decided(const incoming_claim_key &key, const slot_outcome &outcome)
{
    const auto entry = m_incomingClaims.find(key);
    if (entry == m_incomingClaims.end()) {
        return;
    }
    slot_verdict verdict{.request = key.second};
    if (const auto *const granted = std::get_if<slot_granted>(&outcome)) {
        entry->second.granted = *granted;
        entry->second.since = currentTime();
        recordGrant(entry->second.request, *granted);
        verdict.state = claim_state::Granted;
        verdict.upstream = granted->upstream;
        verdict.version = granted->version;
        sendVerdict(entry->second, verdict);
    } else if (const auto *const rejected = std::get_if<slot_rejected>(&outcome)) {
        logRejection(*rejected, key.first, key.second);
        verdict.state = claim_state::Rejected;
        verdict.reason = rejected->reason;
        verdict.retryAfter = rejected->retryAfter;
        sendVerdict(entry->second, verdict);
        m_incomingClaims.erase(entry);
    }
}

void slot_broker::implementation::sendVerdict(const incoming_claim &claim, slot_verdict verdict)
{
    m_ports.send(claim.holder, verdict);
}

void slot_broker::implementation::received(const slot_verdict &verdict)
{
    const auto entry = m_outgoingClaims.find(verdict.request);
    if (entry == m_outgoingClaims.end()) {
        return; // The claim has ended meanwhile. This node's reports no longer list it, which frees the slot.
    }
    outgoing_claim &claim = *entry->second;
    if (verdict.state == claim_state::Reclaimed) {
        // A reclaim may arrive before the grant, and is repeated while the run continues.
        const auto onReclaim = std::exchange(claim.onReclaim, nullptr);
        if (onReclaim) {
            onReclaim();
        }
        return;
    }
    if (!claim.holdsSlot) {
        claim.verdict = verdict;
        ++claim.verdicts;
        claim.changed.notify();
    }
}

void slot_broker::implementation::received(const slot_release &release)
{
    endIncomingClaim({release.sender, release.request}, release.outcome);
}

void slot_broker::implementation::received(const slot_progress &progress)
{
    const incoming_claim_key key(progress.sender, progress.request);
    const auto claim = m_incomingClaims.find(key);
    if (claim == m_incomingClaims.end()) {
        return;
    }
    const auto &[holder, request, granted, since, reclaimed] = claim->second;
    if (!progress.hasBegunStream) {
        m_ports.scheduler.firstByteAfter(schedulerRequestId(key), progress.firstByte);
    } else if (m_ports.versions != nullptr && granted && request.stream != 0) {
        m_ports.versions->recordBegun(request.stream, {.service = request.service, .version = granted->version});
    }
}

/// Cancels another node's claim if it still waits, or releases its slot.
void slot_broker::implementation::endIncomingClaim(const incoming_claim_key &key, attempt_outcome outcome)
{
    const auto entry = m_incomingClaims.extract(key);
    if (entry.empty()) {
        return;
    }
    const request_id id = schedulerRequestId(key);
    if (!entry.mapped().granted) {
        m_ports.scheduler.cancel(id);
        return;
    }
    m_ports.scheduler.released(id, {.outcome = outcome});
}

void slot_broker::implementation::reported(const node_load &load)
{
    const std::set<std::uint64_t> held(load.claims.begin(), load.claims.end());
    const time_point now = currentTime();
    std::vector<incoming_claim_key> ended;
    for (auto entry = m_incomingClaims.lower_bound({load.sender, request_id()});
         entry != m_incomingClaims.end() && entry->first.first == load.sender;
         ++entry) {
        const bool isHeld = held.contains(hashOf(entry->first.second));
        if (isHeld && entry->second.reclaimed) {
            sendVerdict(entry->second, {.request = entry->first.second, .state = claim_state::Reclaimed});
        } else if (!isHeld && now - entry->second.since > releaseGrace) {
            ended.push_back(entry->first);
        }
    }
    for (const incoming_claim_key &key : ended) {
        endIncomingClaim(key, attempt_outcome::Cancelled);
    }
}

/// Adopts this node's runs whose slots were granted by a node that is now unresponsive. This node then counts them, and the
/// new scheduling node of the cell learns of them from this node's reports.
void slot_broker::implementation::adoptOrphanedRuns()
{
    for (auto entry = m_outgoingClaims.begin(); entry != m_outgoingClaims.end();) {
        const claim_pointer claim = entry->second;
        if (!claim->holdsSlot || !m_ports.board.isUnresponsive(claim->schedulingNode)) {
            ++entry;
            continue;
        }
        logEvent(
            log_level::Info, "slot_adopted", {{"request_id", requestOf(entry->first).text()}, {"placer", claim->schedulingNode.text()}});
        entry = m_outgoingClaims.erase(entry);
        m_ports.scheduler.adopt(claim->request, claim->upstream, claim->answerHasBegun, claim->grantedAt, std::move(claim->onReclaim));
    }
}

void slot_broker::implementation::handleLostNodes()
{
    adoptOrphanedRuns();
    const std::vector<node_id> nodes = m_ports.board.nodes();
    const std::set<node_id> live(nodes.begin(), nodes.end());
    std::vector<incoming_claim_key> ended;
    for (const auto &[key, claim] : m_incomingClaims) {
        if (!live.contains(key.first) && currentTime() - claim.since > releaseGrace) {
            ended.push_back(key);
        }
    }
    for (const incoming_claim_key &key : ended) {
        endIncomingClaim(key, attempt_outcome::Cancelled);
    }
}

std::vector<std::uint64_t> slot_broker::implementation::claims() const
{
    std::vector<std::uint64_t> result;
    for (const auto &[id, claim] : m_outgoingClaims) {
        result.push_back(hashOf(id));
    }
    return result;
}

slot_broker::slot_broker(const slot_broker_ports &ports, node_id self, failure_domain domain)
    : m_implementation(std::make_unique<implementation>(ports, std::move(self), std::move(domain)))
{
}

slot_broker::~slot_broker() = default;

task<slot_broker::slot_outcome> slot_broker::acquire(slot_request request, stop_signal &stop, std::function<void()> onReclaim)
{
    return m_implementation->acquire(std::move(request), stop, std::move(onReclaim));
}

void slot_broker::firstByte(const request_id &request)
{
    m_implementation->firstByte(request);
}

void slot_broker::streamBegun(const request_id &request, stream_key stream, const stream_origin &origin)
{
    m_implementation->streamBegun(request, stream, origin);
}

void slot_broker::released(const request_id &request, const attempt_result &result)
{
    m_implementation->released(request, result);
}

void slot_broker::received(const slot_claim &claim)
{
    m_implementation->received(claim);
}

void slot_broker::received(const slot_verdict &verdict)
{
    m_implementation->received(verdict);
}

void slot_broker::received(const slot_progress &progress)
{
    m_implementation->received(progress);
}

void slot_broker::received(const slot_release &release)
{
    m_implementation->received(release);
}

void slot_broker::reported(const node_load &load)
{
    m_implementation->reported(load);
}

void slot_broker::handleLostNodes()
{
    m_implementation->handleLostNodes();
}

void slot_broker::setSchedulingState(scheduling_state state)
{
    m_implementation->setSchedulingState(state);
}

scheduling_state slot_broker::schedulingState() const
{
    return m_implementation->schedulingState();
}

node_id slot_broker::schedulingNodeFor(const service_name &service, const upstream_cell &cell)
{
    return m_implementation->schedulingNodeFor(service, cell);
}

std::vector<std::uint64_t> slot_broker::claims() const
{
    return m_implementation->claims();
}

scheduler_host &slot_broker::scheduler()
{
    return m_implementation->scheduler();
}

} // namespace banyan
