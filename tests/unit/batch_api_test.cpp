#include "virtual_store.h"

#include "banyan/io/batch_api.h"
#include "banyan/io/clock.h"
#include "banyan/io/file_service.h"
#include "banyan/io/http_client.h"
#include "banyan/io/http_server.h"
#include "banyan/io/job_service.h"
#include "banyan/io/openai_error.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>

using namespace banyan;
using namespace banyan::tests;

namespace json = boost::json;

namespace {

constexpr duration generousTimeout = std::chrono::seconds(30);
const std::string boundary = "----form-boundary";

/// The routes over an in-memory store, in real time.
struct api_fixture
{
    virtual_store world;
    std::shared_ptr<virtual_store::faults> state = std::make_shared<virtual_store::faults>();
    file_service files{realTimePort(), {.parts = {.partBytes = 1000}, .maximumBytes = 100000}};
    job_service jobs{world.context,
                     realTimePort(),
                     files,
                     {.run = run,
                      .buildRequest = build,
                      .self = {.id = node_id("node-1")},
                      .nodes =
                          [] {
                              return std::vector<node_info>{{.id = node_id("node-1")}};
                          }},
                     {.scanInterval = std::chrono::milliseconds(20)}};
    http_server server{world.context, {.listen = endpoint::parse("127.0.0.1:0")}};
    http_client client{world.context, {}};

    api_fixture()
    {
        addBatchRoutes(server, files, jobs, [](http_exchange &exchange) {
            if (exchange.field("Authorization").empty()) {
                throw openai_error("no key", {.status = 401});
            }
            return caller_id(exchange.field("Authorization"));
        });
        server.start();
        jobs.start();
    }

    store_port realTimePort()
    {
        store_port port = world.port(state);
        port.now = currentTime;
        port.callAt = [this](time_point when, std::function<void()> action) {
            const auto timer = std::make_shared<asio::steady_timer>(world.context, when - currentTime());
            timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) {
                action();
            });
        };
        return port;
    }

    static task<run_answer> run(run_request request, std::shared_ptr<run_cancellation>)
    {
        run_answer answer;
        answer.response.body = request.message.body;
        co_return answer;
    }

    static run_request build(const caller_id &, const batch_item &item)
    {
        run_request request;
        request.message.body = item.body;
        return request;
    }

    http_response
    call(const std::string &method, const std::string &target, const std::string &body = {}, const std::string &caller = "niebla")
    {
        http_request request{.method = method, .target = target, .body = body};
        request.fields.push_back({.name = "Authorization", .value = caller});
        if (body.starts_with("--")) {
            request.fields.push_back({.name = "Content-Type", .value = "multipart/form-data; boundary=" + boundary});
        }
        return exchange(std::move(request));
    }

    http_response exchange(http_request request)
    {
        std::optional<http_response> answer;
        std::exception_ptr failure;
        asio::co_spawn(world.context,
                       client.exchange(server.address(), std::move(request), generousTimeout),
                       [&](std::exception_ptr error, http_response response) {
                           failure = std::move(error);
                           answer = std::move(response);
                       });
        world.context.restart();
        while (!answer) {
            world.context.run_one();
        }
        if (failure) {
            std::rethrow_exception(failure);
        }
        return *answer;
    }

    json::object callJson(const std::string &method, const std::string &target, const std::string &body = {})
    {
        const http_response response = call(method, target, body);
        INFO(response.body);
        REQUIRE(response.status == 200);
        return json::parse(response.body).as_object();
    }

    json::object waitForEnd(const std::string &batch)
    {
        const auto limit = std::chrono::steady_clock::now() + generousTimeout;
        json::object found = callJson("GET", "/v1/batches/" + batch);
        while (found.at("status") != "completed" && std::chrono::steady_clock::now() < limit) {
            world.context.run_one();
            found = callJson("GET", "/v1/batches/" + batch);
        }
        return found;
    }
};

std::string form(const std::string &content, const std::string &purpose = "batch")
{
    return "--" + boundary + "\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\n" + purpose + "\r\n--" + boundary
           + "\r\nContent-Disposition: form-data; name=\"file\"; filename=\"plans.jsonl\"\r\nContent-Type: application/jsonl\r\n\r\n"
           + content + "\r\n--" + boundary + "--\r\n";
}

