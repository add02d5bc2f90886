#include "banyan/core/serving/key_digester.h"
#include "banyan/core/serving/route_table.h"
#include "banyan/io/serving/serving_codec.h"
#include "request_codec.h"
#include "row_codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <array>
#include <random>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const key_digester digester({});
const time_point now(1000h);
constexpr duration longestSpan = 24h;

/// One valid encoding of each kind of message and row.
std::vector<std::string> encodedValues()
{
    const slot_claim claim{.sender = node_id("n"),
                           .request = {.id = request_id("r"),
                                       .service = service_name("s"),
                                       .arrivedAt = now - 10ms,
                                       .target = now + 290ms,
                                       .deadline = now + 5s,
                                       .excluded = {upstream_id("u1"), upstream_id("u2")},
                                       .earlierRunTime = 3s}};
    const node_load load{.sender = node_id("n"),
                         .sequence = 9,
                         .usage = {{1, {.online = 2, .batch = 3, .degraded = true}}},
                         .waitingOnline = {{5, 6}},
                         .lost = {{.fingerprint = 7, .upstream = 8}},
                         .lostParts = {{.part = 12, .content = 13, .upstream = 14}},
                         .provenParts = {15, 16},
                         .claims = {10, 11}};
    const slot_verdict verdict{
        .request = request_id("r"), .state = claim_state::Rejected, .reason = end_reason::Overloaded, .retryAfter = 250ms};
    const slot_release release{.sender = node_id("n"), .request = request_id("r"), .outcome = attempt_outcome::Lost};
    const slot_progress progress{.sender = node_id("n"), .request = request_id("r"), .firstByte = 70ms};
    return {encode(gateway_message(claim), now),
            encode(gateway_message(load), now),
            encode(gateway_message(verdict), now),
            encode(gateway_message(release), now),
            encode(gateway_message(progress), now),
            encode(gateway_message(origin_query{.sender = node_id("n"), .streams = {7, 8}}), now),
            encode(gateway_message(origin_row{.streams = {{7, {.service = service_name("s"), .version = "v1"}}}}), now),
            encode(gateway_entry{.id = node_id("n"), .peerAddress = {"10.0.0.1", 70}}),
            encode(job_entry{.id = job_id("j"), .route = "r", .host = "h", .submittedAt = now, .total = 3, .owner = node_id("n")}),
            encode(std::vector<job_item>{{.id = "i", .path = "/p", .fields = {{"Model", "m"}}, .body = "b", .tokens = 3}}),
            encode(std::vector<quota_reservation>{{.job = job_id("j"), .tokens = 5, .claim = 6}}),
            encode(item_checkpoint{.item = "i", .lastEvent = 3, .output = "text"}),
            encode(listed_result{.item = "i", .succeeded = true, .output = "text"})};
}

const std::vector<std::string> jsonTexts = {
    R"({"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/p/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,
        "priority":0,"service":"a","max_attempts":2,"resumable":true,"gap_target_ms":400},{"name":"r2","host":"h","path_prefix":"/q/",
        "kind":"bulk","completion_window_ms":18000,"retention_s":60,"cap":3000,"traffic_split":[{"service":"a","weight":90},
        {"service":"b","weight":10}]}],"services":[{"name":"a","health_path":"/health","max_conns":170}],"limits":{"max_header_bytes":
        16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})",
    R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":4})",
    R"({"items":[{"id":"i1","path":"/p/1","headers":{"Model":"m"},"body":"AAEC/w==","tokens":940},
        {"id":"i2","path":"/p/1","body":"","tokens":10},{"id":"i3","path":"/p/1","body":"","tokens":20}]})"};

/// Makes random changes to encoded values.
class mutation
{
public:
    explicit mutation(std::uint32_t seed)
        : m_generator(seed)
    {
    }

    /// Returns the text with some bytes changed, removed, repeated or cut off.
    std::string bytes(std::string text)
    {
        for (std::size_t edits = 1 + below(4); edits > 0 && !text.empty(); --edits) {
            const std::size_t at = below(text.size());
            switch (below(4)) {
            case 0:
                text[at] = static_cast<char>(below(256));
                break;
            case 1:
                text.erase(at, 1 + below(8));
                break;
            case 2:
                text.insert(at, text.substr(below(text.size()), 1 + below(16)));
                break;
            default:
                text.resize(below(8) == 0 ? at : text.size());
            }
        }
        return text;
    }

