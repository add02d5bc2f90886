#include "plot.h"

#include <algorithm>
#include <array>
#include <functional>

namespace banyan::bench {

namespace {

constexpr double width = 900; // Of a panel, in units of the drawing.
constexpr double height = 130;
constexpr double margin = 50;
constexpr std::array<const char *, 6> colours{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf"};

struct panel
{
    std::string title;
    std::function<double(const window_result &)> value;
};

double highestOf(const panel &drawn, const std::vector<named_result> &runs)
{
    double highest = 1;
    for (const named_result &run : runs) {
        for (const window_result &window : run.result.windows) {
            highest = std::max(highest, drawn.value(window));
        }
    }
    return highest;
}

void drawLine(const panel &drawn,
              const std::vector<window_result> &windows,
              double top,
              double highest,
              const char *colour,
              std::ostream &out)
{
    out << "<polyline fill='none' stroke='" << colour << "' points='";
    for (std::size_t index = 0; index < windows.size(); ++index) {
        const double x = margin + width * static_cast<double>(index) / static_cast<double>(windows.size());
        out << x << ',' << top + height * (1 - drawn.value(windows[index]) / highest) << ' ';
    }
    out << "'/>\n";
}

} // namespace

void plot(const std::vector<named_result> &runs, std::ostream &out)
{
    const std::vector<panel> panels{
        {.title = "credit of online requests that begin then",
         .value =
             [](const window_result &window) {
                 return window.credit;
             }},
        {.title = "online runs that wait",
         .value =
             [](const window_result &window) {
                 return window.waiting;
             }},
        {.title = "refusals",
         .value =
             [](const window_result &window) {
                 return static_cast<double>(window.refusals);
             }},
        {.title = "batch runs at upstreams",
         .value =
             [](const window_result &window) {
                 return window.batchRunning;
             }},
    };
    const double total = (height + margin) * static_cast<double>(panels.size()) + margin;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width + 2 * margin << "' height='" << total
        << "' font-family='sans-serif' font-size='12'>\n";
    for (std::size_t index = 0; index < runs.size(); ++index) {
        out << "<text x='" << margin + 150 * static_cast<double>(index) << "' y='16' fill='" << colours[index % colours.size()] << "'>"
            << runs[index].name << "</text>\n";
    }
    double top = margin;
    for (const panel &drawn : panels) {
        const double highest = highestOf(drawn, runs);
        out << "<text x='" << margin << "' y='" << top - 5 << "'>" << drawn.title << " (0 to " << highest << ")</text>\n";
        out << "<rect x='" << margin << "' y='" << top << "' width='" << width << "' height='" << height
            << "' fill='none' stroke='#ccc'/>\n";
        for (std::size_t index = 0; index < runs.size(); ++index) {
            drawLine(drawn, runs[index].result.windows, top, highest, colours[index % colours.size()], out);
        }
        top += height + margin;
    }
    out << "</svg>\n";
}

} // namespace banyan::bench
