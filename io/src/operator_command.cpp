#include "operator_command.h"

#include "usage_error.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <tclap/CmdLine.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <sstream>
#include <string_view>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::string_view apiBase = "/operator/v1";
constexpr std::string_view urlScheme = "http://";

/// Prints TCLAP's help to a text in place of standard output.
class text_help : public TCLAP::StdOutput
{
public:
    void usage(TCLAP::CmdLineInterface &line) override
    {
        std::ostringstream text;
        text << line.getMessage() << "\n\nUsage:\n";
        _shortUsage(line, text);
        text << "\nWhere:\n\n";
        _longUsage(line, text);
        throw help_requested(text.str());
    }

    void failure(TCLAP::CmdLineInterface & /*line*/, TCLAP::ArgException &error) override
    {
        throw error;
    }
};

/// The arguments of one command: those that all commands have and, added by each command, its own.
class command_arguments
{
public:
    explicit command_arguments(const std::string &help)
        : line(help + " Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 no answer from the node.")
        , m_outputChoice({"text", "json"})
        , m_url("", "operator-url", "The node's operator address; default: BANYAN_OPERATOR_URL.", false, "", "http://IP:PORT", line)
        , m_key("", "key", "The operator's key; default: BANYAN_OPERATOR_KEY.", false, "", "KEY", line)
        , m_output("", "output", "How to print the answer.", false, "text", &m_outputChoice, line)
    {
        line.setOutput(&m_help);
        line.setExceptionHandling(false);
    }

    /// Adds "--name VALUE".
    void addOption(const std::string &name, const std::string &help, bool required)
    {
        m_options.push_back(std::make_unique<TCLAP::ValueArg<std::string>>("", name, help, required, "", "VALUE", line));
    }

    /// Adds an argument without a name.
    void addPosition(const std::string &name, const std::string &help)
    {
        m_positions.push_back(std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(name, help, true, "", name, line));
    }

    /// The value of an option; none if it was not given.
    [[nodiscard]] std::optional<std::string> option(const std::string &name) const
    {
        for (const auto &candidate : m_options) {
            if (candidate->getName() == name && candidate->isSet()) {
                return candidate->getValue();
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] std::string position(std::size_t index) const
    {
        return m_positions.at(index)->getValue();
    }

    [[nodiscard]] std::string url(const operator_tool_options &options) const
    {
        return m_url.isSet() ? m_url.getValue() : options.environmentUrl.value_or("");
    }

    [[nodiscard]] std::string key(const operator_tool_options &options) const
    {
        return m_key.isSet() ? m_key.getValue() : options.environmentKey.value_or("");
    }

    [[nodiscard]] bool json() const
    {
        return m_output.getValue() == "json";
    }

    TCLAP::CmdLine line;

private:
    text_help m_help;
    TCLAP::ValuesConstraint<std::string> m_outputChoice;
    TCLAP::ValueArg<std::string> m_url;
    TCLAP::ValueArg<std::string> m_key;
    TCLAP::ValueArg<std::string> m_output;
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> m_options;
    std::vector<std::unique_ptr<TCLAP::UnlabeledValueArg<std::string>>> m_positions;
};

/// One command: its words, its help, its own arguments and the request that it makes.
struct command_definition
{
    std::vector<std::string> words;
    std::string help;
    std::function<void(command_arguments &)> addArguments;
    std::function<http_request(const command_arguments &)> makeRequest;
};

std::string percentEncode(const std::string &text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
            result += character;
        } else {
            result += '%';
            result += digits[byte >> 4U];
            result += digits[byte & 0xfU];
        }
    }
    return result;
}

http_request get(const std::string &path)
{
    return {.method = "GET", .target = std::string(apiBase) + path};
}

http_request post(const std::string &path, const json::object &body)
{
    return {.method = "POST",
            .target = std::string(apiBase) + path,
            .fields = {{"Content-Type", "application/json"}},
            .body = json::serialize(body)};
}

