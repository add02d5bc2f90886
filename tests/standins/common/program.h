#pragma once

#include "banyan/io/http_server.h"

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <string>

namespace banyan::standins {

/// The argument that each stand-in has: where it listens.
class listen_argument
{
public:
    explicit listen_argument(TCLAP::CmdLine &line)
        : m_value("", "listen", "Address and port to listen on; port 0 takes a free one.", false, "127.0.0.1:0", "ADDRESS:PORT", line)
    {
    }

    [[nodiscard]] http_server_options options()
    {
        return {.listen = endpoint::parse(m_value.getValue())};
    }

private:
    TCLAP::ValueArg<std::string> m_value;
};

/// Starts @p server, prints the ready line and serves until SIGTERM or SIGINT.
inline void serveUntilTerminated(asio::io_context &context, http_server &server)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) {
        context.stop();
    });
    server.start();
    std::printf("event=ready address=%s\n", server.address().toString().c_str());
    std::fflush(stdout);
    context.run();
}

} // namespace banyan::standins
