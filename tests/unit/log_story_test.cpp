#include "banyan/io/log_story.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace banyan;

namespace {

std::string storyOf(const std::string &id, const std::vector<std::string> &lines)
{
    log_story story(id);
    for (const std::string &line : lines) {
        story.add(line);
    }
    std::ostringstream out;
    story.print(out);
    return out.str();
}

const std::string refusal =
    "gw-1 time=2026-12-04T03:00:01.500000Z level=info event=slot_refused request_id=r1 holder=gw-2 reason=overloaded "
    "waiting=7 slots=24 expected_wait_us=290000 first_byte_us=60000 retry_after_us=1250000";
const std::string refusedEnd = "gw-2 time=2026-12-04T03:00:01.501000Z level=info event=request_ended request_id=r1 route=a upstreams=\"\" "
                               "disposition=not_run reason=overloaded status=503";

} // namespace

TEST_CASE("log_story tells what a refusal was decided by, whatever the order of the lines")
{
    const std::string story = storyOf("r1", {refusedEnd, "no log line", refusal});
    CHECK(story.find("+0.000 s  slot_refused") < story.find("+0.001 s  request_ended"));
    CHECK(story.find("[gw-1]") != std::string::npos);
    CHECK(story.find("cause: refused, not run: it could not have begun in time: 7 runs waited for 24 slots, a new one would have waited "
                     "290 ms; told to come back after 1250 ms")
          != std::string::npos);
}

TEST_CASE("log_story shows what happened to the upstreams of a request that failed midway")
{
    const std::string attempt = "time=2026-12-04T03:00:05.000000Z level=info event=attempt_failed request_id=r2 upstream=u7 outcome=lost "
                                "status=200 error=\"read body: \\\"reset\\\" by peer\" next=end";
    const std::string end = "time=2026-12-04T03:00:05.000100Z level=info event=request_ended request_id=r2 upstreams=u7 "
                            "disposition=outcome_unknown reason=answer_lost status=200";
    const std::string gone = "time=2026-12-04T03:00:07.000000Z level=info event=upstream_gone row=u7 version=19";
    const std::string otherGone = "time=2026-12-04T03:00:07.000000Z level=info event=upstream_gone row=u8 version=20";
    const std::string muchLater = "time=2026-12-04T03:01:07.000000Z level=info event=upstream_ejected upstream=u7 reason=failed";
    const std::string story = storyOf("r2", {attempt, end, gone, otherGone, muchLater});
    CHECK(story.find("upstream_gone row=u7") != std::string::npos);
    CHECK(story.find("u8") == std::string::npos);
    CHECK(story.find("upstream_ejected") == std::string::npos);
    CHECK(story.find("cause: outcome_unknown (answer_lost) at upstream u7: lost, read body: \"reset\" by peer") != std::string::npos);
}

TEST_CASE("log_story divides a late answer's time")
{
    const std::string attempt = "time=2026-12-04T03:00:05.400000Z level=info event=attempt_failed request_id=r3 upstream=u1 "
                                "outcome=timed_out error=silent next=try_again";
    const std::string end = "time=2026-12-04T03:00:05.900000Z level=info event=request_ended request_id=r3 upstreams=u1>u2 placer=gw-1 "
                            "waited_us=150400 disposition=completed reason=none status=200 first_byte_us=650000";
    const std::string cause =
        "cause: answered with 200 after a failed attempt at upstream u1: timed_out, silent; first byte after 650 ms, of "
        "which 150 ms for a slot";
    CHECK(storyOf("r3", {attempt, end}).find(cause) != std::string::npos);
}

TEST_CASE("log_story says that no line names an id")
{
    CHECK(storyOf("r9", {refusal}) == "no line names r9\n");
}
