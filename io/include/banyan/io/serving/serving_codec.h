#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/serving/item_checkpoint.h"
#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/job_item.h"
#include "banyan/core/serving/listed_result.h"
#include "banyan/core/serving/origin_row.h"
#include "banyan/core/serving/quota_reservation.h"
#include "banyan/core/serving/served_version.h"
#include "banyan/core/serving/slot_message.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// A gateway's registration in the store.
struct gateway_entry
{
    node_id id; ///< Identifies one incarnation of the process.
    endpoint peerAddress;
    double processorShare = 1; ///< Share of a processor core.
    bool answersCalls = false; ///< Whether it answers calls, see registration_monitor.
    node_id calledBy; ///< The gateway that has called it; empty if no call is unanswered.

    auto operator<=>(const gateway_entry &) const = default;
};

/// Encodes and decodes datagrams and stored rows. Decoders return nullopt for malformed bytes.
/// Times of requests are sent relative to @p now, and read relative to the reader's @p now, since the clocks of nodes differ.
[[nodiscard]] std::string encode(const gateway_message &message, time_point now);
[[nodiscard]] std::optional<gateway_message> decodeGatewayMessage(std::string_view bytes, time_point now);

[[nodiscard]] std::string encode(const gateway_entry &entry);
[[nodiscard]] std::optional<gateway_entry> decodeGatewayEntry(std::string_view bytes);

/// The id and the version of a job are not encoded: they are the key and the version of its row.
[[nodiscard]] std::string encode(const job_entry &entry);
[[nodiscard]] std::optional<job_entry> decodeJobEntry(const job_id &id, row_version version, std::string_view bytes);

[[nodiscard]] std::string encode(const std::vector<job_item> &items);
[[nodiscard]] std::optional<std::vector<job_item>> decodeJobItems(std::string_view bytes);

[[nodiscard]] std::string encode(const std::vector<quota_reservation> &reservations);
[[nodiscard]] std::optional<std::vector<quota_reservation>> decodeQuotaReservations(std::string_view bytes);

[[nodiscard]] std::string encode(const item_checkpoint &checkpoint);
[[nodiscard]] std::optional<item_checkpoint> decodeItemCheckpoint(std::string_view bytes);

[[nodiscard]] std::string encode(const std::vector<served_version> &versions);
[[nodiscard]] std::optional<std::vector<served_version>> decodeServedVersions(std::string_view bytes);

[[nodiscard]] std::string encode(const origin_row &row);
[[nodiscard]] std::optional<origin_row> decodeOriginRow(std::string_view bytes);

[[nodiscard]] std::string encode(const listed_result &result);
[[nodiscard]] std::optional<listed_result> decodeListedResult(std::string_view bytes);

} // namespace banyan
