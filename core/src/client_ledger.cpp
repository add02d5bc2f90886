#include "banyan/core/client_ledger.h"

#include <tuple>
#include <utility>

namespace banyan {

namespace {

/// Whether the connection can end without a request's loss.
bool isOutsideRequests(const held_client &client)
{
    return client.phase == client_phase::Idle || client.phase == client_phase::Head || client.phase == client_phase::Closing;
}

bool isSlow(const held_client &client, time_point now)
{
    return (client.phase == client_phase::Body || client.phase == client_phase::Answer) && client.progress.isSlow(now);
}

/// Order in which clients outside requests give way; greater goes first.
int rankOf(const held_client &client)
{
    if (client.phase == client_phase::Closing) {
        return 2;
    }
    return client.wasServed ? 0 : 1;
}

} // namespace

std::string_view toString(client_phase phase)
{
    switch (phase) {
    case client_phase::Idle:
        return "idle";
    case client_phase::Head:
        return "head";
    case client_phase::Body:
        return "body";
    case client_phase::Run:
        return "run";
    case client_phase::Answer:
        return "answer";
    case client_phase::Closing:
        break;
    }
    return "closing";
}

void held_client::await(client_phase next, time_point now)
{
    phase = next;
    since = now;
    progress.restart(now);
}

void held_client::run()
{
    phase = client_phase::Run;
    bytes = 0;
}

held_client &client_ledger::add(std::string address, time_point now)
{
    ++m_connectionsOf[address];
    const std::uint64_t serial = ++m_lastSerial;
    return m_clients.emplace(serial, held_client{.serial = serial, .address = std::move(address), .since = now}).first->second;
}

void client_ledger::remove(const held_client &client)
{
    const auto ofAddress = m_connectionsOf.find(client.address);
    if (--ofAddress->second == 0) {
        m_connectionsOf.erase(ofAddress);
    }
    m_yielding -= client.yields ? 1 : 0;
    m_clients.erase(client.serial);
}

std::size_t client_ledger::size() const
{
    return m_clients.size() - m_yielding;
}

held_client *client_ledger::choose(held_client *client)
{
    if (client != nullptr) {
        client->yields = true;
        ++m_yielding;
    }
    return client;
}

held_client *client_ledger::chooseForMemory(time_point now)
{
    return chooseSlow(1, now);
}

/// The slow client that gives way first, of those that hold @p leastBytes or more.
held_client *client_ledger::chooseSlow(std::size_t leastBytes, time_point now)
{
    std::map<std::string_view, std::size_t> bytesOf;
    for (const auto &[serial, client] : m_clients) {
        bytesOf[client.address] += client.bytes;
    }
    const auto orderOf = [&](const held_client &client) {
        return std::tuple(client.phase == client_phase::Body, bytesOf[client.address], client.serial);
    };
    held_client *chosen = nullptr;
    for (auto &[serial, client] : m_clients) {
        const bool mayYield = !client.yields && client.bytes >= leastBytes && isSlow(client, now);
        if (mayYield && (chosen == nullptr || orderOf(client) > orderOf(*chosen))) {
            chosen = &client;
        }
    }
    return choose(chosen);
}

held_client *client_ledger::chooseForConnection(time_point now)
{
    const auto orderOf = [&](const held_client &client) {
        return std::tuple(rankOf(client), m_connectionsOf.find(client.address)->second, now - client.since);
    };
    held_client *chosen = nullptr;
    for (auto &[serial, client] : m_clients) {
        if (!client.yields && isOutsideRequests(client) && (chosen == nullptr || orderOf(client) > orderOf(*chosen))) {
            chosen = &client;
        }
    }
    return chosen == nullptr ? chooseSlow(0, now) : choose(chosen);
}

} // namespace banyan
