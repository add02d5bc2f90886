#pragma once

#include "banyan/core/endpoint.h"

#include <chrono>
#include <memory>

namespace banyan::soak {

/// What a fault_proxy does with the connections that pass it.
enum class proxy_mode {
    Pass,
    Delay, ///< Each piece comes later.
    Reset, ///< Open connections are reset, and new ones at once.
    SilentAnswers, ///< What the server sends is dropped.
    Silent, ///< What either side sends is dropped.
    Refuse, ///< New connections are refused, open ones live on.
    Hang, ///< What either side sends is dropped, and new connections get no answer.
    Repeat, ///< Each whole answer comes once more, later.
};

/// Forwards TCP connections on loopback, in a thread of its own, and spoils them on demand.
class fault_proxy
{
public:
    explicit fault_proxy(const endpoint &target, const endpoint &listen = {.address = "127.0.0.1", .port = 0});
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    /// Where it listens.
    [[nodiscard]] endpoint address() const;

    /// Changes what happens to open and new connections. Connections that were silent stay so until they are closed.
    void setMode(proxy_mode mode, std::chrono::milliseconds delay = std::chrono::milliseconds(0));

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan::soak