    /// Returns the text with some of its numbers replaced by extreme values.
    std::string numbers(const std::string &text)
    {
        static const std::array<std::string, 9> extremes = {
            "0", "-1", "4294967296", "9223372036854775807", "-9223372036854775808", "18446744073709551616", "1e308", "-1e308", "0.5"};
        std::string result;
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t digits = std::min(text.find_first_not_of("0123456789", at), text.size()) - at;
            const bool isNumber = digits > 0 && at > 0 && text[at - 1] == ':';
            result += isNumber && below(3) == 0 ? extremes[below(extremes.size())] : text.substr(at, std::max<std::size_t>(digits, 1));
            at += std::max<std::size_t>(digits, 1);
        }
        return result;
    }

private:
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_generator);
    }

    std::mt19937 m_generator;
};

void checkSpan(time_point moment)
{
    RC_ASSERT(moment >= now - longestSpan);
    RC_ASSERT(moment <= now + longestSpan);
}

/// Passes bytes to every decoder of stored rows and datagrams. None may throw, and decoded times must be within range.
void decodeAll(const std::string &bytes)
{
    if (const std::optional<gateway_message> message = decodeGatewayMessage(bytes, now)) {
        if (const auto *const claim = std::get_if<slot_claim>(&*message)) {
            checkSpan(claim->request.arrivedAt);
            checkSpan(claim->request.target);
            checkSpan(claim->request.deadline);
        }
    }
    (void)decodeGatewayEntry(bytes);
    (void)decodeJobEntry(job_id("j"), 1, bytes);
    (void)decodeJobItems(bytes);
    (void)decodeQuotaReservations(bytes);
    (void)decodeItemCheckpoint(bytes);
    (void)decodeListedResult(bytes);
}

/// Passes a text to every JSON decoder. None may throw, and decoded times and counts must be safe to calculate with.
void decodeAllJson(const std::string &text)
{
    const table_row row{.name = {.table = "t", .part = "", .key = "i-1"}, .value = text, .version = 3};
    if (std::optional<serving_configuration> configuration = platform::decodeConfiguration(row, digester)) {
        const route_table table(std::move(*configuration));
        for (const route &entry : table.configuration().routes) {
            (void)serviceFor(entry, request_id("r"));
            RC_ASSERT(entry.timeout >= duration(0));
            RC_ASSERT(now + entry.timeout >= now);
            RC_ASSERT(now + entry.completionWindow >= now);
            RC_ASSERT(now + entry.retention >= now);
            RC_ASSERT(entry.maximumAttempts >= 1U);
        }
        RC_ASSERT(table.configuration().limits.maximumBody > 0U);
        RC_ASSERT(table.configuration().limits.idleTimeout > duration(0));
    }
    if (const std::optional<replica> upstream = platform::decodeReplica(row)) {
        RC_ASSERT(upstream->slots >= 1U);
    }
    std::uint64_t tokens = 0;
    for (const job_item &item : platform::decodeJob(text).value_or(std::vector<job_item>())) {
        RC_ASSERT(tokens + item.tokens >= tokens);
        tokens += item.tokens;
    }
}

} // namespace

TEST_CASE("decoders of datagrams and stored rows handle any bytes")
{
    rc::prop("arbitrary bytes", [](const std::string &bytes) {
        decodeAll(bytes);
    });
    rc::prop("mutated encodings", [](std::uint32_t seed) {
        mutation change(seed);
        for (const std::string &value : encodedValues()) {
            decodeAll(change.bytes(value));
        }
    });
}

TEST_CASE("decoders of the operator's, upstreams' and clients' JSON handle any text and any numbers")
{
    rc::prop("mutated texts", [](std::uint32_t seed) {
        mutation change(seed);
        for (const std::string &text : jsonTexts) {
            decodeAllJson(change.bytes(text));
            decodeAllJson(change.numbers(text));
            decodeAllJson(change.bytes(change.numbers(text)));
        }
    });
}