/// "?a=1&b=2" of the options that were given.
std::string queryOf(const command_arguments &arguments, const std::vector<std::string> &names)
{
    std::string query;
    for (const std::string &name : names) {
        if (const std::optional<std::string> value = arguments.option(name)) {
            query += (query.empty() ? "?" : "&") + name + "=" + percentEncode(*value);
        }
    }
    return query;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw usage_error("--file: cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

json::value patchOf(const command_arguments &arguments)
{
    const std::optional<std::string> file = arguments.option("file");
    const std::optional<std::string> text = arguments.option("patch");
    if (file.has_value() == text.has_value()) {
        throw usage_error("expected one of --patch and --file");
    }
    boost::system::error_code error;
    json::value patch = json::parse(file ? readFile(*file) : *text, error);
    if (error) {
        throw usage_error("the patch is not valid JSON: " + error.message());
    }
    return patch;
}

std::uint64_t baseVersionOf(const command_arguments &arguments)
{
    const std::string text = arguments.option("base").value_or("");
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) {
        throw usage_error("--base: expected a version number, found \"" + text + "\"");
    }
    return std::stoull(text);
}

http_request patchRequest(const command_arguments &arguments)
{
    json::object submission = {
        {"base_version", baseVersionOf(arguments)}, {"patch", patchOf(arguments)}, {"reason", arguments.option("reason").value_or("")}};
    if (const std::optional<std::string> id = arguments.option("submission-id")) {
        submission["submission_id"] = *id;
    }
    return post("/configuration/patches", submission);
}

void addNothing(command_arguments & /*arguments*/)
{
}

void addPatchOptions(command_arguments &arguments)
{
    arguments.addOption("submission-id", "Of a patch whose outcome is unknown, to learn it.", false);
    arguments.addOption("reason", "Why; kept in the audit trail.", true);
    arguments.addOption("file", "File with the patch, a JSON merge patch.", false);
    arguments.addOption("patch", "The patch itself.", false);
    arguments.addOption("base", "Version that the patch was made for; applied to no other.", true);
}

void addAuditOptions(command_arguments &arguments)
{
    arguments.addOption("limit", "Most records to print.", false);
    arguments.addOption("until", "Only records before this time, such as 2026-12-04T03:00:00Z.", false);
    arguments.addOption("after", "Only records with greater numbers: where to go on.", false);
    arguments.addOption("from", "Only records of this time and later.", false);
    arguments.addOption("accepted", "Only what was accepted (true) or refused (false).", false);
    arguments.addOption("operator", "Only records of this operator.", false);
    arguments.addOption("kind", "Only records of this kind, such as patch or drain.", false);
}

void addJob(command_arguments &arguments)
{
    arguments.addPosition("JOB", "The job's id.");
}

/// A command that reads one path and has no arguments of its own.
command_definition reader(const std::string &word, const std::string &help)
{
    const auto request = [word](const command_arguments &) {
        return get("/" + word);
    };
    return {.words = {word}, .help = help, .addArguments = addNothing, .makeRequest = request};
}

command_definition showConfigurationCommand()
{
    const auto request = [](const command_arguments &) {
        return get("/configuration");
    };
    return {.words = {"config", "show"}, .help = "Shows the configuration in force.", .addArguments = addNothing, .makeRequest = request};
}

command_definition patchCommand()
{
    return {.words = {"config", "patch"},
            .help = "Submits a patch against a version of the configuration.",
            .addArguments = addPatchOptions,
            .makeRequest = patchRequest};
}

command_definition auditCommand()
{
    const auto request = [](const command_arguments &arguments) {
        return get("/audit" + queryOf(arguments, {"kind", "operator", "accepted", "from", "after", "until", "limit"}));
    };
    return {.words = {"audit"}, .help = "Shows the audit trail.", .addArguments = addAuditOptions, .makeRequest = request};
}

command_definition jobsCommand()
{
    const auto add = [](command_arguments &arguments) {
        arguments.addOption("caller", "Only jobs of this caller.", false);
    };
    const auto request = [](const command_arguments &arguments) {
        return get("/jobs" + queryOf(arguments, {"caller"}));
    };
    return {.words = {"jobs"}, .help = "Lists batch jobs.", .addArguments = add, .makeRequest = request};
}

command_definition showJobCommand()
{
    const auto request = [](const command_arguments &arguments) {
        return get("/jobs/" + percentEncode(arguments.position(0)));
    };
    return {.words = {"job", "show"}, .help = "Shows one batch job.", .addArguments = addJob, .makeRequest = request};
}

command_definition cancelJobCommand()
{
    const auto request = [](const command_arguments &arguments) {
        return post("/jobs/" + percentEncode(arguments.position(0)) + "/cancel", {});
    };
    return {.words = {"job", "cancel"}, .help = "Cancels a batch job.", .addArguments = addJob, .makeRequest = request};
}

command_definition drainCommand()
{
    const auto request = [](const command_arguments &) {
        return post("/drain", {});
    };
    return {.words = {"drain"},
            .help = "Begins a planned stop of the node: it takes no new requests and ends when those in progress have ended.",
            .addArguments = addNothing,
            .makeRequest = request};
}

command_definition explainCommand()
{
    const auto add = [](command_arguments &arguments) {
        arguments.addPosition("REQUEST_ID", "The X-Request-Id of the answer.");
    };
    const auto request = [](const command_arguments &arguments) {
        return get("/explain/" + percentEncode(arguments.position(0)));
    };
    return {.words = {"explain"},
            .help =
                "Shows what was done with a request: upstreams tried, decisions, reasons and times. With --log FILE it needs no node and "
                "reads the log lines of gateways.",
            .addArguments = add,
            .makeRequest = request};
}

const std::vector<command_definition> &commands()
{
    static const std::vector<command_definition> all = {showConfigurationCommand(),
                                                        patchCommand(),
                                                        auditCommand(),
                                                        reader("services", "Lists the services."),
                                                        reader("upstreams", "Lists the upstreams that the node knows."),
                                                        jobsCommand(),
                                                        showJobCommand(),
                                                        cancelJobCommand(),
                                                        reader("status", "Shows the node's state."),
                                                        drainCommand(),
                                                        explainCommand()};
    return all;
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : " ") + word;
    }
    return text;
}

