#include "banyan/io/peer_rpc.h"

#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/peer_error.h"
#include "banyan/io/peer_handlers.h"
#include "peer_call.h"
#include "peer_codec.h"
#include "rpc_thread.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <capnp/rpc-twoparty.h>
#include <openssl/crypto.h>

#include <deque>
#include <map>
#include <set>

namespace banyan {

namespace {

using asio::ip::tcp;

bool sameSecret(capnp::Text::Reader given, const std::string &expected)
{
    return given.size() == expected.size() && CRYPTO_memcmp(given.begin(), expected.data(), expected.size()) == 0;
}

kj::Own<kj::NetworkAddress> toKj(kj::AsyncIoProvider &provider, const endpoint &value)
{
    const tcp::endpoint address(asio::ip::make_address(value.address), value.port);
    return provider.getNetwork().getSockaddr(address.data(), static_cast<unsigned>(address.size()));
}

std::string toText(const kj::Exception &exception)
{
    return exception.getDescription().cStr();
}

/// The head or a piece of an answer on its way from the RPC thread to the Asio thread.
struct answer_part
{
    bool isHead = false;
    unsigned status = 0;
    std::vector<http_field> fields;
    std::string bytes;
    std::shared_ptr<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> taken;
};

/// A run() call as the Asio thread sees it.
struct outgoing_run
{
    explicit outgoing_run(asio::io_context &context)
        : call(context)
    {
    }

    peer_call<run_outcome> call;
    std::deque<answer_part> parts;
    bool mayHaveArrived = true;
};

/// Receives an answer on the RPC thread and hands it to the Asio thread.
class answer_receiver final : public schema::AnswerSink::Server
{
public:
    answer_receiver(asio::io_context &context, std::shared_ptr<outgoing_run> target)
        : m_context(context)
        , m_target(std::move(target))
    {
    }

protected:
    kj::Promise<void> head(HeadContext context) override
    {
        answer_part part;
        part.isHead = true;
        part.status = context.getParams().getStatus();
        part.fields = decode(context.getParams().getFields());
        return hand(std::move(part));
    }

    kj::Promise<void> piece(PieceContext context) override
    {
        answer_part part;
        part.bytes = toString(context.getParams().getBytes());
        return hand(std::move(part));
    }

    kj::Promise<void> end(EndContext /*context*/) override
    {
        return kj::READY_NOW;
    }

private:
    kj::Promise<void> hand(answer_part part)
    {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        part.taken = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
        asio::post(m_context, [target = m_target, part = std::move(part)]() mutable {
            target->parts.push_back(std::move(part));
            target->call.notify();
        });
        return kj::mv(pair.promise);
    }

    asio::io_context &m_context;
    std::shared_ptr<outgoing_run> m_target;
};

/// A connection to another node; used on the RPC thread.
struct peer_connection : public kj::Refcounted
{
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    kj::Maybe<schema::Peer::Client> peer;
    bool connected = false;
};

schema::Peer::Client &peerOf(peer_connection &connection)
{
    KJ_IF_MAYBE (peer, connection.peer) {
        return *peer;
    }
    throw std::logic_error("a connection without a peer");
}

/// The answering side of a run() call: its sink may be used on the RPC thread only.
struct incoming_run
{
    kj::Maybe<schema::AnswerSink::Client> sink;
    std::shared_ptr<run_cancellation> cancellation = std::make_shared<run_cancellation>();
};

/// Makes one call to a sink; runs on the RPC thread.
using sink_call = std::function<kj::Promise<void>(schema::AnswerSink::Client &)>;

/// Makes one call to a node and turns its answer; runs on the RPC thread.
template<typename Result>
using node_call = std::function<kj::Promise<Result>(schema::Peer::Client &)>;

/// What lives on the RPC thread.
struct rpc_state final : public kj::TaskSet::ErrorHandler
{
    rpc_state()
        : tasks(*this)
    {
    }

    /// Ends the server and all calls while the rest still stands: what their ends do refers to it.
    void close()
    {
        listening = nullptr;
        receiver = nullptr;
        server = nullptr;
        calls.clear();
    }

    void taskFailed(kj::Exception &&exception) override
    {
        logEvent(log_level::Debug, "rpc_task_failed", {{"error", toText(exception)}});
    }

