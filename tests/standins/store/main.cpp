#include "store_standin.h"

#include "common/program.h"

#include <exception>

int main(int argc, char **argv)
{
    using namespace banyan;
    try {
        TCLAP::CmdLine line("Stand-in of the users' store, for tests.");
        standins::listen_argument listen(line);
        line.parse(argc, argv);
        asio::io_context context;
        http_server server(context, listen.options());
        standins::store_standin store;
        store.addRoutes(server);
        standins::serveUntilTerminated(context, server);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "event=failed error=\"%s\"\n", error.what());
        return 1;
    }
    return 0;
}
