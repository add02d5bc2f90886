#include "banyan/core/serving/load_board.h"
#include "serving/upstream_choice.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>

namespace {

using namespace banyan;
using namespace std::chrono_literals;

constexpr std::uint32_t slots = 8;
constexpr std::array timeFactors{0.6, 1.0, 1.6};
const time_point start(1000h);

/// A service half of whose slots are in use, by this node and by another one.
struct busy_service
{
    load_board board{1500ms};
    std::mt19937_64 generator{1};
    service_schedule service;
    cell_schedule *cell = nullptr;

    explicit busy_service(std::size_t count)
    {
        service.runSeconds = 0.7;
        service.firstByteSeconds = 0.05;
        service.work = work_estimator({.firstByteSeconds = 0.05, .runSeconds = 0.7});
        node_load load{.sender = node_id("other"), .sequence = 1};
        std::set<upstream_id> usable;
        for (std::size_t index = 0; index < count; ++index) {
            const upstream_id id("i-" + std::to_string(1'000'000 + index));
            scheduled_upstream &upstream = service.upstreams[id];
            upstream.info = {.id = id, .slots = slots};
            upstream.key = static_cast<upstream_key>(index);
            upstream.online = index % (slots / 2);
            upstream.outstanding.add(upstream.online, 0.4 * upstream.online, start);
            upstream.grantedAt = start;
            for (int run = 0; run < 100; ++run) {
                upstream.speed.recordFirstByte(timeFactors[index % timeFactors.size()], start + run * 100ms);
            }
            load.usage[upstream.key] = {.online = 2, .remainingWork = 700};
            usable.insert(id);
        }
        service.outliers.setUpstreams(usable);
        board.record(load, start);
        cell = &service.cell({});
    }
};

/// Mean times of a decision, in microseconds, in several series.
std::vector<double> measure(busy_service &model, placement_policy policy, work_class workClass, std::size_t decisions)
{
    constexpr std::size_t seriesCount = 9;
    upstream_choice choice(model.board, model.generator, policy);
    const time_point now = start + 10s;
    const slot_request request{.workClass = workClass,
                               .arrivedAt = now,
                               .target = now + 300ms,
                               .deadline = now + 5s,
                               .repeatable = true,
                               .size = {.promptTokens = 450, .maximumOutputTokens = 400}};
    std::vector<double> result;
    std::size_t found = 0;
    for (std::size_t series = 0; series < seriesCount; ++series) {
        const auto begun = std::chrono::steady_clock::now();
        for (std::size_t decision = 0; decision < decisions; ++decision) {
            const scheduled_upstream *const chosen = workClass == work_class::Online
                                                         ? choice.selectForOnline(model.service, *model.cell, request, now)
                                                         : choice.selectForBatch(model.service, *model.cell, request, 50ms, now);
            found += chosen != nullptr ? 1 : 0;
        }
        const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - begun;
        result.push_back(taken.count() / static_cast<double>(decisions));
    }
    std::sort(result.begin(), result.end());
    return found > 0 ? result : std::vector<double>();
}

} // namespace

/// Measures how long the choice of an upstream takes.
int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Measures how long the choice of an upstream takes, in microseconds.", ' ', "1");
        TCLAP::ValueArg<std::size_t> decisions("n", "decisions", "in each of nine series", false, 2000, "number", command);
        command.parse(argc, argv);
        for (const std::size_t count : {32U, 90U, 1500U}) {
            busy_service model(count);
            for (const placement_policy policy : {placement_policy::LeastRuns, placement_policy::ExpectedCost}) {
                for (const work_class workClass : {work_class::Online, work_class::Batch}) {
                    const std::vector<double> series = measure(model, policy, workClass, decisions.getValue());
                    std::printf("%5zu upstreams  %-13s  %-6s  least %.2f  median %.2f  most %.2f us\n",
                                count,
                                std::string(toString(policy)).c_str(),
                                workClass == work_class::Online ? "online" : "batch",
                                series.front(),
                                series[series.size() / 2],
                                series.back());
                }
            }
        }
        return 0;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "error=\"" << error.error() << "\" argument=\"" << error.argId() << "\"\n";
        return 1;
    }
}
