#include "banyan/io/log_story.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>

namespace banyan {

namespace {

constexpr double contextSeconds = 5; ///< Before and after the request, for what happened to its upstreams.
constexpr std::string_view timeMark = "time=";

/// Takes the next key=value pair off the text. Values may be quoted, with backslashes before quotes and backslashes.
bool takeField(std::string_view &text, std::pair<std::string, std::string> &field)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
        return false;
    }
    field.first = std::string(text.substr(0, equals));
    field.second.clear();
    text.remove_prefix(equals + 1);
    const bool quoted = text.starts_with('"');
    std::size_t position = quoted ? 1 : 0;
    for (; position < text.size() && text[position] != (quoted ? '"' : ' '); ++position) {
        if (quoted && text[position] == '\\' && position + 1 < text.size()) {
            ++position;
        }
        field.second += text[position];
    }
    text.remove_prefix(std::min(text.size(), position + (quoted ? 1 : 0)));
    return true;
}

/// Seconds of the day, of a time like 2026-12-04T03:00:00.000001Z.
double secondsOf(const std::string &time)
{
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    char separator = 0;
    std::istringstream text(time.substr(std::min(time.size(), time.find('T') + 1)));
    text >> hours >> separator >> minutes >> separator >> seconds;
    return hours * 3600 + minutes * 60 + seconds;
}

std::string milliseconds(const std::string &microseconds)
{
    return std::to_string(std::lround(std::strtod(microseconds.c_str(), nullptr) / 1000)) + " ms";
}

} // namespace

std::string log_story::entry::value(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const auto &field) {
        return field.first == name;
    });
    return found == fields.end() ? std::string() : found->second;
}

std::string log_story::entry::upstream() const
{
    const std::string named = value("upstream");
    return named.empty() ? value("row") : named;
}

log_story::log_story(std::string id)
    : m_id(std::move(id))
{
}

bool log_story::read(std::string_view line, entry &result)
{
    const std::size_t begin = line.find(timeMark);
    if (begin == std::string_view::npos) {
        return false;
    }
    std::string_view source = line.substr(0, begin);
    source.remove_prefix(std::min(source.find_first_not_of(' '), source.size()));
    result.source = std::string(source.substr(0, source.find_last_not_of(' ') + 1));
    line.remove_prefix(begin);
    std::pair<std::string, std::string> field;
    while (takeField(line, field)) {
        if (field.first == "time") {
            result.seconds = secondsOf(field.second);
        } else if (field.first == "event") {
            result.event = field.second;
        } else if (field.first != "level") {
            result.fields.push_back(field);
        }
    }
    return !result.event.empty();
}

bool log_story::concerns(const entry &line) const
{
    return line.value("request_id") == m_id || line.value("job") == m_id || line.value("item") == m_id;
}

void log_story::add(std::string_view line)
{
    entry read;
    if (!log_story::read(line, read)) {
        return;
    }
    if (concerns(read)) {
        m_own.push_back(std::move(read));
    } else if (!read.upstream().empty() && read.event.starts_with("upstream_")) {
        m_upstreamEvents.push_back(std::move(read));
    }
}

bool log_story::isEmpty() const
{
    return m_own.empty();
}

/// What a refusal was decided by, if the placing node's line is there.
std::string log_story::placeOf(const entry &end) const
{
    const auto decided = std::find_if(m_own.begin(), m_own.end(), [&](const entry &line) {
        return line.event == "slot_refused" && line.value("reason") == end.value("reason");
    });
    if (decided == m_own.end()) {
        return "";
    }
    return ": " + decided->value("waiting") + " runs waited for " + decided->value("slots") + " slots, a new one would have waited "
           + milliseconds(decided->value("expected_wait_us")) + "; told to come back after "
           + milliseconds(decided->value("retry_after_us"));
}

std::string log_story::causeOf(const entry &end) const
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
    const auto failed = std::find_if(m_own.rbegin(), m_own.rend(), [](const entry &line) {
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
    std::vector<entry> lines = m_own;
    std::set<std::string> upstreams;
    double first = m_own.front().seconds;
    double last = first;
    for (const entry &line : m_own) {
        upstreams.insert(line.upstream());
        std::istringstream tried(line.value("upstreams"));
        for (std::string upstream; std::getline(tried, upstream, '>');) {
            upstreams.insert(upstream);
        }
        first = std::min(first, line.seconds);
        last = std::max(last, line.seconds);
    }
    std::copy_if(m_upstreamEvents.begin(), m_upstreamEvents.end(), std::back_inserter(lines), [&](const entry &line) {
        return upstreams.contains(line.upstream()) && line.seconds >= first - contextSeconds && line.seconds <= last + contextSeconds;
    });
    std::stable_sort(lines.begin(), lines.end(), [](const entry &left, const entry &right) {
        return left.seconds < right.seconds;
    });
    for (const entry &line : lines) {
        out << std::showpos << std::fixed << std::setprecision(3) << line.seconds - first << std::noshowpos << " s  " << line.event;
        for (const auto &[name, value] : line.fields) {
            out << ' ' << name << '=' << value;
        }
        out << (line.source.empty() ? "" : "  [" + line.source + "]") << '\n';
    }
    const auto end = std::find_if(m_own.rbegin(), m_own.rend(), [](const entry &line) {
        return line.event == "request_ended" || line.event == "request_refused";
    });
    if (end != m_own.rend()) {
        out << "cause: " << causeOf(*end) << '\n';
    }
}

} // namespace banyan
