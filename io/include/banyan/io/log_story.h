#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <utility>
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
    struct entry
    {
        std::string source; ///< The prefix.
        double seconds = 0; ///< Of the day.
        std::string event;
        std::vector<std::pair<std::string, std::string>> fields;

        [[nodiscard]] std::string value(std::string_view name) const;
        [[nodiscard]] std::string upstream() const;
    };

    [[nodiscard]] static bool read(std::string_view line, entry &result);
    [[nodiscard]] bool concerns(const entry &line) const;
    [[nodiscard]] std::string causeOf(const entry &end) const;
    [[nodiscard]] std::string placeOf(const entry &end) const;

    std::string m_id;
    std::vector<entry> m_own; ///< That name the request.
    std::vector<entry> m_upstreamEvents; ///< Of all upstreams.
};

} // namespace banyan
