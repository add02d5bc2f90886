#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// A caller's file.
using file_id = identifier<struct file_tag>;

/// One object of a file's content. A part ends at the end of a line.
struct file_part
{
    std::uint32_t bytes = 0;
    std::uint32_t items = 0; ///< Lines that are not blank.

    auto operator<=>(const file_part &) const = default;
};

/// Whether a file's content is whole.
enum class file_state {
    Uploading, ///< Parts are being stored; the row exists so that they can be removed if the upload breaks off.
    Stored,
};

/// A file as it stands in its row. The content lies in objects, see partName().
struct file_record
{
    file_id id;
    caller_id caller;
    std::string fileName;
    std::string purpose;
    file_state state = file_state::Stored;
    time_point createdAt;
    time_point expiresAt;
    std::string contentHash; ///< Over the hashes of the parts; equal content gives equal hashes.
    std::vector<file_part> parts;

    /// Bytes of all parts.
    [[nodiscard]] std::uint64_t bytes() const;
    /// Items of all parts.
    [[nodiscard]] std::uint64_t items() const;

    /// The row's value.
    [[nodiscard]] std::string toJson() const;
    /// Reads the form that toJson() writes. @throws record_error
    [[nodiscard]] static file_record fromJson(std::string_view json);

    auto operator<=>(const file_record &) const = default;
};

/// The key of a file's row; only its caller's files share its prefix.
[[nodiscard]] std::string fileKey(const caller_id &caller, const file_id &file);

/// The prefix of the keys of all of a caller's files. Newest first, since ids are made by newestFirstId().
[[nodiscard]] std::string fileKeyPrefix(const caller_id &caller);

/// The name of the object with a part of a file.
[[nodiscard]] std::string partName(const file_id &file, std::size_t part);

} // namespace banyan
