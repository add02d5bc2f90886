#include "banyan/core/update_queue.h"

#include <utility>

namespace banyan {

void update_queue::push(const node_id &id)
{
    const std::uint64_t serial = ++m_lastSerial;
    m_serials[id] = serial;
    if (m_byTimesSent.empty()) {
        m_byTimesSent.emplace_back();
    }
    m_byTimesSent.front().push_front({.id = id, .serial = serial});
}

const node_id *update_queue::next(std::size_t limit)
{
    for (std::deque<entry> &waiting : m_byTimesSent) {
        while (!waiting.empty()) {
            entry candidate = std::move(waiting.front());
            waiting.pop_front();
            const auto current = m_serials.find(candidate.id);
            if (current == m_serials.end() || current->second != candidate.serial) {
                continue;
            }
            if (++candidate.timesSent >= limit) {
                m_serials.erase(current);
            }
            m_handedOut.push_back(std::move(candidate));
            return &m_handedOut.back().id;
        }
    }
    return nullptr;
}

void update_queue::beginMessage()
{
    requeueEntries();
}

void update_queue::requeueEntries()
{
    for (entry &handedOut : m_handedOut) {
        const auto current = m_serials.find(handedOut.id);
        if (current == m_serials.end() || current->second != handedOut.serial) {
            continue;
        }
        if (m_byTimesSent.size() <= handedOut.timesSent) {
            m_byTimesSent.resize(handedOut.timesSent + 1);
        }
        m_byTimesSent[handedOut.timesSent].push_front(std::move(handedOut));
    }
    m_handedOut.clear();
}

} // namespace banyan
