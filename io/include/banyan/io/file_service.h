#pragma once

#include "banyan/core/file_record.h"
#include "banyan/core/job_record.h"
#include "banyan/core/part_splitter.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/store_port.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// Options of a file_service.
struct file_service_options
{
    part_splitter_options parts;
    std::uint64_t maximumBytes = std::uint64_t(2) << 30; ///< Of one file.
    std::uint32_t maximumItems = 1'000'000; ///< Of one file.
    duration retention = std::chrono::hours(24 * 30); ///< After which a file may be removed.
    duration uploadLimit = std::chrono::hours(2); ///< After which an upload that broke off may be removed.
    duration retryAfter = std::chrono::seconds(5); ///< Told to callers while the store does not answer.
    std::uint64_t seed = 0; ///< For ids; 0 takes a random one.
};

/// Where a file's content goes as it is read.
using content_sink = std::function<task<>(std::string piece)>;

/// What is known of a file, in the callers' terms; also of the files that show a job's results.
struct file_summary
{
    file_id id;
    std::string fileName;
    std::string purpose;
    std::uint64_t bytes = 0;
    time_point createdAt;
    time_point expiresAt;

    auto operator<=>(const file_summary &) const = default;
};

/// A page of a caller's files, newest first.
struct file_page
{
    std::vector<file_summary> files;
    bool more = false;
};

/// Callers' files in the platform's store: rows for what is known of them, objects of about 1 MB for the content.
/// Uploads and reads are streamed; memory does not grow with the file. All functions throw openai_error, with 404 for
/// a file of another caller and 503 if the store does not answer (then nothing was accepted).
class file_service
{
public:
    file_service(const store_port &store, const file_service_options &options);
    ~file_service();

    /// Takes a file in. Call write() for each piece, then commit(); a file that is not committed does not exist.
    class upload
    {
    public:
        ~upload();
        upload(upload &&) noexcept;

        [[nodiscard]] task<> write(std::string piece);
        [[nodiscard]] task<file_record> commit(std::string fileName, std::string purpose);
        /// Removes what has been stored. For an upload that cannot be finished.
        [[nodiscard]] task<> abort();

    private:
        friend class file_service;
        struct implementation;
        explicit upload(std::unique_ptr<implementation> state);
        std::unique_ptr<implementation> m_state;
    };

    /// Begins an upload; its row is written first, so that parts of a broken upload can be found and removed.
    [[nodiscard]] task<upload> beginUpload(caller_id caller);

    /// What is known of a file, also of a job's output or error file while the job runs.
    [[nodiscard]] task<file_summary> show(caller_id caller, file_id file);

    /// The row of an uploaded file, with its version.
    struct stored_file
    {
        file_record record;
        row_version version = 0;
    };
    [[nodiscard]] task<stored_file> uploaded(caller_id caller, file_id file);

    /// Files after @p after (exclusive; empty: from the newest).
    [[nodiscard]] task<file_page> list(caller_id caller, file_id after, std::size_t limit);

    /// Passes a file's content to @p sink piece by piece; of a running job, what is committed when it begins.
    [[nodiscard]] task<> read(caller_id caller, file_id file, content_sink sink);

    /// Removes an uploaded file; refused with 409 while a job that is not finished reads it.
    [[nodiscard]] task<> remove(caller_id caller, file_id file);

    /// Removes one page of files whose time is over, beginning after row @p after; returns where to go on, empty at the end.
    [[nodiscard]] task<std::string> removeExpired(std::string after);

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
