#include "banyan/io/explain_log.h"

#include <charconv>
#include <sstream>

namespace banyan {

namespace {

/// Reads one trace line, for example "after_us=120 step=start_attempt attempt=1 upstream=u1".
explanation_step readStep(const std::string &line, time_point startedAt)
{
    explanation_step step{.time = startedAt};
    std::istringstream words(line);
    std::string word;
    while (words >> word) {
        const auto equals = word.find('=');
        const std::string key = word.substr(0, equals);
        const std::string value = equals == std::string::npos ? "" : word.substr(equals + 1);
        if (key == "after_us") {
            std::int64_t micros = 0;
            std::from_chars(value.data(), value.data() + value.size(), micros);
            step.time += duration(micros);
        } else if (key == "step") {
            step.decision = value;
        } else if (key == "upstream") {
            step.upstream = upstream_id(value);
        } else {
            step.reason += (step.reason.empty() ? "" : " ") + word;
        }
    }
    return step;
}

} // namespace

explain_log::explain_log(std::size_t capacity)
    : m_capacity(capacity)
{
}

void explain_log::add(const request_id &id,
                      const caller_id &caller,
                      const service_name &service,
                      time_point startedAt,
                      std::string result,
                      std::string trace)
{
    entry added{.caller = caller, .service = service, .startedAt = startedAt, .result = std::move(result), .trace = std::move(trace)};
    if (!m_entries.insert_or_assign(id, std::move(added)).second) {
        return;
    }
    m_order.push_back(id);
    if (m_order.size() > m_capacity) {
        m_entries.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<request_explanation> explain_log::find(const request_id &id) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    const entry &known = found->second;
    request_explanation result{.id = id, .caller = known.caller, .service = known.service, .result = known.result};
    std::istringstream lines(known.trace);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty()) {
            result.steps.push_back(readStep(line, known.startedAt));
        }
    }
    return result;
}

} // namespace banyan