std::string overview()
{
    std::string text = "banyanctl COMMAND [OPTIONS]; banyanctl COMMAND --help tells more.\n\n";
    for (const command_definition &command : commands()) {
        text += "  " + joined(command.words) + "\n      " + command.help + "\n";
    }
    text += "  causes\n      Counts in log lines of gateways, with --log FILE, why online requests were not answered in time.\n";
    return text;
}

bool beginsWith(const std::vector<std::string> &arguments, const std::vector<std::string> &words)
{
    return arguments.size() >= words.size() && std::equal(words.begin(), words.end(), arguments.begin());
}

const command_definition &findCommand(const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        throw usage_error("expected a command\n" + overview());
    }
    if (arguments.front() == "--help" || arguments.front() == "-h") {
        throw help_requested(overview());
    }
    for (const command_definition &command : commands()) {
        if (beginsWith(arguments, command.words)) {
            return command;
        }
    }
    throw usage_error("unknown command: " + arguments.front() + "\n" + overview());
}

endpoint nodeAt(const std::string &url)
{
    if (url.empty()) {
        throw usage_error("expected --operator-url or BANYAN_OPERATOR_URL");
    }
    try {
        const std::string address = url.starts_with(urlScheme) ? url.substr(urlScheme.size()) : url;
        return endpoint::parse(address.ends_with('/') ? address.substr(0, address.size() - 1) : address);
    } catch (const std::invalid_argument &) {
        throw usage_error("--operator-url: expected http://IP:PORT, found " + url);
    }
}

void parseLine(command_arguments &target, const command_definition &command, const std::vector<std::string> &arguments)
{
    std::vector<std::string> line = {"banyanctl " + joined(command.words)};
    line.insert(line.end(), arguments.begin() + static_cast<std::ptrdiff_t>(command.words.size()), arguments.end());
    try {
        target.line.parse(line);
    } catch (const TCLAP::ArgException &error) {
        throw usage_error(error.error() + " " + error.argId());
    }
}

} // namespace

operator_command parseOperatorCommand(const std::vector<std::string> &arguments, const operator_tool_options &options)
{
    const command_definition &definition = findCommand(arguments);
    command_arguments parsed(definition.help);
    definition.addArguments(parsed);
    parseLine(parsed, definition, arguments);

    operator_command command{.node = nodeAt(parsed.url(options)), .request = definition.makeRequest(parsed), .json = parsed.json()};
    const std::string key = parsed.key(options);
    if (key.empty()) {
        throw usage_error("expected --key or BANYAN_OPERATOR_KEY");
    }
    command.request.fields.push_back({.name = "Authorization", .value = "Bearer " + key});
    return command;
}

} // namespace banyan
