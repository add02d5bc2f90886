#include "banyan/io/operator_tool.h"

#include "banyan/io/http_client.h"
#include "banyan/io/http_error.h"
#include "banyan/io/json_text.h"
#include "banyan/io/late_causes.h"
#include "banyan/io/log_story.h"
#include "operator_command.h"
#include "usage_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr duration callTimeout = std::chrono::seconds(30);
constexpr unsigned firstRefusal = 300; ///< HTTP status from which an answer is a refusal or a failure.

/// Runs one exchange to its end. @throws http_error
http_response exchangeOnce(const operator_command &command)
{
    asio::io_context context;
    http_client client(context, {});
    auto answer = asio::co_spawn(context, client.exchange(command.node, command.request, callTimeout), asio::use_future);
    context.run();
    return answer.get();
}

/// The message of an error answer, and what else it says.
std::string refusalText(const http_response &response)
{
    boost::system::error_code error;
    const json::value body = json::parse(response.body, error);
    const json::object *object = error ? nullptr : body.if_object();
    const json::value *details = object == nullptr ? nullptr : object->if_contains("error");
    if (details == nullptr || !details->is_object()) {
        return "status " + std::to_string(response.status) + ": " + response.body;
    }
    json::object rest = *object;
    rest.erase("error");
    const std::string text = "status " + std::to_string(response.status) + ", " + toText(json::object(details->as_object()));
    return rest.empty() ? text : text + toText(rest);
}

bool isExplainFromLogs(const std::vector<std::string> &arguments)
{
    return !arguments.empty() && arguments.front() == "explain"
           && std::find(arguments.begin(), arguments.end(), std::string("--log")) != arguments.end();
}

/// Reads the arguments of a command that needs no node. Returns false if they ask for help, which has been printed then.
bool parse(TCLAP::CmdLine &line, const std::string &command, std::vector<std::string> arguments)
{
    arguments.front() = command;
    try {
        line.parse(arguments);
    } catch (const TCLAP::ArgException &error) {
        throw usage_error(error.argId() + ": " + error.error());
    } catch (const TCLAP::ExitException &) {
        return false;
    }
    return true;
}

/// Gives the lines of files to @p reader; - stands for standard input.
template<typename Reader>
void addFiles(const std::vector<std::string> &names, Reader &reader)
{
    for (const std::string &name : names) {
        std::ifstream file;
        if (name != "-") {
            file.open(name);
            if (!file) {
                throw usage_error("--log: expected a file that can be read, found " + name);
            }
        }
        std::istream &input = name == "-" ? std::cin : file;
        for (std::string line; std::getline(input, line);) {
            reader.add(line);
        }
    }
}

} // namespace

operator_tool::operator_tool(operator_tool_options options, std::ostream &output, std::ostream &errors)
    : m_options(std::move(options))
    , m_output(output)
    , m_errors(errors)
{
}

tool_exit operator_tool::run(const std::vector<std::string> &arguments)
{
    try {
        if (isExplainFromLogs(arguments)) {
            return explainFromLogs(arguments);
        }
        if (!arguments.empty() && arguments.front() == "causes") {
            return countCauses(arguments);
        }
        const operator_command command = parseOperatorCommand(arguments, m_options);
        const http_response response = exchangeOnce(command);
        if (response.status >= firstRefusal) {
            m_errors << "banyanctl: " << refusalText(response);
            return tool_exit::Refused;
        }
        m_output << (command.json ? response.body + "\n" : toText(json::parse(response.body)));
        return tool_exit::Done;
    } catch (const help_requested &help) {
        m_output << help.what();
        return tool_exit::Done;
    } catch (const usage_error &error) {
        m_errors << "banyanctl: " << error.what() << "\n";
        return tool_exit::Usage;
    } catch (const http_error &error) {
        m_errors << "banyanctl: no answer from the node: " << error.what() << "\n";
        return tool_exit::Unreachable;
    }
}

tool_exit operator_tool::explainFromLogs(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Tells what the logs of gateways say of a request, a job or an item, and the cause of its end.", ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::UnlabeledValueArg<std::string> id("id", "Id of the request, the job or the item.", true, "", "ID", line);
    TCLAP::MultiArg<std::string> files("", "log", "File with log lines; - for standard input.", true, "FILE", line);
    if (!parse(line, "banyanctl explain", std::move(arguments))) {
        return tool_exit::Done;
    }
    log_story story(id.getValue());
    addFiles(files.getValue(), story);
    story.print(m_output);
    return story.isEmpty() ? tool_exit::Refused : tool_exit::Done;
}

tool_exit operator_tool::countCauses(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Counts in the logs of gateways why online requests were not answered in time.", ' ', "0.1.0");
    line.setExceptionHandling(false);
    TCLAP::MultiArg<std::string> files("", "log", "File with log lines; - for standard input.", true, "FILE", line);
    if (!parse(line, "banyanctl causes", std::move(arguments))) {
        return tool_exit::Done;
    }
    late_causes causes;
    addFiles(files.getValue(), causes);
    causes.print(m_output);
    return causes.counts().empty() ? tool_exit::Refused : tool_exit::Done;
}

} // namespace banyan