    std::map<endpoint, kj::Own<peer_connection>> connections;
    std::map<std::uint64_t, kj::Promise<void>> calls;
    std::set<std::shared_ptr<incoming_run>> incoming;
    kj::Own<capnp::TwoPartyServer> server;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::Maybe<kj::Promise<void>> listening;
    kj::TaskSet tasks;
};

} // namespace

class peer_rpc::implementation : public std::enable_shared_from_this<peer_rpc::implementation>
{
public:
    implementation(asio::io_context &context, peer_rpc_options options)
        : m_context(context)
        , m_options(std::move(options))
    {
    }

    void start(peer_handlers handlers);

    [[nodiscard]] endpoint address() const
    {
        return m_address;
    }

    task<run_outcome> run(endpoint to, cell_id cell, run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation)
    {
        const auto outgoing = std::make_shared<outgoing_run>(m_context);
        const std::uint64_t number = ++m_lastCall;
        m_thread.post([self = shared_from_this(), to, cell, request = std::move(request), outgoing, number](kj::AsyncIoProvider &provider) {
            self->startRun(provider, to, cell, request, outgoing, number);
        });
        bool cancelled = false;
        if (cancellation) {
            cancellation->onCancel([self = shared_from_this(), outgoing, number, &cancelled] {
                cancelled = true;
                self->endCall(number);
                outgoing->call.notify();
            });
        }
        bool readerGone = false;
        while (!cancelled && !readerGone && (!outgoing->call.finished() || !outgoing->parts.empty())) {
            if (outgoing->parts.empty()) {
                co_await outgoing->call.wait();
                continue;
            }
            answer_part part = std::move(outgoing->parts.front());
            outgoing->parts.pop_front();
            readerGone = !co_await passOn(std::move(part), sink);
        }
        if (cancellation) {
            cancellation->onCancel(nullptr);
        }
        endCall(number);
        if (cancelled || readerGone) {
            co_return run_outcome{.result = {.what = disposition::Cancelled, .reason = end_reason::CancelledByCaller}};
        }
        if (outgoing->call.failure()) {
            throw peer_error(outgoing->mayHaveArrived, *outgoing->call.failure());
        }
        co_return outgoing->call.take();
    }

    /// Makes a call with one answer; @p send runs on the RPC thread.
    template<typename Result>
    task<Result> callOnce(endpoint to, node_call<Result> send)
    {
        const auto call = std::make_shared<peer_call<Result>>(m_context);
        m_thread.post([self = shared_from_this(), to, call, send = std::move(send)](kj::AsyncIoProvider &provider) mutable {
            kj::Own<peer_connection> connection = self->connectionTo(provider, to);
            auto limited = provider.getTimer().timeoutAfter(toKjDuration(self->m_options.callTimeout), send(peerOf(*connection)));
            self->m_state->tasks.add(limited.then(
                [self, call](Result result) {
                    asio::post(self->m_context, [call, result = std::move(result)]() mutable {
                        call->complete(std::move(result));
                    });
                },
                [self, call](kj::Exception &&exception) {
                    asio::post(self->m_context, [call, text = toText(exception)] {
                        call->fail(text);
                    });
                }));
        });
        while (!call->finished()) {
            co_await call->wait();
        }
        if (call->failure()) {
            throw peer_error(true, *call->failure());
        }
        co_return call->take();
    }

    [[nodiscard]] const std::string &secret() const
    {
        return m_options.secret;
    }

    void drop(const endpoint &to)
    {
        m_thread.post([self = shared_from_this(), to](kj::AsyncIoProvider &) {
            self->dropOnThread(to);
        });
    }

    void stop()
    {
        m_thread.stop([this](kj::AsyncIoProvider &) {
            for (const auto &run : m_state->incoming) {
                run->sink = nullptr;
            }
            m_state->close();
            m_state.reset();
        });
    }

    /// Waits for the end of the RPC thread after stop().
    void join()
    {
        m_thread.join();
    }

