#include "banyan/io/serving/serving_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <serving.capnp.h>

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

/// Limits the unpacked size, since packed input can expand into long runs of zeros. No valid message or row is larger.
constexpr std::uint64_t maximumUnpackedWords = std::uint64_t(2) << 20;
constexpr int maximumNesting = 8;
/// Relative times in messages are clamped to this, so that adding them to the current time cannot overflow.
constexpr duration longestSpan = std::chrono::hours(24);

/// Timestamps in rows are clamped to this time from the epoch of their clock.
constexpr duration latestTimestamp = std::chrono::hours(24) * 366 * 1000;

constexpr float highestRate = 1e6; // Requests per second; the adapter names no higher limit.

duration spanOf(std::int64_t microseconds)
{
    return std::clamp(duration(microseconds), -longestSpan, longestSpan);
}

duration timestampOf(std::int64_t microseconds)
{
    return std::clamp(duration(microseconds), -latestTimestamp, latestTimestamp);
}

std::string pack(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

/// Unpacks a message and returns what @p read makes of its root, or nullopt if the message is malformed.
template<typename Root, typename Read>
auto unpack(std::string_view bytes, Read &&read) -> std::optional<decltype(read(std::declval<typename Root::Reader>()))>
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader message(in, {.traversalLimitInWords = maximumUnpackedWords, .nestingLimit = maximumNesting});
        return read(message.getRoot<Root>());
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

std::string textOf(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

std::string bytesOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

capnp::Data::Reader dataOf(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

} // namespace

namespace {

void write(schema::NodeLoad::Builder root, const node_load &load, time_point)
{
    root.setSender(load.sender.text());
    root.setSequence(load.sequence);
    root.setPlacing(static_cast<std::uint8_t>(load.schedulingState));
    auto usage = root.initUsage(static_cast<unsigned>(load.usage.size()));
    unsigned index = 0;
    for (const auto &[key, value] : load.usage) {
        auto entry = usage[index++];
        entry.setKey(key);
        entry.setOnline(static_cast<std::uint16_t>(value.online));
        entry.setBatch(static_cast<std::uint16_t>(value.batch));
        entry.setTroubled(value.degraded);
        entry.setRemaining(value.remainingWork);
    }
    auto waiting = root.initWaitingOnline(static_cast<unsigned>(load.waitingOnline.size()));
    index = 0;
    for (const auto &[service, count] : load.waitingOnline) {
        auto entry = waiting[index++];
        entry.setService(service);
        entry.setWaiting(count);
    }
    auto lost = root.initLost(static_cast<unsigned>(load.lost.size()));
    for (unsigned position = 0; position < load.lost.size(); ++position) {
        lost[position].setFingerprint(load.lost[position].fingerprint);
        lost[position].setUpstream(load.lost[position].upstream);
    }
    auto lostParts = root.initLostParts(static_cast<unsigned>(load.lostParts.size()));
    for (unsigned position = 0; position < load.lostParts.size(); ++position) {
        lostParts[position].setPart(load.lostParts[position].part);
        lostParts[position].setContent(load.lostParts[position].content);
        lostParts[position].setUpstream(load.lostParts[position].upstream);
    }
    auto provenParts = root.initProvenParts(static_cast<unsigned>(load.provenParts.size()));
    for (unsigned position = 0; position < load.provenParts.size(); ++position) {
        provenParts.set(position, load.provenParts[position]);
    }
    auto leaving = root.initLeaving(static_cast<unsigned>(load.leaving.size()));
    for (unsigned position = 0; position < load.leaving.size(); ++position) {
        leaving.set(position, load.leaving[position]);
    }
    auto limits = root.initLimits(static_cast<unsigned>(load.limits.size()));
    for (unsigned position = 0; position < load.limits.size(); ++position) {
        limits[position].setUpstream(load.limits[position].start);
        limits[position].setPerSecond(static_cast<float>(load.limits[position].perSecond));
        limits[position].setEnded(load.limits[position].ended);
        limits[position].setAge(load.limits[position].age.count());
    }
    auto leases = root.initLeases(static_cast<unsigned>(load.leases.size()));
    for (unsigned position = 0; position < load.leases.size(); ++position) {
        leases[position].setCell(load.leases[position].cell);
        leases[position].setHolder(load.leases[position].holder);
    }
    root.setPoolLeaseTime(static_cast<std::uint32_t>(load.pools.leaseTime.count()));
    auto poolLeases = root.initPoolLeases(static_cast<unsigned>(load.pools.leases.size()));
    for (unsigned position = 0; position < load.pools.leases.size(); ++position) {
        poolLeases[position].setHolder(load.pools.leases[position].holder);
        poolLeases[position].setHeard(load.pools.leases[position].heard);
        poolLeases[position].setPool(load.pools.leases[position].pool);
    }
    auto poolShares = root.initPoolShares(static_cast<unsigned>(load.pools.shares.size()));
    for (unsigned position = 0; position < load.pools.shares.size(); ++position) {
        poolShares[position].setPool(load.pools.shares[position].pool);
        poolShares[position].setShare(load.pools.shares[position].share);
    }
    auto unreachable = root.initUnreachable(static_cast<unsigned>(load.unreachable.size()));
    for (unsigned position = 0; position < load.unreachable.size(); ++position) {
        unreachable.set(position, load.unreachable[position]);
    }
    root.setReachesNone(load.reachesNone);
    root.setForwards(load.forwards);
    auto claims = root.initClaims(static_cast<unsigned>(load.claims.size()));
    for (unsigned position = 0; position < load.claims.size(); ++position) {
        claims.set(position, load.claims[position]);
    }
}

void write(schema::SlotClaim::Builder root, const slot_claim &claim, time_point now)
{
    const slot_request &request = claim.request;
    root.setSender(claim.sender.text());
    root.setRequest(request.id.text());
    root.setService(request.service.text());
    root.setBatch(request.workClass == work_class::Batch);
    root.setPriority(request.priority);
    root.setSinceArrival((now - request.arrivedAt).count());
    root.setUntilTarget((request.target - now).count());
    root.setUntilDeadline((request.deadline - now).count());
    root.setCellIndex(request.cell.index);
    root.setCellCount(request.cell.count);
    root.setBegun(request.sentBefore);
    root.setRepeatable(request.repeatable);
    root.setPrefixHash(request.prefixHash);
    root.setDomain(request.domain.text());
    root.setRanBefore(request.earlierRunTime.count());
    root.setStream(request.stream);
    root.setContinues(request.continues);
    root.setVersion(request.version);
    root.setCaller(request.caller);
    root.setPromptTokens(request.size.promptTokens);
    root.setOutputTokens(request.size.maximumOutputTokens);
    root.setOrigin(request.origin);
    root.setFailures(request.earlierFailures);
    auto excluded = root.initExcluded(static_cast<unsigned>(request.excluded.size()));
    for (unsigned index = 0; index < request.excluded.size(); ++index) {
        excluded.set(index, request.excluded[index].text().c_str());
    }
}

void write(schema::SlotVerdict::Builder root, const slot_verdict &verdict, time_point)
{
    root.setRequest(verdict.request.text());
    root.setState(static_cast<std::uint8_t>(verdict.state));
    root.setUpstream(verdict.upstream.text());
    root.setReason(static_cast<std::uint8_t>(verdict.reason));
    root.setRetryAfter(verdict.retryAfter.count());
    root.setVersion(verdict.version);
}

void write(schema::SlotRelease::Builder root, const slot_release &release, time_point)
{
    root.setSender(release.sender.text());
    root.setRequest(release.request.text());
    root.setOutcome(static_cast<std::uint8_t>(release.outcome));
}

void write(schema::SlotProgress::Builder root, const slot_progress &progress, time_point)
{
    root.setSender(progress.sender.text());
    root.setRequest(progress.request.text());
    root.setFirstByte(progress.firstByte.count());
    root.setBegunStream(progress.hasBegunStream);
}

node_load read(schema::NodeLoad::Reader root)
{
    node_load load{.sender = node_id(textOf(root.getSender())),
                   .sequence = root.getSequence(),
                   .usage = {},
                   .schedulingState = static_cast<scheduling_state>(
                       std::min(root.getPlacing(), static_cast<std::uint8_t>(scheduling_state::ShuttingDown))),
                   .waitingOnline = {},
                   .lost = {},
                   .leaving = {},
                   .lostParts = {},
                   .provenParts = {},
                   .limits = {},
                   .leases = {},
                   .pools = {.leaseTime = duration(root.getPoolLeaseTime()), .leases = {}, .shares = {}},
                   .unreachable = {},
                   .reachesNone = root.getReachesNone(),
                   .forwards = root.getForwards(),
                   .claims = {}};
    for (const upstream_key upstream : root.getUnreachable()) {
        load.unreachable.push_back(upstream);
    }
    for (const auto entry : root.getUsage()) {
        load.usage[entry.getKey()] = {
            .online = entry.getOnline(), .batch = entry.getBatch(), .degraded = entry.getTroubled(), .remainingWork = entry.getRemaining()};
    }
    for (const auto entry : root.getWaitingOnline()) {
        load.waitingOnline[entry.getService()] = entry.getWaiting();
    }
    for (const auto entry : root.getLost()) {
        load.lost.push_back({.fingerprint = entry.getFingerprint(), .upstream = entry.getUpstream()});
    }
    for (const auto entry : root.getLostParts()) {
        load.lostParts.push_back({.part = entry.getPart(), .content = entry.getContent(), .upstream = entry.getUpstream()});
    }
    for (const std::uint64_t part : root.getProvenParts()) {
        load.provenParts.push_back(part);
    }
    for (const upstream_key upstream : root.getLeaving()) {
        load.leaving.push_back(upstream);
    }
    for (const auto entry : root.getLimits()) {
        // The negated comparison also leaves out what is not a number.
        if (!(entry.getPerSecond() >= 0 && entry.getPerSecond() <= highestRate)) {
            continue;
        }
        load.limits.push_back({.start = entry.getUpstream(),
                               .ended = entry.getEnded(),
                               .perSecond = entry.getPerSecond(),
                               .age = std::max(duration(0), spanOf(entry.getAge()))});
    }
    for (const auto entry : root.getLeases()) {
        load.leases.push_back({.cell = entry.getCell(), .holder = entry.getHolder()});
    }
    for (const auto entry : root.getPoolLeases()) {
        load.pools.leases.push_back({.pool = entry.getPool(), .heard = entry.getHeard(), .holder = entry.getHolder()});
    }
    for (const auto entry : root.getPoolShares()) {
        load.pools.shares.push_back({.pool = entry.getPool(), .share = entry.getShare()});
    }
    for (const std::uint64_t claim : root.getClaims()) {
        load.claims.push_back(claim);
    }
    return load;
}

slot_claim read(schema::SlotClaim::Reader root, time_point now)
{
    slot_claim claim{.sender = node_id(textOf(root.getSender())),
                     .request = {.id = request_id(textOf(root.getRequest())),
                                 .service = service_name(textOf(root.getService())),
                                 .workClass = root.getBatch() ? work_class::Batch : work_class::Online,
                                 .priority = root.getPriority(),
                                 .arrivedAt = now - spanOf(root.getSinceArrival()),
                                 .target = now + spanOf(root.getUntilTarget()),
                                 .deadline = now + spanOf(root.getUntilDeadline()),
                                 .cell = {.index = root.getCellIndex(), .count = root.getCellCount()},
                                 .repeatable = root.getRepeatable(),
                                 .sentBefore = root.getBegun(),
                                 .prefixHash = root.getPrefixHash(),
                                 .stream = root.getStream(),
                                 .continues = root.getContinues(),
                                 .version = textOf(root.getVersion()),
                                 .excluded = {},
                                 .holder = node_id(textOf(root.getSender())),
                                 .domain = failure_domain(textOf(root.getDomain())),
                                 .earlierRunTime = spanOf(root.getRanBefore()),
                                 .origin = root.getOrigin(),
                                 .earlierFailures = root.getFailures(),
                                 .caller = root.getCaller(),
                                 .size = {.promptTokens = root.getPromptTokens(), .maximumOutputTokens = root.getOutputTokens()}}};
    for (const auto upstream : root.getExcluded()) {
        claim.request.excluded.emplace_back(textOf(upstream));
    }
    return claim;
}

slot_verdict read(schema::SlotVerdict::Reader root)
{
    const auto state = std::min(root.getState(), static_cast<std::uint8_t>(claim_state::Reclaimed));
    const auto reason = std::min(root.getReason(), static_cast<std::uint8_t>(end_reason::VersionGone));
    return {.request = request_id(textOf(root.getRequest())),
            .state = static_cast<claim_state>(state),
            .upstream = upstream_id(textOf(root.getUpstream())),
            .version = textOf(root.getVersion()),
            .reason = static_cast<end_reason>(reason),
            .retryAfter = spanOf(root.getRetryAfter())};
}

slot_release read(schema::SlotRelease::Reader root)
{
    const auto outcome = std::min(root.getOutcome(), static_cast<std::uint8_t>(attempt_outcome::Cancelled));
    return {.sender = node_id(textOf(root.getSender())),
            .request = request_id(textOf(root.getRequest())),
            .outcome = static_cast<attempt_outcome>(outcome)};
}

slot_progress read(schema::SlotProgress::Reader root)
{
    return {.sender = node_id(textOf(root.getSender())),
            .request = request_id(textOf(root.getRequest())),
            .firstByte = spanOf(root.getFirstByte()),
            .hasBegunStream = root.getBegunStream()};
}

void write(schema::CreditAsk::Builder root, const credit_ask &ask, time_point)
{
    root.setSender(ask.sender.text());
    root.setId(ask.id);
    root.setOrganisation(ask.organisation);
    root.setNeeded(ask.needed);
    root.setSpare(ask.spare);
    root.setVersion(ask.version);
}

credit_ask read(schema::CreditAsk::Reader root)
{
    return {.sender = node_id(textOf(root.getSender())),
            .id = root.getId(),
            .organisation = root.getOrganisation(),
            .needed = root.getNeeded(),
            .spare = root.getSpare(),
            .version = root.getVersion()};
}

void write(schema::CreditGrant::Builder root, const credit_grant &grant, time_point)
{
    root.setId(grant.id);
    root.setGranted(grant.granted);
    root.setWait(grant.wait.count());
}

credit_grant read(schema::CreditGrant::Reader root)
{
    return {.id = root.getId(), .granted = root.getGranted(), .wait = spanOf(root.getWait())};
}

void write(schema::OriginQuery::Builder root, const origin_query &query, time_point)
{
    root.setSender(query.sender.text());
    auto streams = root.initStreams(static_cast<unsigned>(query.streams.size()));
    for (unsigned index = 0; index < query.streams.size(); ++index) {
        streams.set(index, query.streams[index]);
    }
}

origin_query read(schema::OriginQuery::Reader root)
{
    origin_query query{.sender = node_id(textOf(root.getSender())), .streams = {}};
    for (const std::uint64_t stream : root.getStreams()) {
        query.streams.push_back(stream);
    }
    return query;
}

void write(schema::OriginRow::Builder root, const origin_row &row, time_point)
{
    std::vector<stream_origin> names;
    std::vector<std::uint16_t> positions;
    for (const auto &[stream, origin] : row.streams) {
        auto known = std::find(names.begin(), names.end(), origin);
        if (known == names.end()) {
            known = names.insert(names.end(), origin);
        }
        positions.push_back(static_cast<std::uint16_t>(known - names.begin()));
    }
    root.setWrittenAt(row.writtenAt.count());
    root.setSequence(row.sequence);
    auto nameList = root.initNames(static_cast<unsigned>(names.size()));
    for (unsigned index = 0; index < names.size(); ++index) {
        nameList[index].setService(names[index].service.text());
        nameList[index].setVersion(names[index].version);
    }
    auto streams = root.initStreams(static_cast<unsigned>(row.streams.size()));
    for (unsigned index = 0; index < row.streams.size(); ++index) {
        streams[index].setStream(row.streams[index].first);
        streams[index].setOrigin(positions[index]);
    }
}

origin_row read(schema::OriginRow::Reader root)
{
    std::vector<stream_origin> names;
    for (const auto name : root.getNames()) {
        names.push_back({.service = service_name(textOf(name.getService())), .version = textOf(name.getVersion())});
    }
    origin_row row{.writtenAt = timestampOf(root.getWrittenAt()), .sequence = root.getSequence(), .streams = {}};
    for (const auto entry : root.getStreams()) {
        if (entry.getOrigin() < names.size()) {
            row.streams.emplace_back(entry.getStream(), names[entry.getOrigin()]);
        }
    }
    return row;
}

} // namespace

std::string encode(const gateway_message &message, time_point now)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::GatewayMessage>();
    if (const auto *const load = std::get_if<node_load>(&message)) {
        write(root.initLoad(), *load, now);
    } else if (const auto *const claim = std::get_if<slot_claim>(&message)) {
        write(root.initClaim(), *claim, now);
    } else if (const auto *const verdict = std::get_if<slot_verdict>(&message)) {
        write(root.initVerdict(), *verdict, now);
    } else if (const auto *const progress = std::get_if<slot_progress>(&message)) {
        write(root.initProgress(), *progress, now);
    } else if (const auto *const query = std::get_if<origin_query>(&message)) {
        write(root.initOriginQuery(), *query, now);
    } else if (const auto *const origins = std::get_if<origin_row>(&message)) {
        write(root.initOrigins(), *origins, now);
    } else if (const auto *const ask = std::get_if<credit_ask>(&message)) {
        write(root.initCreditAsk(), *ask, now);
    } else if (const auto *const grant = std::get_if<credit_grant>(&message)) {
        write(root.initCreditGrant(), *grant, now);
    } else {
        write(root.initRelease(), std::get<slot_release>(message), now);
    }
    return pack(builder);
}

std::optional<gateway_message> decodeGatewayMessage(std::string_view bytes, time_point now)
{
    return unpack<schema::GatewayMessage>(bytes, [&](schema::GatewayMessage::Reader root) -> gateway_message {
        switch (root.which()) {
        case schema::GatewayMessage::LOAD:
            return read(root.getLoad());
        case schema::GatewayMessage::CLAIM:
            return read(root.getClaim(), now);
        case schema::GatewayMessage::VERDICT:
            return read(root.getVerdict());
        case schema::GatewayMessage::RELEASE:
            return read(root.getRelease());
        case schema::GatewayMessage::PROGRESS:
            return read(root.getProgress());
        case schema::GatewayMessage::ORIGIN_QUERY:
            return read(root.getOriginQuery());
        case schema::GatewayMessage::ORIGINS:
            return read(root.getOrigins());
        case schema::GatewayMessage::CREDIT_ASK:
            return read(root.getCreditAsk());
        case schema::GatewayMessage::CREDIT_GRANT:
            return read(root.getCreditGrant());
        }
        throw KJ_EXCEPTION(FAILED, "expected a known kind of message");
    });
}

std::string encode(const gateway_entry &entry)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::GatewayEntry>();
    root.setId(entry.id.text());
    root.setAddress(entry.peerAddress.address);
    root.setPort(entry.peerAddress.port);
    root.setProcessorShare(entry.processorShare);
    root.setAnswersCalls(entry.answersCalls);
    root.setCalledBy(entry.calledBy.text());
    return pack(message);
}

