#pragma once

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

} // namespace banyan
