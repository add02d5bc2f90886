#pragma once

#include "serving_fixture.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace banyan::tests {

/// A relay behind an HTTP server, with a single route.
struct relay_fixture : serving_fixture
{
    std::shared_ptr<const route_table> table;
    std::function<void(client_request &request)> identify; ///< Says who sent a request; null: nobody.
    http_server front{context, {.listen = endpoint::parse("127.0.0.1:0"), .requestIdField = "Request-Id"}};
    http_client caller{context, {}};

    explicit relay_fixture(request_kind kind,
                           bool resumable = false,
                           std::uint32_t attempts = 2,
                           duration timeout = std::chrono::seconds(5))
    {
        table = std::make_shared<const route_table>(serving_configuration{.version = 1,
                                                                          .routes = {{.name = "r",
                                                                                      .host = "h",
                                                                                      .pathPrefix = "/x/",
                                                                                      .kind = kind,
                                                                                      .resumable = resumable,
                                                                                      .services = {{.service = service_name("s")}},
                                                                                      .timeout = timeout,
                                                                                      .target = std::chrono::milliseconds(300),
                                                                                      .gapTarget = std::chrono::milliseconds(200),
                                                                                      .maximumAttempts = attempts}}});
        front.routeOthers([this](http_exchange &exchange) -> task<> {
            std::string body = co_await exchange.body(1U << 20U);
            client_request request = platform::decodeRequest(exchange, std::move(body), currentTime());
            if (identify) {
                identify(request);
            }
            const route *const matchedRoute = table->find("h", "/x/");
            co_await nodes.front()->relay.serve(exchange, std::move(request), table, *matchedRoute);
        });
        front.start();
    }

    http_response call(const std::string &id,
                       duration deadline = std::chrono::seconds(5),
                       const std::string &body = "question",
                       const std::vector<http_field> &more = {})
    {
        http_response answer;
        run([&]() -> task<> {
            const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count();
            http_request request{
                .method = "POST",
                .target = "/x/1?q=2",
                .fields = {{"Host", "h"}, {"Request-Id", id}, {"Deadline-Ms", std::to_string(milliseconds)}, {"Custom", "kept"}},
                .body = body};
            request.fields.insert(request.fields.end(), more.begin(), more.end());
            answer = co_await caller.exchange(front.address(), std::move(request), generousTime);
        });
        return answer;
    }
};

} // namespace banyan::tests