std::optional<gateway_entry> decodeGatewayEntry(std::string_view bytes)
{
    return unpack<schema::GatewayEntry>(bytes, [](schema::GatewayEntry::Reader root) {
        return gateway_entry{.id = node_id(textOf(root.getId())),
                             .peerAddress = {.address = textOf(root.getAddress()), .port = root.getPort()},
                             .processorShare = root.getProcessorShare(),
                             .answersCalls = root.getAnswersCalls(),
                             .calledBy = node_id(textOf(root.getCalledBy()))};
    });
}

std::string encode(const job_entry &entry)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::JobEntry>();
    root.setRoute(entry.route);
    root.setHost(entry.host);
    root.setSubmittedAt(entry.submittedAt.time_since_epoch().count());
    root.setTotal(entry.total);
    root.setOwner(entry.owner.text());
    root.setEnded(entry.ended);
    root.setComplete(entry.complete);
    root.setItemsInObject(entry.itemsInObject);
    root.setTokensLeft(entry.tokensLeft);
    if (!entry.organisation.empty()) {
        root.setOrganisation(entry.organisation.text());
    }
    return pack(message);
}

std::optional<job_entry> decodeJobEntry(const job_id &id, row_version version, std::string_view bytes)
{
    return unpack<schema::JobEntry>(bytes, [&](schema::JobEntry::Reader root) {
        return job_entry{.id = id,
                         .route = textOf(root.getRoute()),
                         .host = textOf(root.getHost()),
                         .organisation = caller_id(textOf(root.getOrganisation())),
                         .submittedAt = time_point(timestampOf(root.getSubmittedAt())),
                         .total = root.getTotal(),
                         .tokensLeft = root.getTokensLeft(),
                         .owner = node_id(textOf(root.getOwner())),
                         .ended = root.getEnded(),
                         .complete = root.getComplete(),
                         .itemsInObject = root.getItemsInObject(),
                         .version = version};
    });
}

