#include "banyan/io/recorded_run.h"

#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/record_service.h"
#include "banyan/io/run_answer.h"
#include "banyan/io/whole_answer.h"

#include <exception>
#include <utility>

namespace banyan {

namespace {

/// How long a caller waits for the commit of its result before it is told; the commit goes on.
constexpr duration commitTimeout = std::chrono::milliseconds(500);

/// Passes a whole answer on; it does not matter here whether the reader is still there.
task<> passOn(answer_sink sink, http_response response)
{
    try {
        co_await sink.head(response.status, std::move(response.fields));
        if (!response.body.empty()) {
            co_await sink.piece(std::move(response.body));
        }
    } catch (const std::exception &error) {
        logEvent(log_level::Info, "owner_gone", {{"error", error.what()}});
    }
}

} // namespace

task<run_outcome> runForPeer(cell_runner run,
                             record_service &records,
                             cell_id cell,
                             run_request request,
                             answer_sink sink,
                             std::shared_ptr<run_cancellation> cancellation)
{
    if (request.recordKey.empty() || request.dispatch.repeatable) {
        run_outcome direct = co_await run(std::move(cell), std::move(request), std::move(sink), std::move(cancellation));
        co_return direct;
    }
    const std::string recordKey = request.recordKey;
    const std::uint64_t fencingNumber = request.fencingNumber;
    whole_answer collected;
    run_outcome outcome = co_await run(std::move(cell), std::move(request), collected.sink(), nullptr);
    http_response kept = collected.take();
    outcome.result = resultOfKept(outcome.result, kept, false);
    const bool completed = outcome.result.what == disposition::Completed;
    if (outcome.startRecorded && outcome.result.what != disposition::NotRun) {
        run_answer answer{.result = outcome.result};
        if (completed) {
            answer.response = kept;
        }
        co_await records.recordResult(recordKey, fencingNumber, std::move(answer), currentTime() + commitTimeout);
    }
    if (completed) {
        co_await passOn(std::move(sink), std::move(kept));
    }
    co_return outcome;
}

} // namespace banyan
