#pragma once

#include "child_process.h"
#include "temporary_directory.h"
#include "test_connection.h"

#include "banyan/core/endpoint.h"
#include "banyan/io/http_message.h"

#include <boost/json.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace banyan::process_tests {

inline const std::string callerKey = "key-of-niebla"; ///< Of the caller "niebla".
inline const std::string otherCallerKey = "key-of-rota"; ///< Of the caller "rota".
inline const std::string operatorKey = "key-of-the-first-operator";

/// Options of a fleet.
struct fleet_options
{
    std::size_t entries = 1;
    std::size_t engines = 2;
    std::size_t services = 1;
    std::vector<std::string> engineArguments;
    std::vector<std::string> serviceArguments;
};

/// A platform, engines, plain services and entry VMs as processes, with the services "advisory" (model "advisor") and
/// "orders" (plain, not repeatable) configured for two callers.
///
/// @code
/// fleet running({.entries = 3});
/// const http_response answer = running.chat(0, "how much fog fluid is left");
/// @endcode
class fleet
{
public:
    explicit fleet(const fleet_options &options);
    ~fleet();

    [[nodiscard]] endpoint platform() const;
    [[nodiscard]] endpoint engine(std::size_t index) const;
    [[nodiscard]] endpoint service(std::size_t index) const;
    /// Where an entry VM listens for callers.
    [[nodiscard]] endpoint callers(std::size_t entry) const;
    /// Where an entry VM listens for operators.
    [[nodiscard]] endpoint operators(std::size_t entry) const;

    [[nodiscard]] child_process &entryProcess(std::size_t index);
    [[nodiscard]] child_process &engineProcess(std::size_t index);
    [[nodiscard]] child_process &platformProcess();

    /// Starts another entry VM and returns its index. The list of VMs is not published.
    std::size_t startEntry();
    /// Starts another engine and returns its index. The list of VMs is not published.
    std::size_t startEngine();

    /// Puts the running VMs on the platform's list.
    void publishVms();
    /// Marks an engine as leaving on the platform's list.
    void publishLeaving(std::size_t engine);
    /// Waits until all entry VMs are ready.
    void waitUntilReady();

    /// Submits a patch against the current version; the new version must be accepted.
    void patch(const boost::json::value &patch);

    /// Sends a chat completion of one user message as the caller "niebla".
    [[nodiscard]] http_response chat(std::size_t entry, const std::string &message, const boost::json::object &more = {}) const;
    /// Calls the plain service "orders" as the caller "niebla".
    [[nodiscard]] http_response order(std::size_t entry, const http_request &request) const;
    /// The same at an address, waiting for @p patience at most.
    [[nodiscard]] static http_response
    orderAt(const endpoint &entry, const http_request &request, std::chrono::milliseconds patience = defaultPatience);
    /// The request that order() sends.
    [[nodiscard]] static http_request orderMessage(const http_request &request);
    /// Calls the operators' interface with the first operator's key.
    [[nodiscard]] http_response operate(std::size_t entry, const http_request &request) const;

    /// Switches faults of a stand-in.
    static void setFaults(const endpoint &standin, const boost::json::object &faults);
    /// What a stand-in has run.
    [[nodiscard]] static boost::json::object log(const endpoint &standin);
    /// How many engine runs have begun, over all engines that answer.
    [[nodiscard]] std::uint64_t runsOf(const std::string &message) const;

    /// The standard error of an entry VM so far.
    [[nodiscard]] std::string entryLog(std::size_t index) const;

    [[nodiscard]] const temporary_directory &directory() const
    {
        return m_directory;
    }

private:
    struct entry_vm;
    struct upstream_vm;

    std::size_t startService();
    void configure();
    [[nodiscard]] boost::json::array vmList() const;
    [[nodiscard]] std::string settings(std::size_t index) const;

    fleet_options m_options;
    temporary_directory m_directory;
    std::unique_ptr<child_process> m_platform;
    endpoint m_platformAddress;
    std::vector<std::unique_ptr<entry_vm>> m_entries;
    std::vector<std::unique_ptr<upstream_vm>> m_engines;
    std::vector<std::unique_ptr<upstream_vm>> m_services;
};

/// The body of a chat completion of one user message.
[[nodiscard]] boost::json::object chatBody(const std::string &message);
/// A POST of JSON with a bearer key.
[[nodiscard]] http_request postJson(const std::string &target, const std::string &key, const boost::json::value &body);
/// A GET with a bearer key.
[[nodiscard]] http_request getRequest(const std::string &target, const std::string &key);
/// The text of a chat completion.
[[nodiscard]] std::string contentOf(const http_response &completion);
/// "error.code" of an error answer.
[[nodiscard]] std::string errorCodeOf(const http_response &response);

} // namespace banyan::process_tests
