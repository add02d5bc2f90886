#include "banyan/io/serving/serving_codec.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point senderNow = time_point(1000s);
const time_point receiverNow = time_point(5000s);

} // namespace

TEST_CASE("serving_codec round-trips a load report")
{
    const node_load load{.sender = node_id("n"),
                         .sequence = 9,
                         .usage = {{1, {.online = 2, .batch = 3, .degraded = true, .remainingWork = 420}}, {4, {.online = 5}}},
                         .schedulingState = scheduling_state::UpstreamsUncertain,
                         .waitingOnline = {{5, 6}},
                         .lost = {{.fingerprint = 7, .upstream = 8}},
                         .leaving = {3, 4},
                         .lostParts = {{.part = 12, .content = 13, .upstream = 14}},
                         .provenParts = {15, 16},
                         .pools = {.leaseTime = 600ms,
                                   .leases = {{.pool = 7, .heard = 65535, .holder = 4000000000}},
                                   .shares = {{.pool = 3, .share = 0.25F}}},
                         .unreachable = {17, 18},
                         .reachesNone = true,
                         .forwards = 19,
                         .claims = {10, 11}};
    const std::optional<gateway_message> read = decodeGatewayMessage(encode(load, senderNow), receiverNow);
    REQUIRE(read.has_value());
    CHECK(*read == gateway_message(load));
}

TEST_CASE("serving_codec converts a claim's times to the reader's clock")
{
    slot_claim claim{.sender = node_id("n"),
                     .request = {.id = request_id("r"),
                                 .service = service_name("s"),
                                 .workClass = work_class::Batch,
                                 .priority = 2,
                                 .arrivedAt = senderNow - 10ms,
                                 .target = senderNow + 290ms,
                                 .deadline = senderNow + 5s,
                                 .cell = {.index = 1, .count = 3},
                                 .repeatable = true,
                                 .sentBefore = true,
                                 .prefixHash = 77,
                                 .excluded = {upstream_id("u1"), upstream_id("u2")},
                                 .holder = node_id("n"),
                                 .domain = failure_domain("d"),
                                 .earlierRunTime = 3s,
                                 .origin = 79,
                                 .earlierFailures = 2,
                                 .caller = 78,
                                 .size = {.promptTokens = 1460, .maximumOutputTokens = 80}}};
    const std::optional<gateway_message> read = decodeGatewayMessage(encode(claim, senderNow), receiverNow);
    REQUIRE(read.has_value());
    claim.request.arrivedAt = receiverNow - 10ms;
    claim.request.target = receiverNow + 290ms;
    claim.request.deadline = receiverNow + 5s;
    CHECK(*read == gateway_message(claim));
}

TEST_CASE("serving_codec round-trips verdicts, progress, releases, credits, and what nodes ask each other about streams")
{
    const std::vector<gateway_message> messages = {
        slot_verdict{.request = request_id("r"), .state = claim_state::Granted, .upstream = upstream_id("u")},
        slot_verdict{.request = request_id("r"), .state = claim_state::Rejected, .reason = end_reason::Overloaded, .retryAfter = 250ms},
        slot_progress{.sender = node_id("n"), .request = request_id("r"), .firstByte = 70ms},
        slot_release{.sender = node_id("n"), .request = request_id("r"), .outcome = attempt_outcome::Lost},
        origin_query{.sender = node_id("n"), .streams = {7, 8}},
        credit_ask{.sender = node_id("n"), .id = 5, .organisation = std::uint64_t(1) << 63U, .needed = 1, .spare = 4, .version = 3},
        credit_grant{.id = 5, .granted = 2, .wait = 20ms},
        origin_row{
            .streams = {{7, {.service = service_name("s"), .version = "v1"}}, {8, {.service = service_name("s"), .version = "v2"}}}}};
    for (const gateway_message &message : messages) {
        const std::optional<gateway_message> read = decodeGatewayMessage(encode(message, senderNow), receiverNow);
        REQUIRE(read.has_value());
        CHECK(*read == message);
    }
}

TEST_CASE("serving_codec round-trips the stored rows of a job")
{
    const job_entry entry{.id = job_id("j"),
                          .route = "r",
                          .host = "h",
                          .submittedAt = senderNow,
                          .total = 3,
                          .owner = node_id("n"),
                          .ended = true,
                          .complete = false,
                          .itemsInObject = true,
                          .version = 12};
    CHECK(decodeJobEntry(job_id("j"), 12, encode(entry)) == entry);
    const std::vector<job_item> items = {{.id = "i", .path = "/p", .fields = {{"a", "b"}}, .body = std::string("\0x", 2)}};
    CHECK(decodeJobItems(encode(items)) == items);
    const listed_result result{.item = "i", .succeeded = true, .output = "a\nb"};
    CHECK(decodeListedResult(encode(result)) == result);
    const gateway_entry gateway{.id = node_id("n"), .peerAddress = {"127.0.0.1", 7}};
    CHECK(decodeGatewayEntry(encode(gateway)) == gateway);
}

TEST_CASE("serving_codec round-trips an item's checkpoint")
{
    const item_checkpoint checkpoint{.item = "i", .lastEvent = 7, .output = "a\nb", .ranBefore = 1500ms};
    const std::optional<item_checkpoint> read = decodeItemCheckpoint(encode(checkpoint));
    REQUIRE(read.has_value());
    CHECK(*read == checkpoint);
}

TEST_CASE("serving_codec rejects malformed bytes")
{
    const std::string whole = encode(node_load{.sender = node_id("n"), .sequence = 1}, senderNow);
    for (const std::string &bytes : {std::string(), std::string("nonsense"), std::string(100, '\xff'), whole.substr(0, whole.size() / 2)}) {
        CHECK_FALSE(decodeGatewayMessage(bytes, receiverNow).has_value());
    }
}
