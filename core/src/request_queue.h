#pragma once

#include "banyan/core/dispatch_request.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace banyan {

/// The waiting requests of one class, first in, first out.
class request_queue
{
public:
    /// Appends @p request.
    void push(const dispatch_request &request);

    /// Puts @p request before all others.
    void pushFront(const dispatch_request &request);

    /// Takes out a request; returns whether it was there.
    bool remove(const request_id &request);

    /// The request to start next for which @p accepts returns true; it stays in the queue.
    template<typename Predicate>
    [[nodiscard]] const dispatch_request *next(Predicate accepts) const
    {
        for (const dispatch_request &request : m_requests) {
            if (accepts(request)) {
                return &request;
            }
        }
        return nullptr;
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_requests.size();
    }

private:
    std::deque<dispatch_request> m_requests;
};

} // namespace banyan
