#include "site_model.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace banyan::bench {

namespace {

using namespace std::chrono_literals;

constexpr double onlineTokens = 169;
constexpr double batchTokens = 1162;
constexpr double clachanOnlineTokens = 207; // 18.8 events of 11 tokens.
constexpr double clachanBatchTokens = 1419;
constexpr double firstByteSteps = 14; // 53 ms and the prompt's 4 ms.
constexpr double wholeAnswerSpread = 0.5;
constexpr double batchSpread = 0.25;
constexpr double streamSpread = 0.4; // The sheets say 0.57, cut at 1.6 times the mean.
constexpr double verigaOnlineTokens = 224;
constexpr double verigaBatchTokens = 1536;
constexpr double unevenOnlineTokens = 207;
constexpr double unevenBatchTokens = 1419;
constexpr load_shape verigaShape{.low = 0.377, .burst = 1.84, .lowTime = 3800ms, .burstTime = 2800ms};
constexpr load_shape burstShape{.low = 0.383, .burst = 1.87, .lowTime = 3400ms, .burstTime = 2400ms};

service_model languageModel(std::string name, std::size_t upstreams, std::uint32_t slots, std::vector<double> speeds)
{
    return {.name = std::move(name),
            .upstreams = upstreams,
            .slots = slots,
            .stepTime = 4200us,
            .speeds = std::move(speeds),
            .slowShare = 0.15,
            .slowFactor = 2.5};
}

service_model application(std::string name, std::size_t upstreams)
{
    return {.name = std::move(name), .upstreams = upstreams, .slots = 6, .stepTime = 1ms, .slowShare = 0.15, .slowFactor = 2.5};
}

class_model streams(std::string name, double rate, double worth, double lateWorth)
{
    return {.name = std::move(name),
            .rate = rate,
            .target = 300ms,
            .deadline = 5s,
            .firstByteSteps = firstByteSteps,
            .tokens = onlineTokens,
            .tokenSpread = streamSpread,
            .worth = worth,
            .lateWorth = lateWorth};
}

class_model wholeAnswers(std::string name, double rate, double work, duration target, duration deadline, double lateWorth)
{
    return {.name = std::move(name),
            .service = 1,
            .rate = rate,
            .target = target,
            .deadline = deadline,
            .firstByteSteps = work,
            .tokens = 0,
            .tokenSpread = wholeAnswerSpread,
            .worth = 1,
            .lateWorth = lateWorth,
            .priority = 2};
}

job_model jobs(double rate)
{
    return {.rate = rate, .firstByteSteps = firstByteSteps, .tokens = batchTokens, .tokenSpread = batchSpread, .window = 18s};
}

site_model clachan()
{
    site_model site{.name = "clachan",
                    .nodes = 81,
                    .services = {languageModel("drafting-models", 90, 8, {0.6, 1, 1.6}), application("return-records", 4)},
                    .classes = {streams("line-explain", 340, 1.2, 0.18),
                                streams("relief-query", 72.4, 1.2, 0.18),
                                wholeAnswers("receipt-fetch", 128, 15, 300ms, 2s, 0.3)},
                    .jobs = jobs(5.14),
                    .shape = burstShape,
                    .nodeDelay = 1400us};
    site.services[0].stepTime = 3450us;
    site.classes[0].tokens = clachanOnlineTokens;
    site.classes[1].tokens = clachanOnlineTokens;
    site.jobs->tokens = clachanBatchTokens;
    return site;
}

site_model veriga()
{
    site_model site{.name = "veriga",
                    .nodes = 12,
                    .services = {languageModel("assistant-llm", 12, 8, {1}), application("billing-app", 3)},
                    .classes = {streams("wax-advice", 44.9, 6.4, 0.95),
                                streams("parcel-help", 10.9, 6.4, 0.95),
                                wholeAnswers("charge-confirm", 15.5, 15, 100ms, 600ms, 0.3)},
                    .jobs = jobs(0.686),
                    .shape = verigaShape};
    site.services[0].stepTime = 3200us;
    site.classes[0].tokens = verigaOnlineTokens;
    site.classes[1].tokens = verigaOnlineTokens;
    site.jobs->tokens = verigaBatchTokens;
    return site;
}

site_model uneven()
{
    site_model site{.name = "uneven",
                    .nodes = 12,
                    .services = {languageModel("drafting-models", 30, 8, {0.6, 1, 1.6}), application("records", 3)},
                    .classes = {streams("line-explain", 113, 1.2, 0.18),
                                streams("relief-query", 24.1, 1.2, 0.18),
                                wholeAnswers("receipt-fetch", 42.7, 15, 300ms, 2s, 0.3)},
                    .jobs = jobs(1.71),
                    .shape = burstShape};
    site.services[0].stepTime = 3370us;
    for (class_model &kind : site.classes) {
        kind.tokens = kind.tokens > 0 ? unevenOnlineTokens : 0;
    }
    site.jobs->tokens = unevenBatchTokens;
    return site;
}

site_model unevenTails()
{
    site_model site = uneven();
    site.name = "uneven-tails";
    for (class_model &kind : site.classes) {
        kind.longShare = 0.05;
        kind.longFactor = 5;
        kind.rate /= 1 + kind.longShare * (kind.longFactor - 1); // The same work a second.
    }
    return site;
}

} // namespace