std::string encode(const std::vector<job_item> &items)
{
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<schema::JobItems>().initItems(static_cast<unsigned>(items.size()));
    for (unsigned index = 0; index < items.size(); ++index) {
        const job_item &item = items[index];
        list[index].setId(item.id);
        list[index].setPath(item.path);
        list[index].setBody(dataOf(item.body));
        list[index].setTokens(item.tokens);
        auto fields = list[index].initFields(static_cast<unsigned>(item.fields.size()));
        for (unsigned field = 0; field < item.fields.size(); ++field) {
            fields[field].setName(item.fields[field].first);
            fields[field].setValue(item.fields[field].second);
        }
    }
    return pack(message);
}

std::optional<std::vector<job_item>> decodeJobItems(std::string_view bytes)
{
    return unpack<schema::JobItems>(bytes, [](schema::JobItems::Reader root) {
        std::vector<job_item> items;
        for (const auto entry : root.getItems()) {
            job_item item{.id = textOf(entry.getId()),
                          .path = textOf(entry.getPath()),
                          .fields = {},
                          .body = bytesOf(entry.getBody()),
                          .tokens = entry.getTokens()};
            for (const auto field : entry.getFields()) {
                item.fields.emplace_back(textOf(field.getName()), textOf(field.getValue()));
            }
            items.push_back(std::move(item));
        }
        return items;
    });
}

