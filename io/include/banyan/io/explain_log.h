#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/io/request_explanation.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace banyan {

/// Remembers what was decided on the last requests of this node, for operators. The oldest are forgotten first.
class explain_log
{
public:
    /// @param capacity requests remembered
    explicit explain_log(std::size_t capacity);

    /// Adds a request that has ended. @param trace lines of "key=value" pairs; see run_outcome::trace
    void add(const request_id &id,
             const caller_id &caller,
             const service_name &service,
             time_point startedAt,
             std::string result,
             std::string trace);

    /// What is known of a request; none if it was not handled here or is forgotten.
    [[nodiscard]] std::optional<request_explanation> find(const request_id &id) const;

private:
    struct entry
    {
        caller_id caller;
        service_name service;
        time_point startedAt;
        std::string result;
        std::string trace;
    };

    std::size_t m_capacity;
    std::unordered_map<request_id, entry> m_entries;
    std::deque<request_id> m_order;
};

} // namespace banyan
