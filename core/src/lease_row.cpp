#include "banyan/core/lease_row.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace banyan {

namespace json = boost::json;

std::string encodeLeaseRow(const lease_row &value)
{
    return json::serialize(json::object{{"holder", value.holder},
                                        {"number", value.fencingNumber},
                                        {"idle", value.idle},
                                        {"transaction", value.transaction},
                                        {"previous_transaction", value.previousTransaction}});
}

lease_row parseLeaseRow(std::string_view text)
{
    try {
        const json::value parsed = json::parse(json::string_view(text.data(), text.size()));
        const json::object &object = parsed.as_object();
        return {.holder = json::value_to<std::string>(object.at("holder")),
                .fencingNumber = object.at("number").to_number<std::uint64_t>(),
                .idle = object.at("idle").as_bool(),
                .transaction = json::value_to<std::string>(object.at("transaction")),
                .previousTransaction = json::value_to<std::string>(object.at("previous_transaction"))};
    } catch (const std::exception &error) {
        throw std::invalid_argument(std::string("lease row: ") + error.what());
    }
}

} // namespace banyan
