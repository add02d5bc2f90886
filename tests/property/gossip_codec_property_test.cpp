#include "banyan/io/gossip_codec.h"
#include "banyan/io/gossip_error.h"
#include "banyan/io/gossip_seal.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace banyan;

namespace {

std::string anyName()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
}

node_info anyNode()
{
    return {.id = node_id(anyName().substr(0, 100)),
            .vm = vm_id(anyName().substr(0, 100)),
            .domain = failure_domain(anyName().substr(0, 100)),
            .peerAddress = {.address = *rc::gen::element<std::string>("127.0.0.1", "10.250.250.250", "fe80::1"),
                            .port = *rc::gen::inRange<std::uint16_t>(1, 65535)}};
}

member_update anyUpdate()
{
    return {.node = anyNode(),
            .incarnation = *rc::gen::arbitrary<std::uint32_t>(),
            .state = *rc::gen::element(member_state::Alive, member_state::Suspect, member_state::Dead, member_state::Left),
            .leaving = *rc::gen::arbitrary<bool>()};
}

gossip_message anyMessage()
{
    gossip_message result;
    result.kind = static_cast<gossip_kind>(*rc::gen::inRange(0, static_cast<int>(gossip_kind::Patches) + 1));
    result.sequence = *rc::gen::arbitrary<std::uint64_t>();
    result.sender = anyUpdate();
    result.target = node_id(*rc::gen::element(std::string(), anyName().substr(0, 100)));
    if (*rc::gen::arbitrary<bool>()) {
        result.probe = anyNode();
    }
    result.more = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
        result.head = *rc::gen::arbitrary<std::uint64_t>();
    }
    const int updates = *rc::gen::inRange(0, 6);
    for (int count = 0; count < updates; ++count) {
        result.updates.push_back(anyUpdate());
    }
    const int patches = *rc::gen::inRange(0, 4);
    for (int count = 0; count < patches; ++count) {
        result.patches.push_back({.version = *rc::gen::arbitrary<std::uint64_t>(), .mergePatch = anyName()});
    }
    return result;
}

} // namespace

TEST_CASE("a gossip message reads as it was written")
{
    rc::prop("decode after encode", [] {
        const gossip_message message = anyMessage();
        RC_ASSERT((decodeGossip(encodeGossip(message)) == message));
    });
}

TEST_CASE("a report takes no more bytes than estimated")
{
    rc::prop("a message with one report more is longer by the estimate at most", [] {
        gossip_message message = anyMessage();
        const std::size_t before = encodeGossip(message).size();
        message.updates.push_back(anyUpdate());
        constexpr std::size_t listHeader = 24;
        RC_ASSERT(encodeGossip(message).size() <= before + encodedSize(message.updates.back()) + listHeader);
    });
}

TEST_CASE("bytes that are no message are refused or read, never worse")
{
    rc::prop("a message with bytes changed, cut off or added", [] {
        std::string bytes = encodeGossip(anyMessage());
        const int changes = *rc::gen::inRange(1, 8);
        for (int count = 0; count < changes; ++count) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 8));
        try {
            const gossip_message message = decodeGossip(bytes);
            RC_ASSERT(!message.sender.node.id.empty());
        } catch (const gossip_error &) {
            RC_SUCCEED("refused");
        }
    });
}

TEST_CASE("a datagram of another fleet, or changed on its way, does not open")
{
    rc::prop("any byte changed", [] {
        const gossip_seal own("secret of this fleet");
        const std::string payload = anyName();
        std::string datagram = own.seal(payload);
        RC_ASSERT((own.open(datagram) == payload));
        RC_ASSERT((gossip_seal("secret of another").open(datagram) == std::nullopt));
        const std::size_t place = *rc::gen::inRange<std::size_t>(0, datagram.size());
        datagram[place] = static_cast<char>(datagram[place] ^ (1 << *rc::gen::inRange(0, 8)));
        RC_ASSERT((own.open(datagram) == std::nullopt));
        RC_ASSERT((own.open(datagram.substr(0, place)) == std::nullopt));
    });
}