std::string items(int count)
{
    std::string text;
    for (int number = 0; number < count; ++number) {
        text += R"({"custom_id":"i","method":"POST","url":"/v1/chat/completions","body":{"model":"advisor"}})"
                "\n";
    }
    return text;
}

std::string batchOf(const std::string &file)
{
    return R"({"endpoint":"/v1/chat/completions","completion_window":"24h","metadata":{"night":"1"},"input_file_id":")" + file + "\"}";
}

std::string textAt(const json::object &object, const char *name)
{
    return json::value_to<std::string>(object.at(name));
}

} // namespace

TEST_CASE("a batch runs through the calls of the usual client")
{
    api_fixture api;
    const std::string content = items(50);
    const json::object file = api.callJson("POST", "/v1/files", form(content));
    CHECK(file.at("object") == "file");
    CHECK(file.at("bytes").to_number<std::size_t>() == content.size());
    CHECK(file.at("filename") == "plans.jsonl");
    const std::string id = textAt(file, "id");
    CHECK(api.call("GET", "/v1/files/" + id + "/content").body == content);
    CHECK(api.callJson("GET", "/v1/files/" + id).at("purpose") == "batch");

    const json::object created = api.callJson("POST", "/v1/batches", batchOf(id));
    CHECK(created.at("object") == "batch");
    CHECK(created.at("metadata").at("night") == "1");
    const json::object ended = api.waitForEnd(textAt(created, "id"));
    CHECK(ended.at("status") == "completed");
    CHECK(ended.at("request_counts") == json::value{{"total", 50}, {"completed", 50}, {"failed", 0}});
    CHECK(ended.at("error_file_id").is_null());
    const std::string output = api.call("GET", "/v1/files/" + textAt(ended, "output_file_id") + "/content").body;
    CHECK(std::count(output.begin(), output.end(), '\n') == 50);

    CHECK(api.callJson("GET", "/v1/batches?limit=1").at("data").as_array().size() == 1);
    CHECK(api.callJson("GET", "/v1/files").at("data").as_array().size() == 1);
    CHECK(api.call("POST", "/v1/batches/" + textAt(created, "id") + "/cancel").status == 409);
    CHECK(api.callJson("DELETE", "/v1/files/" + id).at("deleted") == true);
    CHECK(api.call("GET", "/v1/files/" + id).status == 404);
    api.jobs.stop();
}

TEST_CASE("what is wrong with a file or batch is answered in the usual client's shape")
{
    api_fixture api;
    const std::string file = textAt(api.callJson("POST", "/v1/files", form(items(1))), "id");
    struct refusal
    {
        std::string method;
        std::string target;
        std::string body;
        unsigned status = 0;
    };
    const auto wrong = GENERATE_COPY(refusal{"GET", "/v1/files/file-none", "", 404},
                                     refusal{"GET", "/v1/batches/batch_none", "", 404},
                                     refusal{"POST", "/v1/files", form(items(1), "fine-tune"), 400},
                                     refusal{"POST", "/v1/files", form(items(5000)), 413},
                                     refusal{"POST", "/v1/files", "no form", 400},
                                     refusal{"POST", "/v1/files", form("x").substr(0, 60), 400},
                                     refusal{"POST", "/v1/batches", "{", 400},
                                     refusal{"POST", "/v1/batches", batchOf("file-none"), 404},
                                     refusal{"GET", "/v1/files?limit=x", "", 400});
    const http_response answer = api.call(wrong.method, wrong.target, wrong.body);
    INFO(wrong.method << " " << wrong.target << ": " << answer.body);
    CHECK(answer.status == wrong.status);
    CHECK(json::parse(answer.body).at("error").at("message").is_string());
    CHECK(api.call("GET", "/v1/files/" + file, "", "rota").status == 404);
    CHECK(api.world.objects.size() == 1); // Nothing is left of a refused upload.
    CHECK(api.callJson("GET", "/v1/files").at("data").as_array().size() == 1);
    api.jobs.stop();
}

TEST_CASE("without the store an upload is refused as not run, with when to come back")
{
    api_fixture api;
    api.state->down = true;
    const http_response answer = api.call("POST", "/v1/files", form(items(1)));
    CHECK(answer.status == 503);
    CHECK_FALSE(answer.field("Retry-After").empty());
    api.jobs.stop();
}
