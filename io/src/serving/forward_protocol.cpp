#include "forward_protocol.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace banyan {

namespace {

constexpr std::string_view prefix = "Banyan-Forward-";
constexpr std::string_view runField = "Banyan-Forward-Run";
constexpr std::string_view upstreamField = "Banyan-Forward-Upstream";
constexpr std::string_view startField = "Banyan-Forward-Upstream-Start";
constexpr std::string_view senderField = "Banyan-Forward-Sender";
constexpr std::string_view firstByteField = "Banyan-Forward-First-Byte-Us";
constexpr std::string_view silenceField = "Banyan-Forward-Silence-Us";
constexpr std::string_view mayRepeatField = "Banyan-Forward-May-Repeat";
constexpr std::string_view newConnectionField = "Banyan-Forward-New-Connection";
constexpr std::string_view outcomeField = "Banyan-Forward-Outcome";
constexpr std::string_view reusedField = "Banyan-Forward-Reused";
constexpr std::string_view setMark = "1";
constexpr std::int64_t longestTime = std::chrono::duration_cast<duration>(std::chrono::hours(1)).count();

constexpr std::array<std::string_view, 5> connectionFields = {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Expect"};

constexpr std::array outcomes = {forward_outcome::Answered,
                                 forward_outcome::Declined,
                                 forward_outcome::Unable,
                                 forward_outcome::NotReached,
                                 forward_outcome::PathLost,
                                 forward_outcome::Lost,
                                 forward_outcome::Stale,
                                 forward_outcome::TimedOut};

bool isOrderField(const http_field &field)
{
    return boost::beast::iequals(std::string_view(field.name).substr(0, prefix.size()), prefix);
}

bool concernsConnection(const http_field &field)
{
    return std::any_of(connectionFields.begin(), connectionFields.end(), [&](std::string_view name) {
        return boost::beast::iequals(field.name, name);
    });
}

const std::string *valueIn(const std::vector<http_field> &fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const http_field &field) {
        return boost::beast::iequals(field.name, name);
    });
    return found == fields.end() ? nullptr : &found->value;
}

template<typename Number>
std::optional<Number> numberIn(const std::vector<http_field> &fields, std::string_view name)
{
    const std::string *const text = valueIn(fields, name);
    Number number = 0;
    if (text == nullptr) {
        return std::nullopt;
    }
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
    return error == std::errc() && end == text->data() + text->size() ? std::optional(number) : std::nullopt;
}

std::optional<duration> timeIn(const std::vector<http_field> &fields, std::string_view name)
{
    const std::optional<std::int64_t> number = numberIn<std::int64_t>(fields, name);
    return number && *number > 0 ? std::optional(duration(std::min(*number, longestTime))) : std::nullopt;
}

} // namespace

std::string_view toString(forward_outcome outcome)
{
    switch (outcome) {
    case forward_outcome::Answered:
        return "answered";
    case forward_outcome::Declined:
        return "declined";
    case forward_outcome::Unable:
        return "unable";
    case forward_outcome::NotReached:
        return "not_reached";
    case forward_outcome::PathLost:
        return "path_lost";
    case forward_outcome::Lost:
        return "lost";
    case forward_outcome::Stale:
        return "stale";
    case forward_outcome::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

bool provesUnsent(forward_outcome outcome)
{
    return outcome == forward_outcome::Declined || outcome == forward_outcome::Unable || outcome == forward_outcome::NotReached;
}

void addOrder(http_request &request, const forward_order &order)
{
    std::erase_if(request.fields, isOrderField);
    const auto add = [&](std::string_view name, std::string value) {
        request.fields.push_back({.name = std::string(name), .value = std::move(value)});
    };
    add(runField, order.run);
    add(upstreamField, order.upstream.text());
    add(startField, std::to_string(order.startedAt));
    add(senderField, order.sender.text());
    add(firstByteField, std::to_string(order.timeouts.firstByte.count()));
    add(silenceField, std::to_string(order.timeouts.silence.count()));
    if (order.mayRepeat) {
        add(mayRepeatField, std::string(setMark));
    }
    if (order.onNewConnection) {
        add(newConnectionField, std::string(setMark));
    }
}

std::optional<forward_order> orderOf(const std::vector<http_field> &fields)
{
    const std::string *const run = valueIn(fields, runField);
    const std::string *const upstream = valueIn(fields, upstreamField);
    const std::string *const sender = valueIn(fields, senderField);
    const std::optional<std::uint64_t> startedAt = numberIn<std::uint64_t>(fields, startField);
    const std::optional<duration> firstByte = timeIn(fields, firstByteField);
    const std::optional<duration> silence = timeIn(fields, silenceField);
    if (run == nullptr || upstream == nullptr || sender == nullptr || !startedAt || !firstByte || !silence) {
        return std::nullopt;
    }
    return forward_order{.run = *run,
                         .upstream = upstream_id(*upstream),
                         .startedAt = *startedAt,
                         .sender = node_id(*sender),
                         .timeouts = {.firstByte = *firstByte, .silence = *silence},
                         .mayRepeat = valueIn(fields, mayRepeatField) != nullptr,
                         .onNewConnection = valueIn(fields, newConnectionField) != nullptr};
}

std::vector<http_field> fieldsBeyondOrder(const std::vector<http_field> &fields)
{
    std::vector<http_field> result;
    std::copy_if(fields.begin(), fields.end(), std::back_inserter(result), [](const http_field &field) {
        return !isOrderField(field) && !concernsConnection(field);
    });
    return result;
}

http_field fieldOf(forward_outcome outcome)
{
    return {.name = std::string(outcomeField), .value = std::string(toString(outcome))};
}

http_field reusedMark()
{
    return {.name = std::string(reusedField), .value = std::string(setMark)};
}

std::optional<forward_outcome> outcomeIn(const http_response_head &head)
{
    const std::string *const text = valueIn(head.fields, outcomeField);
    const auto found = std::find_if(outcomes.begin(), outcomes.end(), [&](forward_outcome outcome) {
        return text != nullptr && *text == toString(outcome);
    });
    return found == outcomes.end() ? std::nullopt : std::optional(*found);
}

http_response_head upstreamHead(const http_response_head &head)
{
    return {.status = head.status,
            .fields = fieldsBeyondOrder(head.fields),
            .framing = head.framing,
            .isFirstOnConnection = valueIn(head.fields, reusedField) == nullptr};
}

} // namespace banyan
