#pragma once

#include "banyan/core/final_result.h"
#include "banyan/core/time.h"
#include "banyan/core/work_class.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace banyan {

/// The process's metrics. docs/OPERATIONS.md lists every one.
class node_metrics
{
public:
    node_metrics();
    ~node_metrics();

    /// Counts a caller's request at its end: banyan_requests_total, banyan_request_seconds.
    void requestEnded(std::string_view service, work_class workClass, const final_result &result, duration taken);

    /// Records the time until the first byte of an answer: banyan_first_byte_seconds.
    void firstByte(std::string_view service, work_class workClass, duration taken);

    /// Counts an attempt at its end: banyan_attempts_total.
    void attemptEnded(std::string_view outcome, bool hedge);

    /// Counts an event under banyan_events_total, for example "peer_message_dropped".
    void count(std::string_view event);

    /// Takes over a total that another part of the process counts: banyan_events_total of that name.
    void setTotal(std::string_view event, std::uint64_t total);

    /// Sets the gauge banyan_state of that name, for example "configuration_version".
    void set(std::string_view state, double value);

    /// All metrics in the usual text form.
    [[nodiscard]] std::string text() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