    /// Runs a request that another node sent; called on the RPC thread.
    kj::Promise<run_outcome> serveRun(run_request request, cell_id cell, schema::AnswerSink::Client sink)
    {
        const auto incoming = std::make_shared<incoming_run>();
        incoming->sink = kj::mv(sink);
        m_state->incoming.insert(incoming);
        auto pair = kj::newPromiseAndCrossThreadFulfiller<run_outcome>();
        const auto finished = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<run_outcome>>>(kj::mv(pair.fulfiller));
        asio::post(
            m_context, [self = shared_from_this(), request = std::move(request), cell = std::move(cell), incoming, finished]() mutable {
                asio::co_spawn(self->m_context, runHere(self, std::move(request), std::move(cell), incoming, finished), asio::detached);
            });
        return pair.promise.attach(kj::defer([self = shared_from_this(), incoming] {
            if (self->m_state) { // The event loop drops calls that are still being served after stop().
                self->m_state->incoming.erase(incoming);
            }
            incoming->sink = nullptr;
            asio::post(self->m_context, [incoming] {
                incoming->cancellation->cancel();
            });
        }));
    }

    /// Calls a handler on the Asio thread and returns what it returned; called on the RPC thread.
    template<typename Result>
    kj::Promise<Result> onAsio(std::function<Result()> work)
    {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<Result>();
        const auto finished = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Result>>>(kj::mv(pair.fulfiller));
        asio::post(m_context, [work = std::move(work), finished] {
            try {
                (*finished)->fulfill(work());
            } catch (const std::exception &error) {
                (*finished)->reject(KJ_EXCEPTION(FAILED, error.what()));
            }
        });
        return kj::mv(pair.promise);
    }

    [[nodiscard]] const peer_handlers &handlers() const
    {
        return m_handlers;
    }

    bool admits(capnp::Text::Reader given)
    {
        if (sameSecret(given, m_options.secret)) {
            return true;
        }
        asio::post(m_context, [self = shared_from_this()] {
            self->m_handlers.onRefused();
        });
        return false;
    }

private:
    static kj::Duration toKjDuration(duration value)
    {
        return value.count() * kj::MICROSECONDS;
    }

    static task<bool> passOn(answer_part part, const answer_sink &sink)
    {
        try {
            if (part.isHead) {
                co_await sink.head(part.status, std::move(part.fields));
            } else {
                co_await sink.piece(std::move(part.bytes));
            }
        } catch (const std::exception &) {
            co_return false;
        }
        (*part.taken)->fulfill();
        co_return true;
    }

    kj::Own<peer_connection> connectionTo(kj::AsyncIoProvider &provider, const endpoint &to)
    {
        const auto found = m_state->connections.find(to);
        if (found != m_state->connections.end()) {
            return kj::addRef(*found->second);
        }
        kj::Own<peer_connection> connection = kj::refcounted<peer_connection>();
        kj::Own<kj::NetworkAddress> address = toKj(provider, to);
        auto connecting = address->connect().attach(kj::mv(address));
        auto limited = provider.getTimer().timeoutAfter(toKjDuration(m_options.connectTimeout), kj::mv(connecting));
        auto client = limited.then(
            [this, to, connection = kj::addRef(*connection)](kj::Own<kj::AsyncIoStream> &&stream) mutable {
                connection->stream = kj::mv(stream);
                connection->client = kj::heap<capnp::TwoPartyClient>(*connection->stream);
                connection->connected = true;
                forgetWhenClosed(to, *connection);
                return connection->client->bootstrap().castAs<schema::Peer>();
            },
            [this, to](kj::Exception &&exception) -> schema::Peer::Client {
                forgetUnconnected(to);
                kj::throwFatalException(kj::mv(exception));
            });
        connection->peer = schema::Peer::Client(kj::mv(client));
        m_state->connections.emplace(to, kj::addRef(*connection));
        return connection;
    }

    void forgetUnconnected(const endpoint &to)
    {
        const auto found = m_state->connections.find(to);
        if (found != m_state->connections.end() && !found->second->connected) {
            closeLater(kj::mv(found->second));
            m_state->connections.erase(found);
        }
    }

    void forgetWhenClosed(const endpoint &to, peer_connection &connection)
    {
        m_state->tasks.add(connection.client->onDisconnect().then([this, to, &connection] {
            const auto found = m_state->connections.find(to);
            if (found != m_state->connections.end() && found->second.get() == &connection) {
                closeLater(kj::mv(found->second));
                m_state->connections.erase(found);
            }
        }));
    }

