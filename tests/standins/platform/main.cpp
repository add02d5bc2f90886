#include "platform_standin.h"

#include "common/program.h"

#include <exception>

int main(int argc, char **argv)
{
    using namespace banyan;
    try {
        TCLAP::CmdLine line("Stand-in of the platform's services, for tests.");
        standins::listen_argument listen(line);
        TCLAP::ValueArg<unsigned> weights("", "weights-per-second", "Weight files given out in a second.", false, 2, "N", line);
        line.parse(argc, argv);

        asio::io_context context;
        http_server server(context, listen.options());
        standins::platform_standin platform({.weightsPerSecond = weights.getValue()});
        platform.addRoutes(server);
        standins::serveUntilTerminated(context, server);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "event=failed error=\"%s\"\n", error.what());
        return 1;
    }
    return 0;
}
