#include "upstream_attempt.h"

#include "banyan/io/clock.h"
#include "banyan/io/http_error.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace banyan {

namespace {

constexpr std::size_t highWaterBytes = std::size_t(256) << 10; // Buffered for a slow reader before the upstream is slowed down.
constexpr std::string_view usageMark = "\"completion_tokens\":";
constexpr std::size_t tailBytes = 512; // Of a whole answer, enough for its usage.
constexpr std::string_view eventMark = "data:";
constexpr std::string_view requestIdField = "X-Request-Id";
constexpr duration progressInterval = std::chrono::milliseconds(250);
constexpr unsigned tooManyRequests = 429;
constexpr unsigned serviceUnavailable = 503;
constexpr unsigned firstErrorStatus = 400;
constexpr unsigned firstServerErrorStatus = 500;
constexpr std::int64_t longestRetryAfterSeconds = 3600;

bool isRefusal(unsigned status)
{
    return status == tooManyRequests || status == serviceUnavailable;
}

bool isForCaller(unsigned status)
{
    return status < firstServerErrorStatus && !isRefusal(status);
}

bool isEventStream(const std::vector<http_field> &fields)
{
    return std::any_of(fields.begin(), fields.end(), [](const http_field &field) {
        return boost::beast::iequals(field.name, "Content-Type") && field.value.starts_with("text/event-stream");
    });
}

/// The id under which a request is sent; empty if it has none.
std::string requestIdOf(const http_request &request)
{
    const auto found = std::find_if(request.fields.begin(), request.fields.end(), [](const http_field &field) {
        return field.name == requestIdField;
    });
    return found == request.fields.end() ? std::string() : found->value;
}

/// The number of generated tokens that a chat completion's usage tells; 0 if there is none.
std::uint32_t tokensInUsage(std::string_view tail)
{
    const std::size_t found = tail.rfind(usageMark);
    if (found == std::string_view::npos) {
        return 0;
    }
    const std::size_t digits = tail.find_first_of("0123456789", found);
    std::uint32_t tokens = 0;
    if (digits != std::string_view::npos) {
        std::from_chars(tail.data() + digits, tail.data() + tail.size(), tokens);
    }
    return tokens;
}

std::optional<duration> retryAfterOf(const std::vector<http_field> &fields)
{
    for (const http_field &field : fields) {
        std::int64_t seconds = 0;
        const char *const end = field.value.data() + field.value.size();
        if (boost::beast::iequals(field.name, "Retry-After") && std::from_chars(field.value.data(), end, seconds).ptr == end
            && seconds >= 0) {
            return std::chrono::seconds(std::min(seconds, longestRetryAfterSeconds));
        }
    }
    return std::nullopt;
}

attempt_outcome outcomeOf(const http_error &error)
{
    if (error.sent() == sent_state::NotSent) {
        return attempt_outcome::NotSent;
    }
    return error.timedOut() ? attempt_outcome::TimedOut : attempt_outcome::Lost;
}

} // namespace

upstream_attempt::upstream_attempt(asio::io_context &context, const start_attempt &order, endpoint address)
    : m_order(order)
    , m_address(std::move(address))
    , m_drained(context)
{
}

http_client::stream_handler upstream_attempt::makeHandler(std::size_t maximumBuffered, const observer &watcher)
{
    http_client::stream_handler handler;
    handler.onHead = [this, watcher](const http_response_head &head) -> task<> {
        m_status = head.status;
        m_fields = head.fields;
        if (isForCaller(head.status)) {
            m_headSeen = true;
            m_isEventStream = isEventStream(head.fields);
            m_reportedAt = currentTime();
            watcher.onFirstByte();
        }
        co_return;
    };
    handler.onPiece = [this, watcher, maximumBuffered](std::string_view piece) -> task<> {
        if (!m_headSeen || m_cancelled) {
            co_return;
        }
        m_pieces += piece;
        countTokens(piece, watcher);
        if (m_pieces.size() > maximumBuffered) {
            throw http_error(sent_state::MaybeSent, false, "answer is larger than may be buffered");
        }
        watcher.onData();
        while (m_chosen && !m_cancelled && m_pieces.size() > highWaterBytes) {
            co_await m_drained.wait();
        }
    };
    return handler;
}

/// Counts the events of a streamed answer, each of which carries about one token.
void upstream_attempt::countTokens(std::string_view piece, const observer &watcher)
{
    if (!m_isEventStream) {
        m_tail.append(piece.substr(piece.size() - std::min(piece.size(), tailBytes)));
        m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), tailBytes));
        return;
    }
    m_boundary.add(piece);
    for (std::size_t found = piece.find(eventMark); found != std::string_view::npos; found = piece.find(eventMark, found + 1)) {
        ++m_tokens;
        ++m_unreportedTokens;
    }
    const time_point now = currentTime();
    if (m_unreportedTokens != 0 && now - m_reportedAt >= progressInterval) {
        m_reportedAt = now;
        watcher.onProgress(std::exchange(m_unreportedTokens, 0));
    }
}

std::uint32_t upstream_attempt::tokensOfAnswer() const
{
    return m_isEventStream ? m_tokens : tokensInUsage(m_tail);
}

attempt_result upstream_attempt::resultOfAnswer() const
{
    if (isRefusal(m_status)) {
        return {.outcome = attempt_outcome::Refused, .retryAfter = retryAfterOf(m_fields)};
    }
    if (m_status >= firstServerErrorStatus) {
        return {.outcome = attempt_outcome::Failed};
    }
    if (m_isEventStream && !m_boundary.isBetweenEvents()) {
        return {.outcome = attempt_outcome::Lost};
    }
    return {.outcome = m_status >= firstErrorStatus ? attempt_outcome::Answered : attempt_outcome::Succeeded, .tokens = tokensOfAnswer()};
}

task<attempt_result> upstream_attempt::send(http_client &client, http_request request, std::size_t maximumBuffered, observer watcher)
{
    attempt_result result;
    try {
        http_client::stream_handler handler = makeHandler(maximumBuffered, watcher);
        const http_client::stream_options options{.timeouts = {.firstByte = m_order.timeout, .silence = m_order.timeout},
                                                  .cancellation = m_cancellation,
                                                  .id = requestIdOf(request)};
        co_await client.stream(m_address, std::move(request), std::move(handler), options);
        result = resultOfAnswer();
    } catch (const http_error &error) {
        result.outcome = outcomeOf(error);
        m_error = error.what();
    } catch (const std::exception &error) {
        result.outcome = attempt_outcome::Lost;
        m_error = error.what();
    }
    if (m_cancelled && result.outcome == attempt_outcome::Lost) {
        result.outcome = attempt_outcome::Cancelled;
    }
    co_return result;
}

void upstream_attempt::cancel()
{
    m_cancelled = true;
    m_pieces.clear();
    m_drained.notify();
    m_cancellation->cancel();
}

void upstream_attempt::choose()
{
    m_chosen = true;
}

std::string upstream_attempt::takePieces()
{
    std::string pieces = std::exchange(m_pieces, {});
    m_drained.notify();
    return pieces;
}

} // namespace banyan
