#include "banyan/core/member_update.h"

namespace banyan {

namespace {

/// Upper bound for the numbers, pointers and packing tags of an encoded update.
constexpr std::size_t fixedBytes = 60;

/// Upper bound for a packed text: texts are padded to words of eight bytes, and packing adds a tag byte to each word.
std::size_t textBytes(const std::string &text)
{
    constexpr std::size_t word = 8;
    return (text.size() / word + 1) * (word + 1);
}

} // namespace

std::size_t encodedSize(const member_update &update)
{
    const node_info &node = update.node;
    return fixedBytes + textBytes(node.id.text()) + textBytes(node.vm.text()) + textBytes(node.domain.text())
           + textBytes(node.peerAddress.address);
}

} // namespace banyan
