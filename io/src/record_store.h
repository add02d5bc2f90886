#pragma once

#include "banyan/core/record_changes.h"
#include "banyan/core/versioned_record.h"
#include "banyan/io/record_request.h"
#include "banyan/io/run_answer.h"
#include "banyan/io/run_request.h"
#include "banyan/io/stored_record.h"
#include "node_store.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace banyan {

/// Reads records and their requests and answers, which are in the row or, where they are large, in an object.
class record_store
{
public:
    record_store(std::shared_ptr<node_store> store, std::size_t inlineBytes);

    /// Reads a record; none if it is absent. @throws platform_unavailable
    [[nodiscard]] task<std::optional<versioned_record>> read(std::string key) const;

    /// Reads a record, waiting while the store is down.
    [[nodiscard]] task<std::optional<versioned_record>> readPatiently(std::string key) const;

    /// Where a text belongs: in the row, or in the object @p objectName, which then has to be stored first.
    [[nodiscard]] stored_payload payloadFor(const std::string &text, const std::string &objectName) const;

    /// Reads a text from the row or its object; empty if the object is gone. @throws platform_unavailable
    [[nodiscard]] task<std::string> textOf(stored_payload payload) const;

    /// The record as its caller may see it, with its answer. @throws platform_unavailable
    [[nodiscard]] task<stored_record> visible(versioned_record found) const;

    [[nodiscard]] node_store &store() const
    {
        return *m_store;
    }

    /// Name of the object that holds a record's request; @p unique differs for each acceptance.
    [[nodiscard]] static std::string requestObjectOf(const std::string &key, const std::string &unique);

    /// Name of the object that holds the answer of one run.
    [[nodiscard]] static std::string answerObjectOf(const std::string &key, const std::string &owner, std::uint64_t fencingNumber);

private:
    std::shared_ptr<node_store> m_store;
    std::size_t m_inlineBytes;
};

/// The record as its caller may see it.
[[nodiscard]] stored_record visibleRecord(const std::string &key, const record_row &record, std::optional<run_answer> answer);

/// The state in which a run's end leaves its record.
[[nodiscard]] record_state stateAfter(const final_result &result);

} // namespace banyan