    /// Lets go of a connection outside the callbacks of its own RPC system, which must not be destroyed within them.
    void closeLater(kj::Own<peer_connection> connection)
    {
        const auto held = std::make_shared<kj::Own<peer_connection>>(kj::mv(connection));
        m_thread.post([held](kj::AsyncIoProvider &) {
            *held = nullptr;
        });
    }

    void dropOnThread(const endpoint &to)
    {
        const auto found = m_state->connections.find(to);
        if (found == m_state->connections.end()) {
            return;
        }
        if (found->second->connected) {
            found->second->stream->abortRead();
            found->second->stream->shutdownWrite();
        }
    }

    void startRun(kj::AsyncIoProvider &provider,
                  const endpoint &to,
                  const cell_id &cell,
                  const run_request &request,
                  const std::shared_ptr<outgoing_run> &outgoing,
                  std::uint64_t number)
    {
        kj::Own<peer_connection> connection = connectionTo(provider, to);
        auto call = peerOf(*connection).runRequest();
        call.setSecret(m_options.secret.c_str());
        encode(call.initRequest(), cell, request, currentTime());
        call.setSink(kj::heap<answer_receiver>(m_context, outgoing));
        auto promise = call.send().then(
            [this, outgoing](capnp::Response<schema::Peer::RunResults> &&answer) {
                asio::post(m_context, [outgoing, outcome = decode(answer.getResult())]() mutable {
                    outgoing->call.complete(std::move(outcome));
                });
            },
            [this, outgoing, connection = kj::mv(connection)](kj::Exception &&exception) mutable {
                const bool connected = connection->connected;
                closeLater(kj::mv(connection));
                asio::post(m_context, [outgoing, arrived = connected, text = toText(exception)] {
                    outgoing->mayHaveArrived = arrived;
                    outgoing->call.fail(text);
                });
            });
        m_state->calls.emplace(number, promise.eagerlyEvaluate(nullptr));
    }

    /// Drops a call; one that has not ended is cancelled at the other node.
    void endCall(std::uint64_t number)
    {
        m_thread.post([self = shared_from_this(), number](kj::AsyncIoProvider &) {
            self->m_state->calls.erase(number);
        });
    }

    static task<> runHere(std::shared_ptr<implementation> self,
                          run_request request,
                          cell_id cell,
                          std::shared_ptr<incoming_run> incoming,
                          std::shared_ptr<kj::Own<kj::CrossThreadPromiseFulfiller<run_outcome>>> finished)
    {
        bool answered = false;
        answer_sink sink;
        sink.head = [&](unsigned status, std::vector<http_field> fields) -> task<> {
            answered = true;
            sink_call call = [status, fields = std::move(fields)](schema::AnswerSink::Client &to) {
                auto message = to.headRequest();
                message.setStatus(static_cast<std::uint16_t>(status));
                encode(message.initFields(static_cast<unsigned>(fields.size())), fields);
                return message.send().ignoreResult();
            };
            co_await self->sendToSink(incoming, std::move(call));
        };
        sink.piece = [&](std::string bytes) -> task<> {
            sink_call call = [bytes = std::move(bytes)](schema::AnswerSink::Client &to) {
                auto message = to.pieceRequest();
                message.setBytes(toData(bytes));
                return message.send();
            };
            co_await self->sendToSink(incoming, std::move(call));
        };
        run_outcome outcome = co_await self->m_handlers.run(std::move(cell), std::move(request), sink, incoming->cancellation);
        try {
            if (answered) {
                sink_call call = [](schema::AnswerSink::Client &to) {
                    return to.endRequest().send().ignoreResult();
                };
                co_await self->sendToSink(incoming, std::move(call));
            }
        } catch (const peer_error &) {
            logEvent(log_level::Debug, "reader_gone");
        }
        (*finished)->fulfill(std::move(outcome));
    }

    /// Makes a call to the sink of an incoming run; throws peer_error if it fails or the caller has gone.
    task<> sendToSink(std::shared_ptr<incoming_run> incoming, sink_call send)
    {
        const auto call = std::make_shared<peer_call<bool>>(m_context);
        m_thread.post([self = shared_from_this(), incoming, send = std::move(send), call](kj::AsyncIoProvider &) {
            self->sendOnThread(*incoming, send, call);
        });
        while (!call->finished()) {
            co_await call->wait();
        }
        if (call->failure()) {
            throw peer_error(true, *call->failure());
        }
    }

