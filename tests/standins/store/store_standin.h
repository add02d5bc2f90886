#pragma once

#include "common/memory_tables.h"

#include "banyan/core/time.h"
#include "banyan/io/http_exchange.h"
#include "banyan/io/http_server.h"

#include <string>

namespace banyan::standins {

/// The users' store by its protocol: rows, their changes and objects, with faults that a test switches on.
///
/// POST /standin/faults takes "mode" (up, busy: 503, reset: closes without an answer, silent: no answer), "delay_ms" and
/// "lose_answers" (so many changes take effect without an answer); POST /standin/rows sets a row in any table
/// to a JSON "value" or to any "text"; POST /standin/forget drops the history. A reader that names the store 127.0.1.N is told
/// that address, with their ports, as that of all replicas.
class store_standin
{
public:
    void addRoutes(http_server &server);

private:
    using handler = task<> (store_standin::*)(http_exchange &);

    void addFaultyRoute(http_server &server, const std::string &method, const std::string &pattern, handler handle);
    task<> handleCommit(http_exchange &exchange);
    task<> handleRead(http_exchange &exchange);
    task<> handleChanges(http_exchange &exchange);
    task<> handlePutObject(http_exchange &exchange);
    task<> handleGetObject(http_exchange &exchange);
    task<> handleDropObject(http_exchange &exchange);
    task<> handleFaults(http_exchange &exchange);
    task<> handleSetRow(http_exchange &exchange);
    task<> handleForget(http_exchange &exchange);
    [[nodiscard]] bool losesAnswer();
    [[nodiscard]] std::int64_t nowMilliseconds() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_tables.clock()).count();
    }

    memory_tables m_tables;
    std::string m_mode = "up";
    duration m_delay{};
    int m_loseAnswers = 0;
};

} // namespace banyan::standins
