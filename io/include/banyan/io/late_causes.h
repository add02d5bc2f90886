#pragma once

#include "banyan/io/log_line.h"

#include <cstddef>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <string_view>

namespace banyan {

/// Counts why online requests were not answered in time, from the log lines of one or more gateways.
///
/// | cause | the request |
/// |---|---|
/// | in_time | was answered, and its first byte came within its route's target |
/// | refused: REASON | was refused |
/// | without_verdict | came late, and its placing gateway did not answer |
/// | attempt_failed | came late, and an attempt had failed |
/// | waited | came late, and waited for a slot for more than half of the time to the first byte |
/// | slow_upstream | came late, for none of these reasons |
/// | no_target | was answered; its line does not tell the target |
/// | DISPOSITION: REASON | had no whole answer |
class late_causes
{
public:
    /// Takes in a line; one that is no log line is passed over.
    void add(std::string_view line);

    /// Prints the causes with their counts and shares, the greatest first, and the share in time for each second of the day in
    /// which requests ended.
    void print(std::ostream &out) const;

    /// Requests of each cause.
    [[nodiscard]] const std::map<std::string, std::size_t> &counts() const
    {
        return m_counts;
    }

private:
    struct second
    {
        std::size_t requests = 0;
        std::size_t inTime = 0;
    };

    [[nodiscard]] std::string causeOf(const log_line &end) const;

    std::map<std::string, std::size_t> m_counts;
    std::map<long, second> m_course;
    std::set<std::string> m_withoutVerdict; ///< Requests.
};

} // namespace banyan
