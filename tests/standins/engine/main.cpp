#include "engine_standin.h"

#include "common/program.h"

#include <exception>

int main(int argc, char **argv)
{
    using namespace banyan;
    using std::chrono::milliseconds;
    try {
        TCLAP::CmdLine line("Stand-in of a model engine, for tests.");
        standins::listen_argument listen(line);
        TCLAP::ValueArg<std::string> model("", "model", "Name of the base model.", false, "advisor", "NAME", line);
        TCLAP::ValueArg<unsigned> slots("", "slots", "Concurrent requests at which a token takes twice as long.", false, 8, "N", line);
        TCLAP::ValueArg<unsigned> token("", "token-ms", "Base time of a token.", false, 2, "MS", line);
        TCLAP::ValueArg<unsigned> first("", "first-token-ms", "Base time to the first token.", false, 5, "MS", line);
        TCLAP::ValueArg<unsigned> lag("", "load-lag-ms", "How old the load report is.", false, 0, "MS", line);
        TCLAP::SwitchArg fencing("", "check-fencing", "Refuse orders with an old fencing number.", line);
        line.parse(argc, argv);

        asio::io_context context;
        http_server server(context, listen.options());
        standins::engine_standin engine({.model = model.getValue(),
                                         .slots = slots.getValue(),
                                         .tokenTime = milliseconds(token.getValue()),
                                         .firstTokenTime = milliseconds(first.getValue()),
                                         .loadLag = milliseconds(lag.getValue()),
                                         .checkFencing = fencing.getValue()});
        engine.addRoutes(server);
        standins::serveUntilTerminated(context, server);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "event=failed error=\"%s\"\n", error.what());
        return 1;
    }
    return 0;
}
