#include "banyan/io/late_causes.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace banyan;

namespace {

std::string ended(const std::string &id, const std::string &fields)
{
    return "gw-1 time=2026-12-04T00:00:07.250000Z level=info event=request_ended request_id=" + id + " target_us=300000 " + fields;
}

} // namespace

TEST_CASE("late_causes counts each request under the cause that made it late")
{
    late_causes causes;
    causes.add("no log line");
    causes.add(ended("r1", "upstreams=u1 waited_us=900 disposition=completed reason=none first_byte_us=80000"));
    causes.add(ended("r2", "upstreams=u1 waited_us=250000 disposition=completed reason=none first_byte_us=330000"));
    causes.add(ended("r3", "upstreams=u1 waited_us=900 disposition=completed reason=none first_byte_us=330000"));
    causes.add(ended("r4", "upstreams=u1>u2 waited_us=900 disposition=completed reason=none first_byte_us=330000"));
    causes.add("time=2026-12-04T00:00:07.000000Z level=info event=claim_without_verdict request_id=r5 placer=n next=place");
    causes.add(ended("r5", "upstreams=u1 waited_us=200000 disposition=completed reason=none first_byte_us=330000"));
    causes.add(ended("r6", "upstreams=\"\" disposition=not_run reason=overloaded first_byte_us=0"));
    causes.add(ended("r7", "upstreams=u1 disposition=outcome_unknown reason=answer_lost first_byte_us=0"));
    causes.add("time=2026-12-04T00:00:08.000000Z level=info event=request_refused request_id=r8 reason=no_route status=404");
    causes.add("time=2026-12-04T00:00:08.000000Z level=info event=request_ended request_id=r9 disposition=completed first_byte_us=9");
    const std::map<std::string, std::size_t> expected = {{"in_time", 1},
                                                         {"no_target", 1},
                                                         {"waited", 1},
                                                         {"slow_upstream", 1},
                                                         {"attempt_failed", 1},
                                                         {"without_verdict", 1},
                                                         {"refused: overloaded", 1},
                                                         {"refused: no_route", 1},
                                                         {"outcome_unknown: answer_lost", 1}};
    CHECK(causes.counts() == expected);
}

TEST_CASE("late_causes prints the share of each cause and the course over time")
{
    late_causes causes;
    for (const std::string id : {"r1", "r2", "r3"}) {
        causes.add(ended(id, "upstreams=u1 waited_us=900 disposition=completed reason=none first_byte_us=80000"));
    }
    causes.add(ended("r4", "upstreams=\"\" disposition=not_run reason=overloaded first_byte_us=0"));
    std::ostringstream out;
    causes.print(out);
    CHECK(out.str()
          == "cause=\"in_time\" requests=3 share=0.750\ncause=\"refused: overloaded\" requests=1 share=0.250\n"
             "second=7 requests=4 in_time=0.750\n");
}
