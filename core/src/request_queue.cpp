#include "request_queue.h"

#include <algorithm>

namespace banyan {

void request_queue::push(const dispatch_request &request)
{
    m_requests.push_back(request);
}

void request_queue::pushFront(const dispatch_request &request)
{
    m_requests.push_front(request);
}

bool request_queue::remove(const request_id &request)
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(), [&](const dispatch_request &waiting) {
        return waiting.id == request;
    });
    if (found == m_requests.end()) {
        return false;
    }
    m_requests.erase(found);
    return true;
}

} // namespace banyan