std::string encode(const std::vector<quota_reservation> &reservations)
{
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<schema::QuotaHoldings>().initHoldings(static_cast<unsigned>(reservations.size()));
    for (unsigned index = 0; index < reservations.size(); ++index) {
        list[index].setJob(reservations[index].job.text());
        list[index].setTokens(reservations[index].tokens);
        list[index].setClaim(reservations[index].claim);
        list[index].setHeldSince(reservations[index].reservedAt.count());
    }
    return pack(message);
}

std::optional<std::vector<quota_reservation>> decodeQuotaReservations(std::string_view bytes)
{
    return unpack<schema::QuotaHoldings>(bytes, [](schema::QuotaHoldings::Reader root) {
        std::vector<quota_reservation> reservations;
        for (const auto entry : root.getHoldings()) {
            reservations.push_back({.job = job_id(textOf(entry.getJob())),
                                    .tokens = entry.getTokens(),
                                    .reservedAt = timestampOf(entry.getHeldSince()),
                                    .claim = entry.getClaim()});
        }
        return reservations;
    });
}

std::string encode(const item_checkpoint &checkpoint)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::ItemCheckpoint>();
    root.setItem(checkpoint.item);
    root.setLastEvent(checkpoint.lastEvent);
    root.setOutput(dataOf(checkpoint.output));
    root.setRanBefore(checkpoint.ranBefore.count());
    root.setVersion(checkpoint.origin.version);
    root.setService(checkpoint.origin.service.text());
    return pack(message);
}

