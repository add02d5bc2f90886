#include "banyan/io/http_exchange.h"

#include "http_exchange_implementation.h"

#include <random>

namespace banyan {

std::string newRequestId()
{
    static std::mt19937_64 generator(std::random_device{}());
    static constexpr char digits[] = "0123456789abcdef";
    std::string text = "r-";
    for (int part = 0; part < 2; ++part) {
        std::uint64_t bits = generator();
        for (int digit = 0; digit < 8; ++digit) {
            text += digits[bits & 0xfU];
            bits >>= 4U;
        }
    }
    return text;
}

const std::string &http_exchange::method() const
{
    return m_implementation.method();
}

const std::string &http_exchange::path() const
{
    return m_implementation.target().path;
}

const std::string &http_exchange::target() const
{
    return m_implementation.wholeTarget();
}

const std::vector<std::string> &http_exchange::pathArguments() const
{
    return m_implementation.pathArguments;
}

std::optional<std::string> http_exchange::query(std::string_view name) const
{
    return m_implementation.target().query(name);
}

std::string http_exchange::field(std::string_view name) const
{
    return m_implementation.field(name);
}

std::vector<http_field> http_exchange::fields() const
{
    return m_implementation.fields();
}

const std::string &http_exchange::requestId() const
{
    return m_implementation.requestId();
}

task<std::string> http_exchange::body(std::size_t limit)
{
    return m_implementation.wholeBody(limit);
}

task<std::string> http_exchange::bodyPiece()
{
    return m_implementation.bodyPiece();
}

task<> http_exchange::respond(http_response response)
{
    return m_implementation.sendWhole(std::move(response));
}

task<> http_exchange::begin(unsigned status, std::vector<http_field> fields, answer_framing framing)
{
    return m_implementation.sendHead(status, std::move(fields), framing);
}

task<> http_exchange::write(std::string_view piece)
{
    return m_implementation.sendPiece(piece);
}

task<> http_exchange::finish()
{
    return m_implementation.sendEnd();
}

void http_exchange::closeAfterwards()
{
    m_implementation.closeAfterwards();
}

void http_exchange::onDisconnect(std::function<void()> handler)
{
    m_implementation.connection()->disconnectHandler = std::move(handler);
    watchPeer(m_implementation.connection());
}

} // namespace banyan
