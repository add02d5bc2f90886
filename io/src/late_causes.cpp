#include "banyan/io/late_causes.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <vector>

namespace banyan {

namespace {

const std::string inTimeName = "in_time";

double microsecondsOf(const log_line &line, std::string_view field)
{
    return std::strtod(line.value(field).c_str(), nullptr);
}

double shareOf(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

std::string late_causes::causeOf(const log_line &end) const
{
    const std::string disposition = end.value("disposition");
    const std::string reason = end.value("reason");
    if (end.event == "request_refused" || disposition == "not_run") {
        return "refused: " + reason;
    }
    if (disposition != "completed") {
        return disposition + ": " + reason;
    }
    if (end.value("target_us").empty()) {
        return "no_target";
    }
    const double firstByte = microsecondsOf(end, "first_byte_us");
    if (firstByte <= microsecondsOf(end, "target_us")) {
        return inTimeName;
    }
    if (m_withoutVerdict.contains(end.value("request_id"))) {
        return "without_verdict";
    }
    if (end.value("upstreams").find('>') != std::string::npos) {
        return "attempt_failed";
    }
    return microsecondsOf(end, "waited_us") > firstByte / 2 ? "waited" : "slow_upstream";
}

void late_causes::add(std::string_view line)
{
    const std::optional<log_line> read = log_line::parse(line);
    if (!read) {
        return;
    }
    if (read->event == "claim_without_verdict") {
        m_withoutVerdict.insert(read->value("request_id"));
    }
    if (read->event != "request_ended" && read->event != "request_refused") {
        return;
    }
    const std::string cause = causeOf(*read);
    ++m_counts[cause];
    second &at = m_course[std::lround(std::floor(read->seconds))];
    ++at.requests;
    at.inTime += cause == inTimeName ? 1 : 0;
}

void late_causes::print(std::ostream &out) const
{
    std::size_t requests = 0;
    std::vector<std::pair<std::string, std::size_t>> causes(m_counts.begin(), m_counts.end());
    for (const auto &[cause, count] : causes) {
        requests += count;
    }
    std::stable_sort(causes.begin(), causes.end(), [](const auto &left, const auto &right) {
        return left.second > right.second;
    });
    out << std::fixed << std::setprecision(3);
    for (const auto &[cause, count] : causes) {
        out << "cause=\"" << cause << "\" requests=" << count << " share=" << shareOf(count, requests) << '\n';
    }
    for (const auto &[time, at] : m_course) {
        out << "second=" << time << " requests=" << at.requests << " in_time=" << shareOf(at.inTime, at.requests) << '\n';
    }
}

} // namespace banyan