    void sendOnThread(incoming_run &incoming, const sink_call &send, const std::shared_ptr<peer_call<bool>> &call)
    {
        KJ_IF_MAYBE (sink, incoming.sink) {
            m_state->tasks.add(send(*sink).then(
                [this, call] {
                    asio::post(m_context, [call] {
                        call->complete(true);
                    });
                },
                [this, call](kj::Exception &&exception) {
                    asio::post(m_context, [call, text = toText(exception)] {
                        call->fail(text);
                    });
                }));
        } else {
            asio::post(m_context, [call] {
                call->fail("the caller has gone");
            });
        }
    }

    asio::io_context &m_context;
    peer_rpc_options m_options;
    peer_handlers m_handlers;
    endpoint m_address;
    std::uint64_t m_lastCall = 0;
    std::unique_ptr<rpc_state> m_state = std::make_unique<rpc_state>(); ///< Used on the RPC thread.
    rpc_thread m_thread;
};

namespace {

/// Serves one node's calls; lives on the RPC thread.
class peer_server final : public schema::Peer::Server
{
public:
    explicit peer_server(peer_rpc::implementation &host)
        : m_host(host)
    {
    }

protected:
    kj::Promise<void> run(RunContext context) override
    {
        auto params = context.getParams();
        require(params.getSecret());
        run_request request = decode(params.getRequest(), currentTime());
        cell_id cell = decode(params.getRequest().getCell());
        auto sink = params.getSink();
        context.releaseParams();
        context.allowCancellation();
        return m_host.serveRun(std::move(request), std::move(cell), kj::mv(sink)).then([context](run_outcome &&outcome) mutable {
            encode(context.getResults().initResult(), outcome);
        });
    }

    kj::Promise<void> configurationSince(ConfigurationSinceContext context) override
    {
        require(context.getParams().getSecret());
        const configuration_version version = context.getParams().getVersion();
        return m_host
            .onAsio<configuration_update>([this, version] {
                return m_host.handlers().configurationSince(version);
            })
            .then([context](configuration_update &&update) mutable {
                encode(context.getResults().initUpdate(), update);
            });
    }

    kj::Promise<void> vmList(VmListContext context) override
    {
        require(context.getParams().getSecret());
        return m_host
            .onAsio<vm_list>([this] {
                return m_host.handlers().vmList();
            })
            .then([context](vm_list &&list) mutable {
                encode(context.getResults().initVms(static_cast<unsigned>(list.size())), list);
            });
    }

    kj::Promise<void> keepResult(KeepResultContext context) override
    {
        require(context.getParams().getSecret());
        const std::string key = toString(context.getParams().getRecordKey());
        const std::string result = toString(context.getParams().getResult());
        return m_host
            .onAsio<bool>([this, key, result] {
                m_host.handlers().keepResult(key, result);
                return true;
            })
            .ignoreResult();
    }

    kj::Promise<void> forgetResult(ForgetResultContext context) override
    {
        require(context.getParams().getSecret());
        const std::string key = toString(context.getParams().getRecordKey());
        return m_host
            .onAsio<bool>([this, key] {
                m_host.handlers().forgetResult(key);
                return true;
            })
            .ignoreResult();
    }

    kj::Promise<void> stopFingerprint(StopFingerprintContext context) override
    {
        require(context.getParams().getSecret());
        const std::uint64_t fingerprint = context.getParams().getFingerprint();
        const duration remaining(context.getParams().getRemainingMicros());
        return m_host
            .onAsio<bool>([this, fingerprint, remaining] {
                m_host.handlers().stopFingerprint(fingerprint, remaining);
                return true;
            })
            .ignoreResult();
    }

private:
    void require(capnp::Text::Reader secret)
    {
        KJ_REQUIRE(m_host.admits(secret), "wrong fleet secret");
    }

