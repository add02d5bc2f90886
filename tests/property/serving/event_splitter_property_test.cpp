#include "banyan/core/serving/event_splitter.h"
#include "banyan/core/serving/stream_position.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace banyan;

namespace {

std::string eventText(std::uint64_t id, const std::string &data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

} // namespace

TEST_CASE("event_splitter finds the same events however the stream is divided")
{
    rc::prop("", [] {
        const auto count = *rc::gen::inRange<std::uint64_t>(0, 20);
        std::string text;
        for (std::uint64_t id = 1; id <= count; ++id) {
            text += eventText(id, "piece " + std::to_string(*rc::gen::inRange(0, 1000)));
        }
        event_splitter whole;
        const std::vector<stream_event> expected = whole.add(text);
        RC_ASSERT(expected.size() == count);
        event_splitter cut;
        std::vector<stream_event> found;
        std::string_view rest = text;
        while (!rest.empty()) {
            const auto length = *rc::gen::inRange<std::size_t>(1, std::min<std::size_t>(rest.size(), 30) + 1);
            for (const stream_event &event : cut.add(rest.substr(0, length))) {
                found.push_back(event);
            }
            rest.remove_prefix(length);
        }
        RC_ASSERT(found == expected);
        RC_ASSERT(!cut.hasPartialEvent());
    });
}

TEST_CASE("stream_position forwards each event once and in order, over any number of resumed runs")
{
    rc::prop("", [] {
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 30);
        stream_position position;
        std::vector<std::uint64_t> passedOn;
        while (position.last().value_or(0) < count) {
            // A run may begin before the last event, and may end at any event.
            const std::uint64_t last = position.last().value_or(0);
            const std::uint64_t from = last - *rc::gen::inRange<std::uint64_t>(0, last + 1) + 1;
            const auto until = *rc::gen::inRange<std::uint64_t>(last + 1, count + 1);
            for (std::uint64_t id = from; id <= until; ++id) {
                const stream_position::action verdict = position.advance({.id = id});
                RC_ASSERT(verdict != stream_position::action::Gap);
                if (verdict == stream_position::action::Forward) {
                    passedOn.push_back(id);
                }
            }
        }
        RC_ASSERT(passedOn.size() == count);
        for (std::uint64_t index = 0; index < count; ++index) {
            RC_ASSERT(passedOn[index] == index + 1);
        }
    });
}

TEST_CASE("stream_position rejects a run that omits events")
{
    stream_position position(4);
    CHECK(position.advance({.id = 6}) == stream_position::action::Gap);
    CHECK(position.advance({.id = 5}) == stream_position::action::Forward);
}
