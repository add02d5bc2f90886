#pragma once

#include "banyan/io/log_line.h"

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// What the log lines of one or more gateways tell of one request, job or item.
///
/// Lines may have a prefix, for example the name of the VM that a collector puts there. They are put in order by the time of
/// day, so that a story must not go over midnight.
///
/// @code
/// log_story story("5f1d");
/// for (std::string line; std::getline(input, line);) {
///     story.add(line);
/// }
/// story.print(std::cout);
/// @endcode
class log_story
{
public:
    explicit log_story(std::string id);

    /// Takes in a line; one that is no log line is passed over.
    void add(std::string_view line);

    /// Whether no line tells of the request.
    [[nodiscard]] bool isEmpty() const;

    /// Prints the lines that concern the request in order of time, with what happened to its upstreams around them, and then
    /// the cause of its end in a sentence.
    void print(std::ostream &out) const;

private:
    [[nodiscard]] bool concerns(const log_line &line) const;
    [[nodiscard]] std::string causeOf(const log_line &end) const;
    [[nodiscard]] std::string placeOf(const log_line &end) const;

    std::string m_id;
    std::vector<log_line> m_own; ///< That name the request.
    std::vector<log_line> m_upstreamEvents; ///< Of all upstreams.
};

} // namespace banyan
