#include "replica_standin.h"

#include "common/program.h"

#include <exception>

int main(int argc, char **argv)
{
    using namespace banyan;
    try {
        TCLAP::CmdLine line("Stand-in of a replica of the users' platform, for tests.");
        standins::listen_argument listen(line);
        TCLAP::ValueArg<std::string> id("", "id", "Its id in the store.", true, "", "ID", line);
        TCLAP::ValueArg<std::size_t> events("", "events", "Events of a stream.", false, 10, "N", line);
        TCLAP::ValueArg<std::size_t> slots("", "slots", "Requests at once.", false, 8, "N", line);
        TCLAP::ValueArg<std::size_t> longAnswer(
            "", "long-bytes", "Length of an answer or event below a path with /long.", false, 0, "N", line);
        TCLAP::ValueArg<unsigned> time("", "event-ms", "Time from one event to the next.", false, 20, "MS", line);
        TCLAP::ValueArg<std::string> version("", "software", "Version of its software; named in its events.", false, "", "TEXT", line);
        line.parse(argc, argv);
        asio::io_context context;
        http_server_options options = listen.options();
        options.requestIdField = "Request-Id";
        http_server server(context, options);
        standins::replica_standin replica({.id = id.getValue(),
                                           .version = version.getValue(),
                                           .slots = slots.getValue(),
                                           .longBytes = longAnswer.getValue(),
                                           .events = events.getValue(),
                                           .eventTime = std::chrono::milliseconds(time.getValue())});
        replica.addRoutes(server);
        standins::serveUntilTerminated(context, server);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "event=failed error=\"%s\"\n", error.what());
        return 1;
    }
    return 0;
}
