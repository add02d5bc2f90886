#include "banyan/io/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace banyan {

namespace {

const prometheus::Histogram::BucketBoundaries &secondBuckets()
{
    static const prometheus::Histogram::BucketBoundaries boundaries = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 16, 32, 64, 128};
    return boundaries;
}

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

class node_metrics::implementation
{
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests =
        prometheus::BuildCounter().Name("banyan_requests_total").Help("Requests of callers by their end.").Register(registry);
    prometheus::Family<prometheus::Histogram> &requestSeconds =
        prometheus::BuildHistogram().Name("banyan_request_seconds").Help("Time from a request's arrival to its end.").Register(registry);
    prometheus::Family<prometheus::Histogram> &firstByteSeconds = prometheus::BuildHistogram()
                                                                      .Name("banyan_first_byte_seconds")
                                                                      .Help("Time from a request's arrival to its answer's first byte.")
                                                                      .Register(registry);
    prometheus::Family<prometheus::Counter> &attempts =
        prometheus::BuildCounter().Name("banyan_attempts_total").Help("Attempts at upstreams by their end.").Register(registry);
    prometheus::Family<prometheus::Counter> &events =
        prometheus::BuildCounter().Name("banyan_events_total").Help("Events by kind.").Register(registry);
    prometheus::Family<prometheus::Gauge> &states =
        prometheus::BuildGauge().Name("banyan_state").Help("Values of this node by name.").Register(registry);
};

node_metrics::node_metrics()
    : m_implementation(std::make_unique<implementation>())
{
}

node_metrics::~node_metrics() = default;

void node_metrics::requestEnded(std::string_view service, work_class workClass, const final_result &result, duration taken)
{
    const std::string serviceText(service);
    const std::string classText(toString(workClass));
    m_implementation->requests
        .Add({{"service", serviceText},
              {"class", classText},
              {"disposition", std::string(toString(result.what))},
              {"reason", std::string(toString(result.reason))}})
        .Increment();
    m_implementation->requestSeconds.Add({{"service", serviceText}, {"class", classText}}, secondBuckets()).Observe(toSeconds(taken));
}

void node_metrics::firstByte(std::string_view service, work_class workClass, duration taken)
{
    m_implementation->firstByteSeconds
        .Add({{"service", std::string(service)}, {"class", std::string(toString(workClass))}}, secondBuckets())
        .Observe(toSeconds(taken));
}

void node_metrics::attemptEnded(std::string_view outcome, bool hedge)
{
    m_implementation->attempts.Add({{"outcome", std::string(outcome)}, {"hedge", hedge ? "true" : "false"}}).Increment();
}

void node_metrics::count(std::string_view event)
{
    m_implementation->events.Add({{"event", std::string(event)}}).Increment();
}

void node_metrics::setTotal(std::string_view event, std::uint64_t total)
{
    prometheus::Counter &counter = m_implementation->events.Add({{"event", std::string(event)}});
    counter.Increment(static_cast<double>(total) - counter.Value());
}

void node_metrics::set(std::string_view state, double value)
{
    m_implementation->states.Add({{"name", std::string(state)}}).Set(value);
}

std::string node_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace banyan
