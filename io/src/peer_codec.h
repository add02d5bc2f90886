#pragma once

#include "banyan/core/cell_id.h"
#include "banyan/core/configuration_update.h"
#include "banyan/core/time.h"
#include "banyan/core/vm_entry.h"
#include "banyan/io/http_message.h"
#include "banyan/io/run_outcome.h"
#include "banyan/io/run_request.h"

#include <peer.capnp.h>

#include <vector>

namespace banyan {

/// Conversions between the messages of peer.capnp and the program's own types. Deadlines travel as the time that is left.
void encode(schema::RunRequest::Builder to, const cell_id &cell, const run_request &from, time_point now);
[[nodiscard]] run_request decode(schema::RunRequest::Reader from, time_point now);
[[nodiscard]] cell_id decode(schema::CellId::Reader from);

void encode(schema::RunResult::Builder to, const run_outcome &from);
/// A disposition or reason that is not known, from a newer node, is read as one that promises nothing.
[[nodiscard]] run_outcome decode(schema::RunResult::Reader from);

void encode(capnp::List<schema::HttpField>::Builder to, const std::vector<http_field> &from);
[[nodiscard]] std::vector<http_field> decode(capnp::List<schema::HttpField>::Reader from);

void encode(schema::ConfigurationUpdate::Builder to, const configuration_update &from);
[[nodiscard]] configuration_update decode(schema::ConfigurationUpdate::Reader from);

void encode(capnp::List<schema::VmEntry>::Builder to, const vm_list &from);
[[nodiscard]] vm_list decode(capnp::List<schema::VmEntry>::Reader from);

[[nodiscard]] inline std::string toString(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

[[nodiscard]] inline std::string toString(capnp::Data::Reader bytes)
{
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

[[nodiscard]] inline capnp::Data::Reader toData(const std::string &text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

} // namespace banyan
