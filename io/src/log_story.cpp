#include "banyan/io/log_story.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>

namespace banyan {

namespace {

constexpr double contextSeconds = 5; ///< Before and after the request, for what happened to its upstreams.

std::string milliseconds(const std::string &microseconds)
{
    return std::to_string(std::lround(std::strtod(microseconds.c_str(), nullptr) / 1000)) + " ms";
}

} // namespace

log_story::log_story(std::string id)
    : m_id(std::move(id))
{
}

bool log_story::concerns(const log_line &line) const
{
    return line.value("request_id") == m_id || line.value("job") == m_id || line.value("item") == m_id;
}

void log_story::add(std::string_view line)
{
    std::optional<log_line> read = log_line::parse(line);
    if (!read) {
        return;
    }
    if (concerns(*read)) {
        m_own.push_back(std::move(*read));
    } else if (!read->upstream().empty() && read->event.starts_with("upstream_")) {
        m_upstreamEvents.push_back(std::move(*read));
    }
}

bool log_story::isEmpty() const
{
    return m_own.empty();
}

/// What a refusal was decided by, if the placing node's line is there.
std::string log_story::placeOf(const log_line &end) const
{
    const auto decided = std::find_if(m_own.begin(), m_own.end(), [&](const log_line &line) {
        return line.event == "slot_refused" && line.value("reason") == end.value("reason");
    });
    if (decided == m_own.end()) {
        return "";
    }
    return ": " + decided->value("waiting") + " runs waited for " + decided->value("slots") + " slots, a new one would have waited "
           + milliseconds(decided->value("expected_wait_us")) + "; told to come back after "
           + milliseconds(decided->value("retry_after_us"));
}

std::string log_story::causeOf(const log_line &end) const
{
    const std::string disposition = end.value("disposition");
    const std::string reason = end.value("reason");
    if (end.event == "request_refused") {
        return "refused with " + end.value("status") + " before it was routed or placed: " + reason;
    }
    if (disposition == "not_run" && (reason == "overloaded" || reason == "deadline_unreachable")) {
        return "refused, not run: it could not have begun in time" + placeOf(end);
    }
    if (disposition == "not_run") {
        return "refused, not run: " + reason;
    }
    const auto failed = std::find_if(m_own.rbegin(), m_own.rend(), [](const log_line &line) {
        return line.event == "attempt_failed";
    });
    const std::string last = failed == m_own.rend()
                                 ? std::string()
                                 : " at upstream " + failed->upstream() + ": " + failed->value("outcome") + ", " + failed->value("error");
    if (disposition == "completed") {
        const std::string attempts = failed == m_own.rend() ? "at the first attempt" : "after a failed attempt" + last;
        return "answered with " + end.value("status") + " " + attempts + "; first byte after " + milliseconds(end.value("first_byte_us"))
               + ", of which " + milliseconds(end.value("waited_us")) + " for a slot";
    }
    return disposition + " (" + reason + ")" + last;
}

void log_story::print(std::ostream &out) const
{
    if (m_own.empty()) {
        out << "no line names " << m_id << "\n";
        return;
    }
    std::vector<log_line> lines = m_own;
    std::set<std::string> upstreams;
    double first = m_own.front().seconds;
    double last = first;
    for (const log_line &line : m_own) {
        upstreams.insert(line.upstream());
        std::istringstream tried(line.value("upstreams"));
        for (std::string upstream; std::getline(tried, upstream, '>');) {
            upstreams.insert(upstream);
        }
        first = std::min(first, line.seconds);
        last = std::max(last, line.seconds);
    }
    std::copy_if(m_upstreamEvents.begin(), m_upstreamEvents.end(), std::back_inserter(lines), [&](const log_line &line) {
        return upstreams.contains(line.upstream()) && line.seconds >= first - contextSeconds && line.seconds <= last + contextSeconds;
    });
    std::stable_sort(lines.begin(), lines.end(), [](const log_line &left, const log_line &right) {
        return left.seconds < right.seconds;
    });
    for (const log_line &line : lines) {
        out << std::showpos << std::fixed << std::setprecision(3) << line.seconds - first << std::noshowpos << " s  " << line.event;
        for (const auto &[name, value] : line.fields) {
            out << ' ' << name << '=' << value;
        }
        out << (line.source.empty() ? "" : "  [" + line.source + "]") << '\n';
    }
    const auto end = std::find_if(m_own.rbegin(), m_own.rend(), [](const log_line &line) {
        return line.event == "request_ended" || line.event == "request_refused";
    });
    if (end != m_own.rend()) {
        out << "cause: " << causeOf(*end) << '\n';
    }
}

} // namespace banyan
