#include "crowd.h"

#include "banyan/io/asio_types.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace banyan::process_tests {

using asio::ip::tcp;

namespace {

constexpr std::size_t lowestNumber = 10000; // Its digits but the first are those of client 0.
constexpr int slowReceiveBuffer = 4096; // Bytes that the system keeps for a client that does not read.
constexpr std::size_t slowReadBytes = 16;
constexpr std::chrono::milliseconds slowReadPause(200);
constexpr std::size_t readBytes = 4096;
constexpr std::size_t mostBytesAtOnce = std::size_t(64) << 10; // Small pieces are sent together up to this.

} // namespace

struct crowd::implementation
{
    explicit implementation(crowd_behaviour wanted)
        : behaviour(std::move(wanted))
    {
        // Pieces without a pause between them may share one call: their framing is what counts.
        const std::size_t piecesAtOnce =
            behaviour.piece.empty() || behaviour.pause.count() > 0 ? 1 : std::max<std::size_t>(1, mostBytesAtOnce / behaviour.piece.size());
        for (std::size_t count = 0; count < piecesAtOnce; ++count) {
            batch += behaviour.piece;
        }
        batchPieces = piecesAtOnce;
    }

    task<> play(tcp::endpoint to, std::size_t number)
    {
        const auto socket = std::make_shared<tcp::socket>(context);
        boost::system::error_code error;
        asio::steady_timer start(context, behaviour.stagger * number);
        co_await start.async_wait(asio::redirect_error(asio::use_awaitable, error));
        socket->open(to.protocol(), error);
        if (behaviour.reads != reading::Everything) {
            socket->set_option(asio::socket_base::receive_buffer_size(slowReceiveBuffer), error);
        }
        co_await socket->async_connect(to, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        if (behaviour.reads != reading::Nothing) {
            asio::co_spawn(context, read(socket), asio::detached);
        }
        co_await write(socket, openingOf(number), error);
        if (!error) { // Stays until the crowd ends.
            asio::steady_timer forever(context, std::chrono::hours(1));
            co_await forever.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }

    [[nodiscard]] std::string openingOf(std::size_t number) const
    {
        const std::string digits = std::to_string(lowestNumber + number).substr(1);
        return boost::algorithm::replace_all_copy(behaviour.opening, "{client}", digits);
    }

    task<> write(std::shared_ptr<tcp::socket> socket, std::string opening, boost::system::error_code &error)
    {
        moved += co_await asio::async_write(*socket, asio::buffer(opening), asio::redirect_error(asio::use_awaitable, error));
        for (std::size_t sent = 0; sent < behaviour.pieces && !error; sent += batchPieces) {
            if (behaviour.pause.count() > 0) {
                asio::steady_timer timer(context, behaviour.pause);
                co_await timer.async_wait(asio::use_awaitable);
            }
            const std::size_t length = std::min(batchPieces, behaviour.pieces - sent) * behaviour.piece.size();
            moved +=
                co_await asio::async_write(*socket, asio::buffer(batch.data(), length), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    task<> read(std::shared_ptr<tcp::socket> socket)
    {
        std::string bytes(behaviour.reads == reading::Slowly ? slowReadBytes : readBytes, '\0');
        boost::system::error_code error;
        while (!error) {
            if (behaviour.reads == reading::Slowly) {
                asio::steady_timer timer(context, slowReadPause);
                co_await timer.async_wait(asio::use_awaitable);
            }
            moved += co_await socket->async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    crowd_behaviour behaviour;
    std::string batch;
    std::size_t batchPieces = 1;
    std::atomic<std::size_t> moved = 0;
    asio::io_context context{1};
    std::thread thread;
};

crowd::crowd(const endpoint &to, std::size_t clients, crowd_behaviour behaviour)
    : m_implementation(std::make_unique<implementation>(std::move(behaviour)))
{
    const tcp::endpoint address(asio::ip::make_address(to.address), to.port);
    for (std::size_t client = 0; client < clients; ++client) {
        asio::co_spawn(m_implementation->context, m_implementation->play(address, client), asio::detached);
    }
    m_implementation->thread = std::thread([this] {
        m_implementation->context.run();
    });
}

crowd::~crowd()
{
    m_implementation->context.stop();
    m_implementation->thread.join();
}

std::size_t crowd::bytesMoved() const
{
    return m_implementation->moved;
}

} // namespace banyan::process_tests