std::optional<item_checkpoint> decodeItemCheckpoint(std::string_view bytes)
{
    return unpack<schema::ItemCheckpoint>(bytes, [](schema::ItemCheckpoint::Reader root) {
        return item_checkpoint{.item = textOf(root.getItem()),
                               .lastEvent = root.getLastEvent(),
                               .output = bytesOf(root.getOutput()),
                               .ranBefore = spanOf(root.getRanBefore()),
                               .origin = {.service = service_name(textOf(root.getService())), .version = textOf(root.getVersion())}};
    });
}

std::string encode(const std::vector<served_version> &versions)
{
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<schema::ServiceVersions>().initVersions(static_cast<unsigned>(versions.size()));
    for (unsigned index = 0; index < versions.size(); ++index) {
        list[index].setVersion(versions[index].version);
        list[index].setEnded(versions[index].endedAt.has_value());
        list[index].setEndedAt(versions[index].endedAt.value_or(duration(0)).count());
    }
    return pack(message);
}

std::optional<std::vector<served_version>> decodeServedVersions(std::string_view bytes)
{
    return unpack<schema::ServiceVersions>(bytes, [](schema::ServiceVersions::Reader root) {
        std::vector<served_version> versions;
        for (const auto entry : root.getVersions()) {
            const auto endedAt = entry.getEnded() ? std::optional(timestampOf(entry.getEndedAt())) : std::nullopt;
            versions.push_back({.version = textOf(entry.getVersion()), .endedAt = endedAt});
        }
        return versions;
    });
}

std::string encode(const origin_row &row)
{
    capnp::MallocMessageBuilder message;
    write(message.initRoot<schema::OriginRow>(), row, time_point());
    return pack(message);
}

std::optional<origin_row> decodeOriginRow(std::string_view bytes)
{
    return unpack<schema::OriginRow>(bytes, [](schema::OriginRow::Reader root) {
        return read(root);
    });
}

std::string encode(const listed_result &result)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::ItemResult>();
    root.setItem(result.item);
    root.setSucceeded(result.succeeded);
    root.setOutput(dataOf(result.output));
    return pack(message);
}

std::optional<listed_result> decodeListedResult(std::string_view bytes)
{
    return unpack<schema::ItemResult>(bytes, [](schema::ItemResult::Reader root) {
        return listed_result{.item = textOf(root.getItem()), .succeeded = root.getSucceeded(), .output = bytesOf(root.getOutput())};
    });
}

} // namespace banyan
