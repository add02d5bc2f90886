#include "banyan/io/http_message.h"

#include <boost/beast/core/string.hpp>

namespace banyan {

std::string http_response::field(const std::string &name) const
{
    for (const http_field &candidate : fields) {
        if (boost::beast::iequals(candidate.name, name)) {
            return candidate.value;
        }
    }
    return {};
}

} // namespace banyan
