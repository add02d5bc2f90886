#include "banyan/io/gossip_codec.h"

#include "banyan/io/gossip_error.h"

#include <boost/asio/ip/address.hpp>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <gossip.capnp.h>

namespace banyan {

namespace {

constexpr std::size_t maximumNameLength = 128; // bytes
constexpr std::size_t maximumUpdates = 64;
constexpr std::size_t maximumPatches = 64;

/// Packing may hide large runs of zeros; nothing that is sent unpacks to more.
constexpr std::uint64_t maximumUnpackedWords = 4096;
constexpr int maximumNesting = 8;

void write(schema::GossipNode::Builder builder, const node_info &node)
{
    builder.setId(node.id.text());
    builder.setVm(node.vm.text());
    builder.setDomain(node.domain.text());
    builder.setAddress(node.peerAddress.address);
    builder.setPort(node.peerAddress.port);
}

void write(schema::MemberUpdate::Builder builder, const member_update &update)
{
    write(builder.initNode(), update.node);
    builder.setIncarnation(update.incarnation);
    builder.setState(static_cast<std::uint8_t>(update.state));
    builder.setLeaving(update.leaving);
}

void write(schema::GossipMessage::Builder builder, const gossip_message &message)
{
    builder.setKind(static_cast<std::uint8_t>(message.kind));
    builder.setSequence(message.sequence);
    write(builder.initSender(), message.sender);
    if (!message.target.empty()) {
        builder.setTarget(message.target.text());
    }
    if (message.probe) {
        write(builder.initProbe(), *message.probe);
    }
    builder.setMore(message.more);
    builder.setHasHead(message.head.has_value());
    builder.setHead(message.head.value_or(0));
    if (!message.updates.empty()) {
        auto updates = builder.initUpdates(static_cast<unsigned>(message.updates.size()));
        for (unsigned index = 0; index < updates.size(); ++index) {
            write(updates[index], message.updates[index]);
        }
    }
    if (!message.patches.empty()) {
        auto patches = builder.initPatches(static_cast<unsigned>(message.patches.size()));
        for (unsigned index = 0; index < patches.size(); ++index) {
            patches[index].setVersion(message.patches[index].version);
            patches[index].setMergePatch(message.patches[index].mergePatch);
        }
    }
}

std::string readName(capnp::Text::Reader text, const char *field)
{
    if (text.size() > maximumNameLength) {
        throw gossip_error(std::string(field) + ": expected at most " + std::to_string(maximumNameLength) + " bytes, found "
                           + std::to_string(text.size()));
    }
    return {text.cStr(), text.size()};
}

template<typename Enum>
Enum readEnum(std::uint8_t number, Enum last, const char *field)
{
    if (number > static_cast<std::uint8_t>(last)) {
        throw gossip_error(std::string(field) + ": expected at most " + std::to_string(static_cast<unsigned>(last)) + ", found "
                           + std::to_string(number));
    }
    return static_cast<Enum>(number);
}

endpoint readEndpoint(schema::GossipNode::Reader reader)
{
    endpoint result{.address = readName(reader.getAddress(), "address"), .port = reader.getPort()};
    boost::system::error_code error;
    boost::asio::ip::make_address(result.address, error);
    if (error || result.port == 0) {
        throw gossip_error("address: expected an IP number and a port, found \"" + result.address + "\" and "
                           + std::to_string(result.port));
    }
    return result;
}

node_info readNode(schema::GossipNode::Reader reader)
{
    node_info result;
    result.id = node_id(readName(reader.getId(), "id"));
    result.vm = vm_id(readName(reader.getVm(), "vm"));
    result.domain = failure_domain(readName(reader.getDomain(), "domain"));
    result.peerAddress = readEndpoint(reader);
    if (result.id.empty()) {
        throw gossip_error("id: expected a name, found nothing");
    }
    return result;
}

member_update readUpdate(schema::MemberUpdate::Reader reader)
{
    member_update result;
    result.node = readNode(reader.getNode());
    result.incarnation = reader.getIncarnation();
    result.state = readEnum(reader.getState(), member_state::Left, "state");
    result.leaving = reader.getLeaving();
    return result;
}

template<typename List>
void checkLength(List list, std::size_t most, const char *field)
{
    if (list.size() > most) {
        throw gossip_error(std::string(field) + ": expected at most " + std::to_string(most) + ", found " + std::to_string(list.size()));
    }
}

gossip_message readMessage(schema::GossipMessage::Reader reader)
{
    gossip_message result;
    result.kind = readEnum(reader.getKind(), gossip_kind::Patches, "kind");
    result.sequence = reader.getSequence();
    result.sender = readUpdate(reader.getSender());
    result.target = node_id(readName(reader.getTarget(), "target"));
    if (reader.hasProbe()) {
        result.probe = readNode(reader.getProbe());
    }
    result.more = reader.getMore();
    if (reader.getHasHead()) {
        result.head = reader.getHead();
    }
    checkLength(reader.getUpdates(), maximumUpdates, "updates");
    for (const auto update : reader.getUpdates()) {
        result.updates.push_back(readUpdate(update));
    }
    checkLength(reader.getPatches(), maximumPatches, "patches");
    for (const auto patch : reader.getPatches()) {
        const capnp::Text::Reader text = patch.getMergePatch();
        result.patches.push_back({.version = patch.getVersion(), .mergePatch = std::string(text.cStr(), text.size())});
    }
    return result;
}

} // namespace

std::string encodeGossip(const gossip_message &message)
{
    capnp::MallocMessageBuilder builder;
    write(builder.initRoot<schema::GossipMessage>(), message);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

gossip_message decodeGossip(std::string_view bytes)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        const capnp::ReaderOptions limits{.traversalLimitInWords = maximumUnpackedWords, .nestingLimit = maximumNesting};
        capnp::PackedMessageReader reader(in, limits);
        return readMessage(reader.getRoot<schema::GossipMessage>());
    } catch (const kj::Exception &error) {
        throw gossip_error(std::string("expected a packed message, found ") + error.getDescription().cStr());
    }
}

} // namespace banyan
