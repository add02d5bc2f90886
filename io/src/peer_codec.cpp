#include "peer_codec.h"

namespace banyan {

namespace {

constexpr std::int64_t noRetryAfter = -1;

} // namespace

void encode(capnp::List<schema::HttpField>::Builder to, const std::vector<http_field> &from)
{
    for (std::size_t index = 0; index < from.size(); ++index) {
        to[index].setName(from[index].name.c_str());
        to[index].setValue(from[index].value.c_str());
    }
}

std::vector<http_field> decode(capnp::List<schema::HttpField>::Reader from)
{
    std::vector<http_field> result;
    for (const auto field : from) {
        result.push_back({.name = toString(field.getName()), .value = toString(field.getValue())});
    }
    return result;
}

cell_id decode(schema::CellId::Reader from)
{
    return {.pool = pool_name(toString(from.getPool())), .domain = failure_domain(toString(from.getDomain())), .shard = from.getShard()};
}

void encode(schema::RunRequest::Builder to, const cell_id &cell, const run_request &from, time_point now)
{
    to.setId(from.dispatch.id.text().c_str());
    to.setCaller(from.dispatch.caller.text().c_str());
    to.setService(from.dispatch.service.text().c_str());
    to.setBatch(from.dispatch.workClass == work_class::Batch);
    to.setRepeatable(from.dispatch.repeatable);
    to.setResumable(from.dispatch.resumable);
    to.setFingerprint(from.dispatch.fingerprint);
    to.setPrefixHash(from.dispatch.prefixHash);
    to.setExpectedTokens(from.dispatch.expectedTokens);
    to.setRemainingMicros((from.dispatch.deadline - now).count());
    auto cellBuilder = to.initCell();
    cellBuilder.setPool(cell.pool.text().c_str());
    cellBuilder.setDomain(cell.domain.text().c_str());
    cellBuilder.setShard(cell.shard);
    to.setMethod(from.message.method.c_str());
    to.setTarget(from.message.target.c_str());
    encode(to.initFields(static_cast<unsigned>(from.message.fields.size())), from.message.fields);
    to.setBody(toData(from.message.body));
    to.setRecordKey(from.recordKey.c_str());
    to.setFencingNumber(from.fencingNumber);
    to.setStartRecorded(from.startRecorded);
    to.setStreamed(from.dispatch.streamed);
}

run_request decode(schema::RunRequest::Reader from, time_point now)
{
    run_request result;
    result.dispatch.id = request_id(toString(from.getId()));
    result.dispatch.caller = caller_id(toString(from.getCaller()));
    result.dispatch.service = service_name(toString(from.getService()));
    result.dispatch.workClass = from.getBatch() ? work_class::Batch : work_class::Online;
    result.dispatch.repeatable = from.getRepeatable();
    result.dispatch.resumable = from.getResumable();
    result.dispatch.streamed = from.getStreamed();
    result.dispatch.fingerprint = from.getFingerprint();
    result.dispatch.prefixHash = from.getPrefixHash();
    result.dispatch.expectedTokens = from.getExpectedTokens();
    result.dispatch.deadline = now + duration(from.getRemainingMicros());
    result.pool = pool_name(toString(from.getCell().getPool()));
    result.message.method = toString(from.getMethod());
    result.message.target = toString(from.getTarget());
    result.message.fields = decode(from.getFields());
    result.message.body = toString(from.getBody());
    result.recordKey = toString(from.getRecordKey());
    result.fencingNumber = from.getFencingNumber();
    result.startRecorded = from.getStartRecorded();
    return result;
}

void encode(schema::RunResult::Builder to, const run_outcome &from)
{
    to.setDisposition(static_cast<std::uint8_t>(from.result.what));
    to.setReason(static_cast<std::uint8_t>(from.result.reason));
    to.setRetryAfterMicros(from.result.retryAfter ? from.result.retryAfter->count() : noRetryAfter);
    auto load = to.initLoad();
    load.setOnlineQueued(from.load.onlineQueued);
    load.setOnlineInFlight(from.load.onlineInFlight);
    load.setBatchQueued(from.load.batchQueued);
    load.setBatchInFlight(from.load.batchInFlight);
    load.setSlots(from.load.slots);
    load.setExpectedWaitMicros(from.load.expectedWait.count());
    to.setStartRecorded(from.startRecorded);
    to.setTrace(from.trace.c_str());
}

run_outcome decode(schema::RunResult::Reader from)
{
    run_outcome result;
    const bool known = from.getDisposition() <= static_cast<std::uint8_t>(disposition::Cancelled)
                       && from.getReason() <= static_cast<std::uint8_t>(end_reason::CancelledByCaller);
    result.result.what = known ? static_cast<disposition>(from.getDisposition()) : disposition::OutcomeUnknown;
    result.result.reason = known ? static_cast<end_reason>(from.getReason()) : end_reason::AnswerLost;
    if (from.getRetryAfterMicros() >= 0) {
        result.result.retryAfter = duration(from.getRetryAfterMicros());
    }
    const auto load = from.getLoad();
    result.load = {.onlineQueued = load.getOnlineQueued(),
                   .onlineInFlight = load.getOnlineInFlight(),
                   .batchQueued = load.getBatchQueued(),
                   .batchInFlight = load.getBatchInFlight(),
                   .slots = load.getSlots(),
                   .expectedWait = duration(load.getExpectedWaitMicros())};
    result.startRecorded = from.getStartRecorded();
    result.trace = toString(from.getTrace());
    return result;
}

void encode(schema::ConfigurationUpdate::Builder to, const configuration_update &from)
{
    if (from.snapshot) {
        auto snapshot = to.initSnapshot();
        snapshot.setVersion(from.snapshot->version);
        snapshot.setJson(from.snapshot->json.c_str());
        return;
    }
    auto patches = to.initPatches(static_cast<unsigned>(from.patches.size()));
    for (std::size_t index = 0; index < from.patches.size(); ++index) {
        patches[index].setVersion(from.patches[index].version);
        patches[index].setPatch(from.patches[index].mergePatch.c_str());
    }
}

configuration_update decode(schema::ConfigurationUpdate::Reader from)
{
    configuration_update result;
    if (from.isSnapshot()) {
        result.snapshot =
            configuration_snapshot{.version = from.getSnapshot().getVersion(), .json = toString(from.getSnapshot().getJson())};
        return result;
    }
    for (const auto patch : from.getPatches()) {
        result.patches.push_back({.version = patch.getVersion(), .mergePatch = toString(patch.getPatch())});
    }
    return result;
}

void encode(capnp::List<schema::VmEntry>::Builder to, const vm_list &from)
{
    for (unsigned index = 0; index < to.size(); ++index) {
        const vm_entry &vm = from[index];
        schema::VmEntry::Builder entry = to[index];
        entry.setId(vm.id.text());
        entry.setUpstream(vm.role == vm_role::Upstream);
        entry.setLeaving(vm.state == vm_state::Leaving);
        entry.setDomain(vm.domain.text());
        entry.setAddress(vm.address.address);
        entry.setPort(vm.address.port);
        entry.setPool(vm.pool.text());
    }
}

vm_list decode(capnp::List<schema::VmEntry>::Reader from)
{
    vm_list result;
    result.reserve(from.size());
    for (const auto entry : from) {
        result.push_back({.id = vm_id(toString(entry.getId())),
                          .role = entry.getUpstream() ? vm_role::Upstream : vm_role::Entry,
                          .state = entry.getLeaving() ? vm_state::Leaving : vm_state::Live,
                          .domain = failure_domain(toString(entry.getDomain())),
                          .address = {.address = toString(entry.getAddress()), .port = entry.getPort()},
                          .pool = pool_name(toString(entry.getPool()))});
    }
    return result;
}

} // namespace banyan
