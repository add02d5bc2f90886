#include "service_standin.h"

#include "common/program.h"

#include <exception>

int main(int argc, char **argv)
{
    using namespace banyan;
    try {
        TCLAP::CmdLine line("Stand-in of a plain service, for tests.");
        standins::listen_argument listen(line);
        TCLAP::ValueArg<unsigned> work("", "work-ms", "Time that each request takes.", false, 0, "MS", line);
        TCLAP::SwitchArg fencing("", "check-fencing", "Refuse runs with an old fencing number.", line);
        line.parse(argc, argv);

        asio::io_context context;
        http_server server(context, listen.options());
        standins::service_standin service({.workTime = std::chrono::milliseconds(work.getValue()), .checkFencing = fencing.getValue()});
        service.addRoutes(server);
        standins::serveUntilTerminated(context, server);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "event=failed error=\"%s\"\n", error.what());
        return 1;
    }
    return 0;
}