    peer_rpc::implementation &m_host;
};

} // namespace

void peer_rpc::implementation::start(peer_handlers handlers)
{
    m_handlers = std::move(handlers);
    unsigned port = 0;
    m_thread.call([&](kj::AsyncIoProvider &provider) {
        m_state->server = kj::heap<capnp::TwoPartyServer>(kj::heap<peer_server>(*this));
        m_state->receiver = toKj(provider, m_options.listen)->listen();
        port = m_state->receiver->getPort();
        m_state->listening = m_state->server->listen(*m_state->receiver).eagerlyEvaluate([](kj::Exception &&exception) {
            logEvent(log_level::Error, "rpc_listen_failed", {{"error", toText(exception)}});
        });
    });
    m_address = {.address = m_options.listen.address, .port = static_cast<std::uint16_t>(port)};
}

peer_rpc::peer_rpc(asio::io_context &context, const peer_rpc_options &options)
    : m_implementation(std::make_shared<implementation>(context, options))
{
}

peer_rpc::~peer_rpc()
{
    m_implementation->stop();
    m_implementation->join();
}

void peer_rpc::start(peer_handlers handlers)
{
    m_implementation->start(std::move(handlers));
}

endpoint peer_rpc::address() const
{
    return m_implementation->address();
}

task<run_outcome>
peer_rpc::run(endpoint to, cell_id cell, run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation)
{
    return m_implementation->run(std::move(to), std::move(cell), std::move(request), std::move(sink), std::move(cancellation));
}

task<configuration_update> peer_rpc::configurationSince(endpoint to, configuration_version version)
{
    return m_implementation->callOnce<configuration_update>(std::move(to), [this, version](schema::Peer::Client &peer) {
        auto call = peer.configurationSinceRequest();
        call.setSecret(m_implementation->secret().c_str());
        call.setVersion(version);
        return call.send().then([](capnp::Response<schema::Peer::ConfigurationSinceResults> &&answer) {
            return decode(answer.getUpdate());
        });
    });
}

task<vm_list> peer_rpc::vmList(endpoint to)
{
    return m_implementation->callOnce<vm_list>(std::move(to), [this](schema::Peer::Client &peer) {
        auto call = peer.vmListRequest();
        call.setSecret(m_implementation->secret().c_str());
        return call.send().then([](capnp::Response<schema::Peer::VmListResults> &&answer) {
            return decode(answer.getVms());
        });
    });
}

task<> peer_rpc::keepResult(endpoint to, std::string recordKey, std::string result)
{
    node_call<bool> call = [this, recordKey = std::move(recordKey), result = std::move(result)](schema::Peer::Client &peer) {
        auto message = peer.keepResultRequest();
        message.setSecret(m_implementation->secret().c_str());
        message.setRecordKey(recordKey.c_str());
        message.setResult(toData(result));
        return message.send().then([](capnp::Response<schema::Peer::KeepResultResults> &&) {
            return true;
        });
    };
    co_await m_implementation->callOnce<bool>(std::move(to), std::move(call));
}

task<> peer_rpc::forgetResult(endpoint to, std::string recordKey)
{
    node_call<bool> call = [this, recordKey = std::move(recordKey)](schema::Peer::Client &peer) {
        auto message = peer.forgetResultRequest();
        message.setSecret(m_implementation->secret().c_str());
        message.setRecordKey(recordKey.c_str());
        return message.send().then([](capnp::Response<schema::Peer::ForgetResultResults> &&) {
            return true;
        });
    };
    co_await m_implementation->callOnce<bool>(std::move(to), std::move(call));
}

task<> peer_rpc::stopFingerprint(endpoint to, std::uint64_t fingerprint, duration remaining)
{
    node_call<bool> call = [this, fingerprint, remaining](schema::Peer::Client &peer) {
        auto message = peer.stopFingerprintRequest();
        message.setSecret(m_implementation->secret().c_str());
        message.setFingerprint(fingerprint);
        message.setRemainingMicros(remaining.count());
        return message.send().then([](capnp::Response<schema::Peer::StopFingerprintResults> &&) {
            return true;
        });
    };
    co_await m_implementation->callOnce<bool>(std::move(to), std::move(call));
}

void peer_rpc::drop(const endpoint &to)
{
    m_implementation->drop(to);
}

void peer_rpc::stop()
{
    m_implementation->stop();
}

} // namespace banyan
