#include "banyan/core/serving/caller_key.h"

#include <xxhash.h>

namespace banyan {

caller_key callerKeyOf(const caller_id &organisation)
{
    return organisation.empty() ? 0 : XXH3_64bits(organisation.text().data(), organisation.text().size());
}

} // namespace banyan
