#include "banyan/io/serving/serving_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <serving.capnp.h>

#include <utility>

namespace banyan {

namespace {

/// Packing may hide large runs of zeros; nothing that is stored or sent unpacks to more.
constexpr std::uint64_t maximumUnpackedWords = std::uint64_t(2) << 20;
constexpr int maximumNesting = 8;

std::string packed(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

/// Reads a packed message and makes a value of its root; nothing if it is malformed.
template<typename Root, typename Read>
auto unpacked(std::string_view bytes, Read &&read) -> std::optional<decltype(read(std::declval<typename Root::Reader>()))>
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader message(in, {.traversalLimitInWords = maximumUnpackedWords, .nestingLimit = maximumNesting});
        return read(message.getRoot<Root>());
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

std::string textOf(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

std::string bytesOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

capnp::Data::Reader dataOf(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

} // namespace

std::string encode(const node_load &load)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::NodeLoad>();
    root.setSender(load.sender.text());
    root.setSequence(load.sequence);
    root.setWaitingOnline(load.waitingOnline);
    auto usage = root.initUsage(static_cast<unsigned>(load.usage.size()));
    unsigned index = 0;
    for (const auto &[key, value] : load.usage) {
        auto entry = usage[index++];
        entry.setKey(key);
        entry.setOnline(static_cast<std::uint16_t>(value.online));
        entry.setBatch(static_cast<std::uint16_t>(value.batch));
        entry.setTroubled(value.troubled);
    }
    auto lost = root.initLost(static_cast<unsigned>(load.lost.size()));
    for (unsigned position = 0; position < load.lost.size(); ++position) {
        lost[position].setFingerprint(load.lost[position].fingerprint);
        lost[position].setUpstream(load.lost[position].upstream);
    }
    return packed(message);
}

std::optional<node_load> decodeNodeLoad(std::string_view bytes)
{
    return unpacked<schema::NodeLoad>(bytes, [](schema::NodeLoad::Reader root) {
        node_load load{.sender = node_id(textOf(root.getSender())),
                       .sequence = root.getSequence(),
                       .usage = {},
                       .waitingOnline = root.getWaitingOnline(),
                       .lost = {}};
        for (const auto entry : root.getUsage()) {
            load.usage[entry.getKey()] = {.online = entry.getOnline(), .batch = entry.getBatch(), .troubled = entry.getTroubled()};
        }
        for (const auto entry : root.getLost()) {
            load.lost.push_back({.fingerprint = entry.getFingerprint(), .upstream = entry.getUpstream()});
        }
        return load;
    });
}

std::string encode(const gateway_entry &entry)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::GatewayEntry>();
    root.setId(entry.id.text());
    root.setAddress(entry.peerAddress.address);
    root.setPort(entry.peerAddress.port);
    return packed(message);
}

std::optional<gateway_entry> decodeGatewayEntry(std::string_view bytes)
{
    return unpacked<schema::GatewayEntry>(bytes, [](schema::GatewayEntry::Reader root) {
        return gateway_entry{.id = node_id(textOf(root.getId())),
                             .peerAddress = {.address = textOf(root.getAddress()), .port = root.getPort()}};
    });
}

std::string encode(const job_entry &entry)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::JobEntry>();
    root.setRoute(entry.route);
    root.setHost(entry.host);
    root.setSubmittedAt(entry.submittedAt.time_since_epoch().count());
    root.setTotal(entry.total);
    root.setOwner(entry.owner.text());
    root.setEnded(entry.ended);
    root.setComplete(entry.complete);
    root.setItemsInObject(entry.itemsInObject);
    return packed(message);
}

std::optional<job_entry> decodeJobEntry(const job_id &id, row_version version, std::string_view bytes)
{
    return unpacked<schema::JobEntry>(bytes, [&](schema::JobEntry::Reader root) {
        return job_entry{.id = id,
                         .route = textOf(root.getRoute()),
                         .host = textOf(root.getHost()),
                         .submittedAt = time_point(duration(root.getSubmittedAt())),
                         .total = root.getTotal(),
                         .owner = node_id(textOf(root.getOwner())),
                         .ended = root.getEnded(),
                         .complete = root.getComplete(),
                         .itemsInObject = root.getItemsInObject(),
                         .version = version};
    });
}

std::string encode(const std::vector<job_item> &items)
{
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<schema::JobItems>().initItems(static_cast<unsigned>(items.size()));
    for (unsigned index = 0; index < items.size(); ++index) {
        const job_item &item = items[index];
        list[index].setId(item.id);
        list[index].setPath(item.path);
        list[index].setBody(dataOf(item.body));
        auto fields = list[index].initFields(static_cast<unsigned>(item.fields.size()));
        for (unsigned field = 0; field < item.fields.size(); ++field) {
            fields[field].setName(item.fields[field].first);
            fields[field].setValue(item.fields[field].second);
        }
    }
    return packed(message);
}

std::optional<std::vector<job_item>> decodeJobItems(std::string_view bytes)
{
    return unpacked<schema::JobItems>(bytes, [](schema::JobItems::Reader root) {
        std::vector<job_item> items;
        for (const auto entry : root.getItems()) {
            job_item item{.id = textOf(entry.getId()), .path = textOf(entry.getPath()), .fields = {}, .body = bytesOf(entry.getBody())};
            for (const auto field : entry.getFields()) {
                item.fields.emplace_back(textOf(field.getName()), textOf(field.getValue()));
            }
            items.push_back(std::move(item));
        }
        return items;
    });
}

std::string encode(const listed_result &result)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::ItemResult>();
    root.setItem(result.item);
    root.setSucceeded(result.succeeded);
    root.setOutput(dataOf(result.output));
    return packed(message);
}

std::optional<listed_result> decodeListedResult(std::string_view bytes)
{
    return unpacked<schema::ItemResult>(bytes, [](schema::ItemResult::Reader root) {
        return listed_result{.item = textOf(root.getItem()), .succeeded = root.getSucceeded(), .output = bytesOf(root.getOutput())};
    });
}

} // namespace banyan
