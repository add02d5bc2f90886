#pragma once

#include "banyan/core/final_result.h"
#include "banyan/io/answer_sink.h"
#include "banyan/io/http_message.h"

#include <cstddef>
#include <memory>

namespace banyan {

/// Collects an upstream's answer that is passed on, stored or examined as a whole.
///
/// @code
/// whole_answer answer;
/// const run_outcome outcome = co_await router.run(request, answer.sink(), cancellation);
/// use(answer.take());
/// @endcode
class whole_answer
{
public:
    /// Bytes of a body beyond which the answer is given up.
    static constexpr std::size_t maximumBody = std::size_t(8) << 20;

    /// A sink that collects into this answer, also after this object has gone. Its piece() throws std::length_error if the
    /// body grows beyond maximumBody, which ends the request.
    [[nodiscard]] answer_sink sink() const;

    /// Takes the answer out.
    [[nodiscard]] http_response take();

private:
    std::shared_ptr<http_response> m_response = std::make_shared<http_response>();
};

/// Whether an answer is known not to be cut: by its frame, or because its body is a whole JSON object or array.
[[nodiscard]] bool isProvenWhole(const http_response &response);

/// The result of a run whose answer is kept as a whole: if it may have been cut, it counts as lost.
[[nodiscard]] final_result resultOfKept(const final_result &result, const http_response &response, bool repeatable);

} // namespace banyan
