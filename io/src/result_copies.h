#pragma once

#include "banyan/io/asio_types.h"
#include "record_store.h"
#include "result_copy.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace banyan {

/// Results of other nodes, held while the store is down. Once it is back each is committed, unless its owner did so or
/// takes it back first; the first committed result is the result, and both are the same.
class result_copies : public std::enable_shared_from_this<result_copies>
{
public:
    result_copies(asio::io_context &context, std::shared_ptr<record_store> records, std::size_t maximumBytes);

    /// Holds a result; ignored when it is malformed or there is no room.
    void keep(const std::string &recordKey, const std::string &encoded);

    /// Drops a result.
    void forget(const std::string &recordKey);

private:
    struct held_copy
    {
        result_copy copy;
        std::size_t bytes = 0;
    };

    static task<> commitWhenBack(std::shared_ptr<result_copies> self, std::string recordKey);
    task<bool> tryCommit(std::string recordKey);

    asio::io_context &m_context;
    std::shared_ptr<record_store> m_records;
    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    std::map<std::string, held_copy> m_held;
};

} // namespace banyan
