#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Identifies a file of a caller.
using file_id = identifier<struct file_tag>;

/// One part of a file's content, stored as one object. A part ends at the end of a line.
struct file_part
{
    std::uint32_t bytes = 0;
    std::uint32_t items = 0; ///< Lines that are not blank.

    auto operator<=>(const file_part &) const = default;
};

/// Whether a file's content is stored completely.
enum class file_state {
    Uploading, ///< Parts are being stored; the row exists so that they can be deleted if the upload is aborted.
    Stored,
};

/// The metadata of a file, stored in one row. The content is stored in objects, see partObjectName().
struct file_record
{
    file_id id;
    caller_id caller;
    std::string fileName;
    std::string purpose;
    file_state state = file_state::Stored;
    time_point createdAt;
    time_point expiresAt;
    std::string contentHash; ///< Hash over the hashes of the parts; equal content gives equal hashes.
    std::vector<file_part> parts;

    /// Total size of all parts in bytes.
    [[nodiscard]] std::uint64_t bytes() const;
    /// Total number of items in all parts.
    [[nodiscard]] std::uint64_t items() const;

    /// Serializes the record as the value of its row.
    [[nodiscard]] std::string toJson() const;
    /// Parses the output of toJson(). @throws record_error
    [[nodiscard]] static file_record fromJson(std::string_view json);

    auto operator<=>(const file_record &) const = default;
};

/// The key of a file's row; it starts with fileKeyPrefix() of its caller.
[[nodiscard]] std::string fileKey(const caller_id &caller, const file_id &file);

/// The prefix of the keys of a caller's files and of no other keys. The keys sort newest first, since ids are made by
/// newestFirstId().
[[nodiscard]] std::string fileKeyPrefix(const caller_id &caller);

/// The name of the object that holds a part of a file.
[[nodiscard]] std::string partObjectName(const file_id &file, std::size_t part);

} // namespace banyan