double load_surge::factorAt(time_point when, std::size_t ofKind, std::size_t ofCaller) const
{
    const bool applies = when >= from && when < until && kind.value_or(ofKind) == ofKind && caller.value_or(ofCaller) == ofCaller;
    return applies ? factor : 1;
}

double job_model::rateAt(time_point when) const
{
    return when >= burstFrom && when < burstUntil ? rate * burst : rate;
}

double load_shape::factorAt(time_point when) const
{
    return isBurst(when) ? burst : low;
}

bool load_shape::isBurst(time_point when) const
{
    return when.time_since_epoch() % (lowTime + burstTime) >= lowTime;
}

site_model siteNamed(std::string_view name)
{
    if (name == "niebla") {
        return {.name = "niebla",
                .nodes = 10,
                .services = {languageModel("asesor", 18, 8, {1}), application("pedidos", 3)},
                .classes = {streams("stock-check", 64.3, 1.7, 0.26),
                            streams("price-check", 18.2, 1.7, 0.26),
                            wholeAnswers("order-confirm", 26.8, 15, 100ms, 600ms, 0.5)},
                .jobs = jobs(1.03),
                .shape = burstShape};
    }
    if (name == "nekomori") {
        return {.name = "nekomori",
                .nodes = 13,
                .services = {languageModel("rota-writer", 9, 8, {1, 1, 1.3}), application("visit-desk", 4)},
                .classes = {streams("owner-query", 36.3, 3.3, 0.5),
                            streams("sitter-note", 4.94, 3.3, 0.5),
                            wholeAnswers("visit-confirm", 13.5, 30, 150ms, 1500ms, 0.1)},
                .jobs = jobs(0.514),
                .shape = burstShape,
                .clientDelay = 1ms};
    }
    if (name == "niebla-grown") {
        return {.name = "niebla-grown",
                .nodes = 60,
                .services = {languageModel("asesor", 90, 7, {1}), application("pedidos", 3)},
                .classes = {streams("stock-check", 355, 1.4, 0.21),
                            streams("price-check", 120, 1.4, 0.21),
                            wholeAnswers("order-confirm", 153, 15, 200ms, 1s, 0.5)},
                .jobs = jobs(5.91),
                .shape = burstShape};
    }
    if (name == "nekomori-grown") {
        return {.name = "nekomori-grown",
                .nodes = 91,
                .services = {languageModel("rota-writer", 60, 7, {1, 1, 1.3}), application("visit-desk", 5)},
                .classes = {streams("owner-query", 246, 1.6, 0.23),
                            streams("sitter-note", 69.6, 1.6, 0.23),
                            wholeAnswers("visit-confirm", 103, 15, 200ms, 1500ms, 0.1)},
                .jobs = jobs(3.94),
                .shape = burstShape};
    }
    if (name == "niebla-large") {
        return {.name = "niebla-large",
                .nodes = 295,
                .services = {languageModel("asesor", 163, 7, {1}), application("pedidos", 5)},
                .classes = {streams("stock-check", 642, 1.4, 0.21),
                            streams("price-check", 217, 1.4, 0.21),
                            wholeAnswers("order-confirm", 278, 30, 200ms, 1200ms, 0.5)},
                .jobs = jobs(10.7),
                .shape = burstShape};
    }
    if (name == "veriga") {
        return veriga();
    }
    if (name == "clachan") {
        return clachan();
    }
    if (name == "veriga-jobs") {
        site_model site = veriga();
        site.name = name;
        site.jobs->burst = 30;
        site.jobs->burstFrom = time_point(8s);
        site.jobs->burstUntil = time_point(15s);
        return site;
    }
    if (name == "uneven") {
        return uneven();
    }
    if (name == "uneven-tails") {
        return unevenTails();
    }
    throw std::invalid_argument("expected the name of a site, found \"" + std::string(name) + "\"");
}

const std::vector<std::string> &siteNames()
{
    static const std::vector<std::string> names{"niebla",
                                                "nekomori",
                                                "niebla-grown",
                                                "nekomori-grown",
                                                "niebla-large",
                                                "veriga",
                                                "veriga-jobs",
                                                "clachan",
                                                "uneven",
                                                "uneven-tails"};
    return names;
}

double meanLoad(const site_model &site, std::size_t service)
{
    const service_model &upstreams = site.services[service];
    double speed = 0;
    for (const double factor : upstreams.speeds) {
        speed += factor / static_cast<double>(upstreams.speeds.size());
    }
    const double slow = 1 + upstreams.slowShare * (upstreams.slowFactor - 1);
    const double stepSeconds = std::chrono::duration<double>(upstreams.stepTime).count() * speed * slow;
    double steps = 0;
    for (const class_model &kind : site.classes) {
        steps += kind.service == service ? kind.rate * (kind.firstByteSteps + kind.tokens) : 0;
    }
    if (site.jobs && site.jobs->service == service) {
        steps += site.jobs->rate * site.jobs->items * (site.jobs->firstByteSteps + site.jobs->tokens);
    }
    return steps * stepSeconds / (static_cast<double>(upstreams.upstreams) * upstreams.slots);
}

} // namespace banyan::bench
